package controlnode

import (
	"cmp"
	"time"

	"github.com/godwitbend/godwitbend/internal/crashcause"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/notice"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/prepaid"
	"github.com/godwitbend/godwitbend/internal/presence"
	"github.com/godwitbend/godwitbend/internal/replication"
)

// RPC methods that a control host serves to other hosts.
const (
	MethodJoin       = "/fleet/Join"
	MethodPut        = "/fleet/PutDocument"
	MethodGet        = "/fleet/GetDocument"
	MethodSync       = "/fleet/Sync"
	MethodClose      = "/fleet/CloseSession"
	MethodReportStop = "/fleet/ReportStop"
	MethodUpstreams  = "/fleet/Upstreams"
	MethodSubmit     = "/fleet/Submit"
	MethodEvacuate   = "/fleet/Evacuate"
	MethodFounding   = "/fleet/Founding"
)

// LeaderRedirect is the part of a reply that redirects the caller to the leader.
type LeaderRedirect struct {
	// NotLeader reports that this host is not the leader, and that the call had no effect.
	NotLeader bool `cbor:"1,keyasint,omitempty"`
	// Leader is the address of the leader, or empty if it is unknown.
	Leader string `cbor:"2,keyasint,omitempty"`
}

// JoinRequest asks the leader to add a control host to the group, or to confirm that it is
// a member.
type JoinRequest struct {
	Address string `cbor:"1,keyasint"`
	// ReplicaID is the current id of the host, or 0 if its disk is empty.
	ReplicaID uint64 `cbor:"2,keyasint,omitempty"`
	// Group is the id of the group that the host belongs to or was removed from, if any.
	Group string `cbor:"3,keyasint,omitempty"`
	// Features is fleetstate.Features of the host's build; 0 in builds that do not state it.
	Features int `cbor:"4,keyasint,omitempty"`
}

// JoinReply returns the host's replica id and the members of the group.
type JoinReply struct {
	LeaderRedirect `cbor:"1,keyasint"`
	ReplicaID      uint64             `cbor:"2,keyasint,omitempty"`
	Members        []replication.Peer `cbor:"3,keyasint,omitempty"`
	// Group is the id of the group.
	Group string `cbor:"4,keyasint,omitempty"`
}

// PutRequest asks the leader to commit a document.
type PutRequest struct {
	Document fleetstate.Document `cbor:"1,keyasint"`
}

// LogPosition tells which leader confirmed a call, and the position in the log that the answer reflects.
type LogPosition struct {
	Replica uint64 `cbor:"1,keyasint,omitempty"`
	Term    uint64 `cbor:"2,keyasint,omitempty"`
	Index   uint64 `cbor:"3,keyasint,omitempty"`
}

// PutReply returns the version in force after the commit.
type PutReply struct {
	LeaderRedirect `cbor:"1,keyasint"`
	Version        uint64 `cbor:"2,keyasint,omitempty"`
}

// GetRequest asks the leader for the document, confirmed by a quorum.
type GetRequest struct{}

// GetReply returns the document in force.
type GetReply struct {
	LeaderRedirect `cbor:"1,keyasint"`
	Document       fleetstate.Document `cbor:"2,keyasint"`
	Confirmed      LogPosition         `cbor:"3,keyasint"`
}

// EvacuateRequest asks the leader to commit the start or the end of the evacuation of a zone.
type EvacuateRequest struct {
	Zone string `cbor:"1,keyasint"`
	End  bool   `cbor:"2,keyasint,omitempty"`
}

// EvacuateReply returns the result of the committed command.
type EvacuateReply struct {
	LeaderRedirect `cbor:"1,keyasint"`
	Result         fleetstate.EvacuationResult `cbor:"2,keyasint"`
	// OldVoters holds the addresses of voters that are not known to understand evacuations. If
	// there are any, nothing was committed.
	OldVoters []string `cbor:"3,keyasint,omitempty"`
}

// EvacuatedZones is the set of evacuated zones as of a revision.
type EvacuatedZones struct {
	Revision uint64   `cbor:"1,keyasint"`
	Zones    []string `cbor:"2,keyasint,omitempty"`
}

// SyncRequest is a gateway host's periodic call to the leader or to a relay.
type SyncRequest struct {
	Host string `cbor:"1,keyasint"`
	// Opening opens the host's session. It is sent until it is acknowledged.
	Opening *prepaid.SessionOpening `cbor:"2,keyasint,omitempty"`
	Report  *prepaid.Report         `cbor:"3,keyasint,omitempty"`
	// Version is the version of the document that the host has.
	Version uint64 `cbor:"4,keyasint,omitempty"`
	// Epoch and Revision identify the host's copy of the table of upstreams. Revisions of
	// different epochs are not comparable.
	Epoch    uint64 `cbor:"5,keyasint,omitempty"`
	Revision uint64 `cbor:"6,keyasint,omitempty"`
	// Brief marks a call made between two regular ones to request tokens. It carries no
	// loads, and neither does its reply.
	Brief bool `cbor:"12,keyasint,omitempty"`
	// Loads is the load that the host puts on each upstream, by upstream id.
	Loads map[string]placement.Load `cbor:"7,keyasint,omitempty"`
	// Crashes lists requests whose upstream crashed while running them.
	Crashes []crashcause.CrashReport `cbor:"8,keyasint,omitempty"`
	// Peer is the session and the address under which other gateway hosts reach this one.
	Peer Peer `cbor:"9,keyasint"`
	// CeilingAnswers answer the CeilingQueries of the previous reply.
	CeilingAnswers []prepaid.CeilingAnswer `cbor:"11,keyasint,omitempty"`
	// PeersRevision is the revision of the host's list of gateway hosts.
	PeersRevision uint64 `cbor:"10,keyasint,omitempty"`
	// AcceptsEncoded reports that the host can read EncodedUpstreams, PackedTotals and
	// PeerChanges.
	AcceptsEncoded bool `cbor:"13,keyasint,omitempty"`
	// Relay asks a control host that is not the leader to pass the call on.
	Relay bool `cbor:"14,keyasint,omitempty"`
	// PeersEpoch is the epoch that PeersRevision belongs to; 0 means Epoch.
	PeersEpoch uint64 `cbor:"15,keyasint,omitempty"`
	// ControlHosts identifies the host's list of control hosts.
	ControlHosts uint64 `cbor:"16,keyasint,omitempty"`
	// Sound lists suspect traits of requests that answers have cleared.
	Sound []crashcause.SoundReport `cbor:"19,keyasint,omitempty"`
	// Notices are what upstreams said of themselves in answers to the host. NoticesDigest
	// identifies those of other hosts that it knows.
	Notices       []notice.Report `cbor:"21,keyasint,omitempty"`
	NoticesDigest uint64          `cbor:"22,keyasint,omitempty"`
	// Quarantined lists the traits that the previous leader had in quarantine.
	Quarantined []uint64 `cbor:"20,keyasint,omitempty"`
	// TableDigests are the digests of the host's copy of the table of upstreams, if it is that of
	// another epoch.
	TableDigests []byte `cbor:"18,keyasint,omitempty"`
	// ArrivalTime is the wall clock of the relay when the call arrived there, in Unix ns; 0 in
	// a call to the leader.
	ArrivalTime int64 `cbor:"17,keyasint,omitempty"`
	// EvacuationRevision is the revision of the evacuated zones that the host knows.
	EvacuationRevision uint64 `cbor:"23,keyasint,omitempty"`
	// AwaitsTicket reports that the host sends an opening again with the ticket of the reply, and Ticket
	// is the one that it was given. Hosts of the build before open their sessions without.
	AwaitsTicket bool   `cbor:"24,keyasint,omitempty"`
	Ticket       uint64 `cbor:"25,keyasint,omitempty"`
}

// peersEpoch returns the epoch of the host's list of gateway hosts.
func (r *SyncRequest) peersEpoch() uint64 { return cmp.Or(r.PeersEpoch, r.Epoch) }

// asksForTicket reports whether the call has no effect but that its sender gets a ticket.
func (r *SyncRequest) asksForTicket() bool {
	return r.Opening != nil && r.AwaitsTicket && r.Ticket == 0
}

// Peer identifies a gateway host to the other gateway hosts.
type Peer struct {
	Session uint64 `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// Compare orders peers by address.
func (p Peer) Compare(other Peer) int { return cmp.Compare(p.Address, other.Address) }

// SyncReply is the leader's reply to a SyncRequest.
type SyncReply struct {
	LeaderRedirect `cbor:"1,keyasint"`
	// Version is the version in force. Document is set if it is newer than the host's.
	Version  uint64               `cbor:"2,keyasint,omitempty"`
	Document *fleetstate.Document `cbor:"3,keyasint,omitempty"`
	Epoch    uint64               `cbor:"4,keyasint,omitempty"`
	Revision uint64               `cbor:"5,keyasint,omitempty"`
	// Upstreams are those that changed after the host's revision, or all of them if the
	// host's epoch differs.
	Upstreams []UpstreamRecord `cbor:"6,keyasint,omitempty"`
	Prepaid   *prepaid.Reply   `cbor:"7,keyasint,omitempty"`
	// Members are the addresses of the members of the control group, with ControlHosts.
	Members []string `cbor:"8,keyasint,omitempty"`
	// Hosts is the number of gateway hosts in the leader's table.
	Hosts int `cbor:"9,keyasint,omitempty"`
	// Loads is the load that the other hosts put on each upstream, by upstream id.
	Loads map[string]placement.Load `cbor:"10,keyasint,omitempty"`
	// Quarantined are the traits of requests that crash the upstreams they run on.
	Quarantined []uint64 `cbor:"11,keyasint,omitempty"`
	// Suspects are the traits for which hosts report answers that clear them.
	Suspects []uint64 `cbor:"23,keyasint,omitempty"`
	// Notices are what upstreams say of themselves, for hosts that know other notices.
	Notices *NoticeList `cbor:"24,keyasint,omitempty"`
	// CeilingQueries ask the host, as a witness, for the ceilings of terminated sessions.
	CeilingQueries []prepaid.CeilingQuery `cbor:"14,keyasint,omitempty"`
	// Peers lists the gateway hosts if the list has changed; PeersRevision is its revision.
	Peers         []Peer `cbor:"12,keyasint,omitempty"`
	PeersRevision uint64 `cbor:"13,keyasint,omitempty"`
	// EncodedUpstreams replaces Upstreams for hosts that accept it; see DecodeUpstreams. In a reply
	// without a leader it holds what changed lately, as the control host knows it.
	EncodedUpstreams []byte `cbor:"15,keyasint,omitempty"`
	// PackedTotals replaces Loads for hosts that accept it; see DecodeLoads. It holds the loads
	// that all hosts put on the upstreams, and PackedOwn those of the calling host.
	PackedTotals []byte `cbor:"16,keyasint,omitempty"`
	PackedOwn    []byte `cbor:"17,keyasint,omitempty"`
	// PeersEpoch is the epoch of the list of gateway hosts: that of the leader's process.
	PeersEpoch uint64 `cbor:"18,keyasint,omitempty"`
	// ControlHosts lists the control hosts that are up, for hosts with another list, and
	// ControlHostsDigest identifies it.
	ControlHosts       []ControlHost `cbor:"19,keyasint,omitempty"`
	ControlHostsDigest uint64        `cbor:"20,keyasint,omitempty"`
	// PeerChanges is set in place of Peers for hosts that accept it and whose list is known.
	PeerChanges *PeerChanges `cbor:"21,keyasint,omitempty"`
	// ConfirmsIdleCalls states that a quorum confirms the leader also for calls without a report.
	ConfirmsIdleCalls bool `cbor:"22,keyasint,omitempty"`
	// Evacuations is set if the host knows an earlier revision.
	Evacuations *EvacuatedZones `cbor:"25,keyasint,omitempty"`
	// Ticket is set if the call had no effect, because it opens a session without a valid ticket: the
	// host is to send it again with this one.
	Ticket uint64 `cbor:"26,keyasint,omitempty"`
}

// ControlHost is a control host that gateway hosts may call.
type ControlHost struct {
	Address string `cbor:"1,keyasint"`
	// Zone is its availability zone; empty if unknown.
	Zone string `cbor:"2,keyasint,omitempty"`
	// Epoch identifies its process; 0 if unknown.
	Epoch uint64 `cbor:"3,keyasint,omitempty"`
}

// SubmitRequest passes the calls of gateway hosts on to the leader.
type SubmitRequest struct {
	// Relay is the address of the sender, and RelayEpoch identifies its process.
	Relay      string `cbor:"1,keyasint"`
	RelayEpoch uint64 `cbor:"12,keyasint"`
	// Calls holds the sessions to open, the reports and the answers of the calls.
	Calls   []SyncRequest            `cbor:"2,keyasint,omitempty"`
	Crashes []crashcause.CrashReport `cbor:"3,keyasint,omitempty"`
	// Epoch is the leader's epoch that the revisions below belong to.
	Epoch uint64 `cbor:"4,keyasint,omitempty"`
	// Gateways are the hosts that call the relay, as of GatewaysRevision, if the leader lacks
	// that list.
	Gateways         []Peer `cbor:"5,keyasint,omitempty"`
	GatewaysRevision uint64 `cbor:"6,keyasint,omitempty"`
	HasGateways      bool   `cbor:"7,keyasint,omitempty"`
	// PeersRevision and TableRevision are those of the leader that the relay knows.
	PeersRevision uint64 `cbor:"8,keyasint,omitempty"`
	TableRevision uint64 `cbor:"9,keyasint,omitempty"`
	// HasLoads reports that PackedLoads holds the loads that the hosts in Gateways put on the
	// upstreams, and asks for those of the other hosts.
	HasLoads    bool   `cbor:"10,keyasint,omitempty"`
	PackedLoads []byte `cbor:"11,keyasint,omitempty"`
	// NoticesDigest identifies the notices that the relay knows.
	NoticesDigest uint64 `cbor:"13,keyasint,omitempty"`
	// EvacuationRevision is the revision of the evacuated zones that the relay knows.
	EvacuationRevision uint64 `cbor:"14,keyasint,omitempty"`
}

// NoticeList lists what upstreams say of themselves.
type NoticeList struct {
	// Digest identifies the list.
	Digest  uint64          `cbor:"1,keyasint,omitempty"`
	Reports []notice.Report `cbor:"2,keyasint,omitempty"`
}

// SubmitResult is the result of one call in a SubmitRequest.
type SubmitResult struct {
	Prepaid        *prepaid.Reply         `cbor:"1,keyasint,omitempty"`
	CeilingQueries []prepaid.CeilingQuery `cbor:"2,keyasint,omitempty"`
	// Ticket is that of SyncReply.
	Ticket uint64 `cbor:"3,keyasint,omitempty"`
}

// SubmitReply is the leader's reply to a SubmitRequest. All calls without a ticket in their result are committed.
type SubmitReply struct {
	LeaderRedirect `cbor:"1,keyasint"`
	// Results are the results of the calls, in their order.
	Results []SubmitResult `cbor:"2,keyasint,omitempty"`
	// Version is the version of the document in force.
	Version uint64 `cbor:"3,keyasint,omitempty"`
	Epoch   uint64 `cbor:"4,keyasint,omitempty"`
	// GatewaysRevision is the revision of the relay's list that the leader has.
	GatewaysRevision uint64 `cbor:"5,keyasint,omitempty"`
	// Hosts is the number of gateway hosts. Peers lists them if the relay's list is outdated.
	Hosts         int    `cbor:"6,keyasint,omitempty"`
	Peers         []Peer `cbor:"7,keyasint,omitempty"`
	PeersRevision uint64 `cbor:"8,keyasint,omitempty"`
	// PackedTotals and PackedOwn are as in SyncReply, for the relay's gateway hosts together.
	PackedTotals []byte `cbor:"9,keyasint,omitempty"`
	PackedOwn    []byte `cbor:"10,keyasint,omitempty"`
	// EncodedUpstreams are the changes of the leader's table that the relay lacks.
	EncodedUpstreams []byte   `cbor:"11,keyasint,omitempty"`
	TableRevision    uint64   `cbor:"12,keyasint,omitempty"`
	Quarantined      []uint64 `cbor:"13,keyasint,omitempty"`
	Suspects         []uint64 `cbor:"15,keyasint,omitempty"`
	// Notices is set for relays that know other notices.
	Notices *NoticeList `cbor:"16,keyasint,omitempty"`
	// PeerChanges is set in place of Peers if the relay's list is known.
	PeerChanges *PeerChanges `cbor:"14,keyasint,omitempty"`
	// Evacuations is set if the relay knows an earlier revision.
	Evacuations *EvacuatedZones `cbor:"17,keyasint,omitempty"`
	// Moved lists the relay's gateway hosts that call another control host now, in replies with PackedTotals.
	Moved []Peer `cbor:"18,keyasint,omitempty"`
}

// UpstreamRecord is the wire form of an upstream in calls between hosts.
type UpstreamRecord struct {
	presence.Upstream `cbor:"1,keyasint"`
	// Age is the time since the latest report from the upstream.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
	// Unresponsive reports that the upstream's heartbeat is overdue.
	Unresponsive bool `cbor:"3,keyasint,omitempty"`
	// ColdLeft is the time for which the process remains cold, as reported, and ColdSequence the
	// sequence of that statement; 0 if there is none. See presence.Coldness.
	ColdLeft     time.Duration `cbor:"4,keyasint,omitempty"`
	ColdSequence int64         `cbor:"5,keyasint,omitempty"`
}

// Coldness returns what the process has reported about its warm-up.
func (r *UpstreamRecord) Coldness(now time.Time) presence.Coldness {
	return presence.NewColdness(r.ColdLeft, r.ColdSequence, now)
}

// UpstreamsMessage forwards reports of upstreams to another control host: changed ones, or in an
// exchange all upstreams that report to the sender.
type UpstreamsMessage struct {
	Records []UpstreamRecord `cbor:"1,keyasint"`
	// Sender is the address of the sending host, and Generation identifies the upstreams that
	// report to it and their states. Both are set in an exchange only.
	Sender     string `cbor:"2,keyasint,omitempty"`
	Generation uint64 `cbor:"3,keyasint,omitempty"`
	// Ages is set if the receiver has the records of a generation: the times since the latest
	// reports of all upstreams, in units of ageUnit, ordered by id.
	Ages []byte `cbor:"4,keyasint,omitempty"`
	// Zone is the availability zone of the sender.
	Zone string `cbor:"5,keyasint,omitempty"`
	// Base is the generation that the receiver has, if it is not Generation: Records holds what
	// is new or has changed since, and Removed the ids of the upstreams that have left the set.
	Base    uint64   `cbor:"6,keyasint,omitempty"`
	Removed []string `cbor:"7,keyasint,omitempty"`
	// Features is fleetstate.Features of the sender's build, in an exchange; 0 in builds that do not
	// state it.
	Features int `cbor:"8,keyasint,omitempty"`
	// SenderEpoch identifies the process of the sender.
	SenderEpoch uint64 `cbor:"9,keyasint,omitempty"`
	// ReplicaID is the id of the replica that the sender runs; 0 if it runs none, or in builds that do not state it.
	ReplicaID uint64 `cbor:"10,keyasint,omitempty"`
	// StoppedReplicaID is the id of the sender's replica if it has stopped because the host stops in order.
	StoppedReplicaID uint64 `cbor:"11,keyasint,omitempty"`
	// Contacts are control hosts that the sender has known and that aren't members, in an exchange.
	Contacts []Contact `cbor:"12,keyasint,omitempty"`
	// Group is the id of the sender's group.
	Group string `cbor:"13,keyasint,omitempty"`
}

// UpstreamsReply acknowledges an UpstreamsMessage.
type UpstreamsReply struct {
	// Generation is that of the sender's latest exchange with Records; 0 if there was none.
	Generation uint64 `cbor:"1,keyasint,omitempty"`
	// Group is the id of the receiver's group. Messages of another group are ignored.
	Group string `cbor:"2,keyasint,omitempty"`
}

// CloseRequest ends the session of a host that shuts down.
type CloseRequest struct {
	Host    string `cbor:"1,keyasint"`
	Session uint64 `cbor:"2,keyasint"`
	// Relayed reports that another control host passed the call on.
	Relayed bool `cbor:"3,keyasint,omitempty"`
}

// CloseReply acknowledges a CloseRequest.
type CloseReply struct {
	LeaderRedirect `cbor:"1,keyasint"`
}

// StopReportReply acknowledges a stopreport.Report.
type StopReportReply struct{}
