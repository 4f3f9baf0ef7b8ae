package controlnode

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/prepaid"
	"github.com/godwitbend/godwitbend/internal/presence"
	"github.com/godwitbend/godwitbend/internal/replication"
)

// Methods that a control host serves to other hosts.
const (
	MethodJoin      = "/fleet/Join"
	MethodPut       = "/fleet/PutDocument"
	MethodGet       = "/fleet/GetDocument"
	MethodSync      = "/fleet/Sync"
	MethodClose     = "/fleet/CloseSession"
	MethodUpstreams = "/fleet/Upstreams"
)

// Routed is the part of a reply that sends the caller on to the leader.
type Routed struct {
	// NotLeader tells that the call had no effect here.
	NotLeader bool `cbor:"1,keyasint,omitempty"`
	// Leader is the address of the leader as far as known.
	Leader string `cbor:"2,keyasint,omitempty"`
}

// JoinRequest asks the leader to take a control host into the group.
type JoinRequest struct {
	Address string `cbor:"1,keyasint"`
	// ReplicaID is the id that the host has; 0 if its disk is empty.
	ReplicaID uint64 `cbor:"2,keyasint,omitempty"`
}

// JoinReply names the id under which the host takes part.
type JoinReply struct {
	Routed    `cbor:"1,keyasint"`
	ReplicaID uint64             `cbor:"2,keyasint,omitempty"`
	Members   []replication.Peer `cbor:"3,keyasint,omitempty"`
}

// PutRequest asks the leader to commit a document.
type PutRequest struct {
	Document fleetstate.Document `cbor:"1,keyasint"`
}

// PutReply tells which version is in force after the commit.
type PutReply struct {
	Routed  `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
}

// GetRequest asks the leader for the document, confirmed by a quorum.
type GetRequest struct{}

// GetReply holds the newest document.
type GetReply struct {
	Routed   `cbor:"1,keyasint"`
	Document fleetstate.Document `cbor:"2,keyasint"`
}

// SyncRequest is a gateway host's regular call to the leader.
type SyncRequest struct {
	Host string `cbor:"1,keyasint"`
	// Opening begins the host's session; it is sent until it is acknowledged.
	Opening *prepaid.SessionOpening `cbor:"2,keyasint,omitempty"`
	Report  *prepaid.Report         `cbor:"3,keyasint,omitempty"`
	// Version is the version of the document that the host has.
	Version uint64 `cbor:"4,keyasint,omitempty"`
	// Epoch and Revision name the table of upstreams that the host has.
	Epoch    uint64 `cbor:"5,keyasint,omitempty"`
	Revision uint64 `cbor:"6,keyasint,omitempty"`
	// Brief marks a call that was made early, for tokens: it tells nothing of the loads,
	// and asks for none.
	Brief bool `cbor:"12,keyasint,omitempty"`
	// Loads is the load by the host, by upstream.
	Loads map[string]placement.Load `cbor:"7,keyasint,omitempty"`
	// Crashes names requests whose upstream broke down while it ran them.
	Crashes []Crash `cbor:"8,keyasint,omitempty"`
	// Peer is how other gateway hosts reach this one.
	Peer Peer `cbor:"9,keyasint"`
	// Statements tell what this host has noted as a witness of dead sessions.
	Statements []prepaid.CeilingAnswer `cbor:"11,keyasint,omitempty"`
	// Peers is the number of the list of gateway hosts that the host has.
	Peers uint64 `cbor:"10,keyasint,omitempty"`
}

// Peer is a gateway host.
type Peer struct {
	Session uint64 `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// Crash is the loss of an upstream while it ran a request.
type Crash struct {
	// Fingerprint is the hash of what makes the request the same when it comes again.
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Upstream is the id of the process that was lost.
	Upstream string `cbor:"2,keyasint"`
}

// SyncReply is what the leader tells a gateway host.
type SyncReply struct {
	Routed `cbor:"1,keyasint"`
	// Version is the version in force; Document is set if it is newer than the host's.
	Version  uint64               `cbor:"2,keyasint,omitempty"`
	Document *fleetstate.Document `cbor:"3,keyasint,omitempty"`
	Epoch    uint64               `cbor:"4,keyasint,omitempty"`
	Revision uint64               `cbor:"5,keyasint,omitempty"`
	// Upstreams are those that changed after the host's revision, or all of another epoch.
	Upstreams []UpstreamRecord `cbor:"6,keyasint,omitempty"`
	Prepaid   *prepaid.Reply   `cbor:"7,keyasint,omitempty"`
	// Members are the addresses of the control hosts.
	Members []string `cbor:"8,keyasint,omitempty"`
	// Hosts is the number of gateway hosts that call regularly.
	Hosts int `cbor:"9,keyasint,omitempty"`
	// Loads is the load by the other hosts, by upstream.
	Loads map[string]placement.Load `cbor:"10,keyasint,omitempty"`
	// Quarantined are the fingerprints of requests that no upstream survives.
	Quarantined []uint64 `cbor:"11,keyasint,omitempty"`
	// Questions ask the host about dead sessions.
	Questions []prepaid.CeilingQuery `cbor:"14,keyasint,omitempty"`
	// Peers are the gateway hosts, if the list has changed; PeersRevision numbers it.
	Peers         []Peer `cbor:"12,keyasint,omitempty"`
	PeersRevision uint64 `cbor:"13,keyasint,omitempty"`
}

// UpstreamRecord is an upstream on its way between hosts.
type UpstreamRecord struct {
	presence.Upstream `cbor:"1,keyasint"`
	// Age is the time since the latest report of the upstream.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
	// Silent tells that this is long.
	Silent bool `cbor:"3,keyasint,omitempty"`
}

// UpstreamsMessage passes reports of upstreams between control hosts.
type UpstreamsMessage struct {
	Records []UpstreamRecord `cbor:"1,keyasint"`
}

// UpstreamsReply acknowledges an UpstreamsMessage.
type UpstreamsReply struct{}

// CloseRequest ends the session of a host that stops.
type CloseRequest struct {
	Host    string `cbor:"1,keyasint"`
	Session uint64 `cbor:"2,keyasint"`
}

// CloseReply acknowledges a CloseRequest.
type CloseReply struct {
	Routed `cbor:"1,keyasint"`
}
