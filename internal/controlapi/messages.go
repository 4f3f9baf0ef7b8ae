// Package controlapi holds the typed messages between entry hosts and the
// control group. The same messages are the commands of the replicated log.
package controlapi

import (
	"context"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// BeginRequest opens the record of a request and reserves its worst case. A
// request is dispatched only after its record is committed.
type BeginRequest struct {
	// RequestID is RequestIDFor(Caller, Key).
	RequestID    string `cbor:"1,keyasint"`
	Organisation string `cbor:"2,keyasint"`
	Caller       string `cbor:"3,keyasint"`
	Budget       string `cbor:"4,keyasint"`
	Service      string `cbor:"5,keyasint"`
	// BodyHash identifies the body together with the service and path.
	BodyHash   string `cbor:"6,keyasint"`
	Repeatable bool   `cbor:"7,keyasint,omitempty"`
	// Tokens is the worst-case charge, which is reserved.
	Tokens int64 `cbor:"8,keyasint"`
	// Session is the session of the host that will own the request.
	Session string `cbor:"9,keyasint"`
	// Upstream is the id of the first upstream that will be tried.
	Upstream string `cbor:"10,keyasint,omitempty"`
	// UpstreamIncarnation is the incarnation of Upstream.
	UpstreamIncarnation uint64 `cbor:"11,keyasint,omitempty"`
	// Takeover asks to take over an open record even from an owner whose session lives,
	// because that owner was asked and no longer serves the request.
	Takeover bool `cbor:"12,keyasint,omitempty"`
	// Try numbers the tries of one session for this request. A resend of a Begin carries the
	// same number; another number from the owning session is told BeginInProgress.
	Try uint64 `cbor:"13,keyasint,omitempty"`
	// Unkeyed tells that RequestID was generated because the caller gave no idempotency key.
	// Its record is kept only as long as the owner may send commands again.
	Unkeyed bool `cbor:"14,keyasint,omitempty"`
	// Supersedes is the attempt that Takeover takes over, as told by BeginInProgress. If the
	// record has another one by now, its owner is not superseded. 0 is not checked.
	Supersedes uint32 `cbor:"15,keyasint,omitempty"`
	// Completes is the id of the request whose run was cut off and whose rest this one charges.
	Completes string `cbor:"16,keyasint,omitempty"`
}

// BeginStatus tells what a host does next with a request.
type BeginStatus string

// The results of Begin.
const (
	// BeginStarted: the record is new, or was released; run the request.
	BeginStarted BeginStatus = "started"
	// BeginTakenOver: the record was open under a dead owner; the caller now owns a later attempt.
	// With MayHaveRun set, the named upstream is not counted as dispatched: send Dispatch first.
	BeginTakenOver BeginStatus = "taken_over"
	// BeginInProgress: a live host owns the record.
	BeginInProgress BeginStatus = "in_progress"
	// BeginSettled: the request has run and is charged; see Answer.
	BeginSettled BeginStatus = "settled"
)

// BeginReply is the result of Begin. A refusal is returned as an *errkind.Error.
type BeginReply struct {
	Status BeginStatus `cbor:"1,keyasint"`
	// Attempt fences later Dispatch, Settle and Release of this request.
	Attempt uint32 `cbor:"2,keyasint"`
	// Owner is the session that owns the record if Status is BeginInProgress.
	Owner string `cbor:"3,keyasint,omitempty"`
	// MayHaveRun tells that an earlier attempt was dispatched and its fate is unknown.
	MayHaveRun bool `cbor:"4,keyasint,omitempty"`
	// Upstream and UpstreamIncarnation tell where the earlier attempt was dispatched.
	Upstream            string `cbor:"5,keyasint,omitempty"`
	UpstreamIncarnation uint64 `cbor:"6,keyasint,omitempty"`
	// Answer is the stored answer if Status is BeginSettled; nil if none was kept.
	Answer *StoredAnswer `cbor:"7,keyasint,omitempty"`
	// Charged is the charge of a settled request, in tokens.
	Charged int64 `cbor:"8,keyasint,omitempty"`
	// Suspect asks to run the request alone on its upstream, because its body was in flight at a crash.
	Suspect bool `cbor:"9,keyasint,omitempty"`
	// RunOn are upstreams on which the body may run now, if the error is SuspectBusy.
	RunOn []Instance `cbor:"10,keyasint,omitempty"`
	// Partial tells that a settled request was cut off before its end, so that Charged covers
	// only a part of it.
	Partial bool `cbor:"11,keyasint,omitempty"`
}

// StoredAnswer is a small answer that is kept in the record and given again.
type StoredAnswer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
}

// DispatchRequest records that a further upstream is about to be tried.
type DispatchRequest struct {
	RequestID           string `cbor:"1,keyasint"`
	Attempt             uint32 `cbor:"2,keyasint"`
	Upstream            string `cbor:"3,keyasint"`
	UpstreamIncarnation uint64 `cbor:"4,keyasint"`
	// EarlierNotRun is the owner's word that the earlier dispatches of the record provably did
	// not run. A request that may not be repeated is not dispatched again without it.
	EarlierNotRun bool `cbor:"5,keyasint,omitempty"`
	// Session is the sender's session; a command of another session than the owner's is refused.
	Session string `cbor:"6,keyasint,omitempty"`
	// NotRun are earlier dispatches of this attempt that provably did not run. They no longer
	// count, neither as runs nor as upstreams that the body was exposed to.
	NotRun []Instance `cbor:"7,keyasint,omitempty"`
	// Sequence numbers the dispatches of an attempt, rising from 1. A copy that arrives after a
	// later dispatch is refused, so that its word on what ran does no harm. 0 is not checked.
	Sequence uint32 `cbor:"8,keyasint,omitempty"`
}

// SettleRequest charges a request that ran and frees the rest of its reservation.
type SettleRequest struct {
	RequestID string        `cbor:"1,keyasint"`
	Attempt   uint32        `cbor:"2,keyasint"`
	Tokens    int64         `cbor:"3,keyasint"`
	Answer    *StoredAnswer `cbor:"4,keyasint,omitempty"`
	// Unknown closes the record of a non-repeatable request whose fate cannot be learnt.
	// Its whole reservation is charged and later tries are told OutcomeUnknown.
	Unknown bool `cbor:"5,keyasint,omitempty"`
	// Partial tells that the run was cut off before its end, so that it is no proof that the
	// body is harmless to upstreams, and that the charge covers only a part of the request.
	Partial bool `cbor:"6,keyasint,omitempty"`
	// Session is the sender's session, as in DispatchRequest.
	Session string `cbor:"7,keyasint,omitempty"`
	// Delivered tells that the whole answer was passed on before the settlement
	// reached the control group, which a host's journal had made durable. It is
	// taken also from an attempt that was superseded since.
	Delivered bool `cbor:"8,keyasint,omitempty"`
}

// ReleaseRequest frees the reservation of a request that provably did not run.
type ReleaseRequest struct {
	RequestID string `cbor:"1,keyasint"`
	Attempt   uint32 `cbor:"2,keyasint"`
	// MayHaveRun tells that a repeatable request may have run, but no answer was delivered. It
	// is refused for a request that may not be repeated, which is settled as unknown instead.
	MayHaveRun bool `cbor:"3,keyasint,omitempty"`
	// Session is the sender's session, as in DispatchRequest.
	Session string `cbor:"4,keyasint,omitempty"`
	// NotRun are dispatches that provably did not run, as in DispatchRequest.
	NotRun []Instance `cbor:"5,keyasint,omitempty"`
	// Abandoned tells that the owner of a request that may not be repeated has
	// stopped without learning its fate. The next try takes the record over.
	Abandoned bool `cbor:"6,keyasint,omitempty"`
}

// OpenSession opens the session of an entry host.
type OpenSession struct {
	Session string `cbor:"1,keyasint"`
	Host    string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
	// Address is the host's address for other hosts, as IP:port.
	Address string `cbor:"4,keyasint"`
	// SchemaMin and SchemaMax bound the schema versions that the host can serve under.
	SchemaMin int `cbor:"5,keyasint"`
	SchemaMax int `cbor:"6,keyasint"`
}

// EndSession ends a session, by drain or because its lease lapsed. Open
// requests of the session may be taken over afterwards.
type EndSession struct {
	Session string `cbor:"1,keyasint"`
	// Drained tells that the host ended it itself, with no request open.
	Drained bool `cbor:"2,keyasint,omitempty"`
}

// Heartbeat renews a session and its configuration lease. It is answered by the
// confirmed leader only, and is not a command of the log.
type Heartbeat struct {
	Session string `cbor:"1,keyasint"`
	// Revision is the configuration revision that the host serves under.
	Revision uint64 `cbor:"2,keyasint"`
	// HoldMS is the time for which the answer may be held until there is a newer
	// revision, in milliseconds.
	HoldMS int64 `cbor:"3,keyasint,omitempty"`
	// HostsVersion is that of the list of hosts that the host knows.
	HostsVersion uint64 `cbor:"4,keyasint,omitempty"`
	// Unmerged tells that the host serves from standby grants, or has charges in its
	// journal that the control group does not know yet.
	Unmerged bool `cbor:"5,keyasint,omitempty"`
}

// HeartbeatReply carries the lease and the configuration changes after the host's revision.
type HeartbeatReply struct {
	// LeaseMS is the length of the lease, counted from the sending of the heartbeat, in milliseconds.
	LeaseMS int64 `cbor:"1,keyasint"`
	// Full tells that Records replaces the host's whole configuration.
	Full    bool            `cbor:"2,keyasint,omitempty"`
	Records []config.Record `cbor:"3,keyasint,omitempty"`
	// Revision is the revision after Records are applied.
	Revision     uint64 `cbor:"4,keyasint"`
	ActiveSchema int    `cbor:"5,keyasint"`
	// Hosts are the entry hosts with a live session; absent if the host knows HostsVersion.
	Hosts []HostInfo `cbor:"6,keyasint,omitempty"`
	// FencingNumber is the term of the leader that answered.
	FencingNumber uint64 `cbor:"7,keyasint"`
	// Replicas are the addresses of the voters of the control group.
	Replicas []string `cbor:"8,keyasint,omitempty"`
	// HostsVersion identifies the present list of hosts.
	HostsVersion uint64 `cbor:"9,keyasint,omitempty"`
}

// HostInfo describes an entry host with a live session.
type HostInfo struct {
	Session  string `json:"session" cbor:"1,keyasint"`
	Host     string `json:"host" cbor:"2,keyasint"`
	Zone     string `json:"zone" cbor:"3,keyasint"`
	Address  string `json:"address" cbor:"4,keyasint"`
	Revision uint64 `json:"revision" cbor:"5,keyasint"`
}

// ConfigureRequest writes configuration records, all or none.
type ConfigureRequest struct {
	// OperationID makes a resend safe: it gets the first result.
	OperationID string        `cbor:"1,keyasint"`
	Writes      []ConfigWrite `cbor:"2,keyasint"`
	Operator    string        `cbor:"3,keyasint,omitempty"`
}

// ConfigWrite is one record of a ConfigureRequest.
type ConfigWrite struct {
	// Record is the new state; with Record.Deleted set the record is removed.
	Record config.Record `cbor:"1,keyasint"`
	// IfRevision must equal the record's present revision; 0 means that it must not exist.
	IfRevision uint64 `cbor:"2,keyasint"`
	// Force skips the comparison.
	Force bool `cbor:"3,keyasint,omitempty"`
}

// ConfigureReply tells the revision of a change and whether it is in force on every live host.
type ConfigureReply struct {
	Revision uint64 `json:"revision" cbor:"1,keyasint"`
	// Accepted is false while some live host may still serve under an older revision.
	Accepted bool            `json:"accepted" cbor:"2,keyasint"`
	Records  []config.Record `json:"records,omitempty" cbor:"3,keyasint,omitempty"`
	// Winner is the present record if the error is Conflict.
	Winner *config.Record `json:"winner,omitempty" cbor:"4,keyasint,omitempty"`
}

// TopUpRequest pays tokens into a budget once per operation id.
type TopUpRequest struct {
	OperationID string `cbor:"1,keyasint"`
	Budget      string `cbor:"2,keyasint"`
	Tokens      int64  `cbor:"3,keyasint"`
	Operator    string `cbor:"4,keyasint,omitempty"`
}

// BudgetStatus is the state of a budget in whole tokens.
// Charged + Reserved + Granted never exceeds PaidIn.
type BudgetStatus struct {
	Budget       string `json:"budget" cbor:"1,keyasint"`
	Organisation string `json:"organisation" cbor:"2,keyasint"`
	PaidIn       int64  `json:"paid_in" cbor:"3,keyasint"`
	Charged      int64  `json:"charged" cbor:"4,keyasint"`
	Reserved     int64  `json:"reserved" cbor:"5,keyasint"`
	Granted      int64  `json:"granted" cbor:"6,keyasint"`
}

// RequestStatus is the state of one request record.
type RequestStatus struct {
	RequestID    string `json:"request_id" cbor:"1,keyasint"`
	Organisation string `json:"organisation" cbor:"2,keyasint"`
	Caller       string `json:"caller" cbor:"3,keyasint"`
	Service      string `json:"service" cbor:"4,keyasint"`
	State        string `json:"state" cbor:"5,keyasint"`
	Attempt      uint32 `json:"attempt" cbor:"6,keyasint"`
	Reserved     int64  `json:"reserved" cbor:"7,keyasint"`
	Charged      int64  `json:"charged" cbor:"8,keyasint"`
	// Completed is what later runs have charged that completed one which was cut off.
	Completed int64  `json:"completed,omitempty" cbor:"30,keyasint,omitempty"`
	Session   string `json:"session,omitempty" cbor:"9,keyasint,omitempty"`
}

// QueryRequest asks for control state, read from the confirmed leader. Set one field.
type QueryRequest struct {
	// Records lists the configuration records of a kind; "*" means all kinds.
	Records config.Kind `cbor:"1,keyasint,omitempty"`
	// Name restricts Records to one name.
	Name string `cbor:"2,keyasint,omitempty"`
	// Budgets lists the state of all budgets, or of those of Organisation.
	Budgets      bool   `cbor:"3,keyasint,omitempty"`
	Organisation string `cbor:"4,keyasint,omitempty"`
	// Request asks for one request record by id.
	Request string `cbor:"5,keyasint,omitempty"`
	// Requests lists all request records (of Organisation, if set).
	Requests bool `cbor:"6,keyasint,omitempty"`
	// History lists the configuration changes after this revision plus one.
	History    bool   `cbor:"7,keyasint,omitempty"`
	HistoryMin uint64 `cbor:"8,keyasint,omitempty"`
	// Hosts lists the sessions of entry hosts.
	Hosts bool `cbor:"9,keyasint,omitempty"`
	// Replicas asks for the state of the control replicas.
	Replicas bool `cbor:"10,keyasint,omitempty"`
	// Grants lists the grants that are outstanding, those of ended sessions included.
	Grants bool `cbor:"11,keyasint,omitempty"`
	// Orders lists the orders to upstreams, oldest first.
	Orders bool `cbor:"12,keyasint,omitempty"`
	// Suspects lists the bodies that were in flight when an upstream was lost.
	Suspects bool `cbor:"13,keyasint,omitempty"`
	// Only restricts Budgets to these names, and Grants to these sessions; empty means all.
	Only []string `cbor:"20,keyasint,omitempty"`
}

// QueryReply answers a QueryRequest.
type QueryReply struct {
	Records  []config.Record `json:"records,omitempty" cbor:"1,keyasint,omitempty"`
	Budgets  []BudgetStatus  `json:"budgets,omitempty" cbor:"2,keyasint,omitempty"`
	Requests []RequestStatus `json:"requests,omitempty" cbor:"3,keyasint,omitempty"`
	History  []HistoryEntry  `json:"history,omitempty" cbor:"4,keyasint,omitempty"`
	Hosts    []HostInfo      `json:"hosts,omitempty" cbor:"5,keyasint,omitempty"`
	Replicas []ReplicaStatus `json:"replicas,omitempty" cbor:"6,keyasint,omitempty"`
	Revision uint64          `json:"revision" cbor:"7,keyasint"`
	Schema   int             `json:"active_schema" cbor:"8,keyasint"`
	Grants   []GrantStatus   `json:"grants,omitempty" cbor:"9,keyasint,omitempty"`
	// CanLose is the number of further voters whose loss the group survives, with
	// Replicas; nil if the leader does not know it.
	CanLose  *int            `json:"can_lose,omitempty" cbor:"10,keyasint,omitempty"`
	Orders   []OrderStatus   `json:"orders,omitempty" cbor:"11,keyasint,omitempty"`
	Suspects []SuspectStatus `json:"suspects,omitempty" cbor:"12,keyasint,omitempty"`
	// Truncated tells that there are more request records than Requests holds.
	Truncated bool `json:"truncated,omitempty" cbor:"13,keyasint,omitempty"`
	// JournalsAwaited is as in Result, with Request.
	JournalsAwaited bool `json:"journals_awaited,omitempty" cbor:"14,keyasint,omitempty"`
}

// ReplicaAction is a change of the membership of the control group.
type ReplicaAction string

// The changes of the membership. Each is done by the leader, one at a time.
const (
	// ReplicaAdd adds a replica as a learner, under an id above every earlier one.
	ReplicaAdd ReplicaAction = "add"
	// ReplicaPromote makes a learner a voter once it has caught up.
	ReplicaPromote ReplicaAction = "promote"
	// ReplicaRemove removes a replica that does not lead.
	ReplicaRemove ReplicaAction = "remove"
	// ReplicaLead hands the leadership over to a voter.
	ReplicaLead ReplicaAction = "lead"
)

// ReplicaChange changes the membership or the leader of the control group.
type ReplicaChange struct {
	Action ReplicaAction `json:"action" cbor:"1,keyasint"`
	ID     uint64        `json:"id" cbor:"2,keyasint"`
	// Address is for ReplicaAdd: the replica's address for other hosts, as IP:port.
	Address string `json:"address,omitempty" cbor:"3,keyasint,omitempty"`
}

// Roles of replicas in ReplicaStatus.
const (
	RoleLeader   = "leader"
	RoleFollower = "follower"
	RoleLearner  = "learner"
)

// HistoryEntry is one change of the configuration.
type HistoryEntry struct {
	Revision    uint64      `json:"revision" cbor:"1,keyasint"`
	OperationID string      `json:"operation_id" cbor:"2,keyasint"`
	Operator    string      `json:"operator,omitempty" cbor:"3,keyasint,omitempty"`
	Kind        config.Kind `json:"kind" cbor:"4,keyasint"`
	Name        string      `json:"name" cbor:"5,keyasint"`
	Deleted     bool        `json:"deleted,omitempty" cbor:"6,keyasint,omitempty"`
	TimeMS      int64       `json:"time_ms" cbor:"7,keyasint"`
}

// ReplicaStatus is the state of one control replica as the leader sees it.
type ReplicaStatus struct {
	ID      uint64 `json:"id" cbor:"1,keyasint"`
	Address string `json:"address" cbor:"2,keyasint"`
	Role    string `json:"role" cbor:"3,keyasint"`
	Term    uint64 `json:"term" cbor:"4,keyasint"`
	Applied uint64 `json:"applied" cbor:"5,keyasint"`
	Match   uint64 `json:"match" cbor:"6,keyasint"`
}

// Command is one entry of the replicated log. Exactly one body is set.
type Command struct {
	// TimeMS is the leader's clock at proposal, in milliseconds since 1970.
	// The state machine's time never goes back.
	TimeMS      int64             `cbor:"1,keyasint"`
	Begin       *BeginRequest     `cbor:"2,keyasint,omitempty"`
	Dispatch    *DispatchRequest  `cbor:"3,keyasint,omitempty"`
	Settle      *SettleRequest    `cbor:"4,keyasint,omitempty"`
	Release     *ReleaseRequest   `cbor:"5,keyasint,omitempty"`
	Crash       *CrashReport      `cbor:"6,keyasint,omitempty"`
	OpenSession *OpenSession      `cbor:"7,keyasint,omitempty"`
	EndSession  *EndSession       `cbor:"8,keyasint,omitempty"`
	Configure   *ConfigureRequest `cbor:"9,keyasint,omitempty"`
	TopUp       *TopUpRequest     `cbor:"10,keyasint,omitempty"`

	Grant         *GrantRequest         `cbor:"11,keyasint,omitempty"`
	ReturnGrant   *ReturnGrantRequest   `cbor:"12,keyasint,omitempty"`
	MergeJournal  *MergeJournalRequest  `cbor:"13,keyasint,omitempty"`
	WriteOffGrant *WriteOffGrantRequest `cbor:"14,keyasint,omitempty"`
	PlaceOrder    *PlaceOrder           `cbor:"15,keyasint,omitempty"`
	FinishOrder   *FinishOrder          `cbor:"16,keyasint,omitempty"`
	ClearBody     *ClearBodyRequest     `cbor:"17,keyasint,omitempty"`
}

// Result is the outcome of a Command. Err is set on a refusal.
type Result struct {
	Err       *errkind.Error  `cbor:"1,keyasint,omitempty"`
	Begin     *BeginReply     `cbor:"2,keyasint,omitempty"`
	Settled   int64           `cbor:"3,keyasint,omitempty"`
	Configure *ConfigureReply `cbor:"4,keyasint,omitempty"`
	Budget    *BudgetStatus   `cbor:"5,keyasint,omitempty"`
	// Overrun is what a settled request used beyond its reservation, in tokens. It is not charged.
	Overrun int64 `cbor:"6,keyasint,omitempty"`
	// Grant is the state of the grant after Grant or ReturnGrant.
	Grant *GrantStatus `cbor:"7,keyasint,omitempty"`
	Merge *MergeReply  `cbor:"8,keyasint,omitempty"`
	// WrittenOff is what WriteOffGrant charged, in tokens.
	WrittenOff int64 `cbor:"9,keyasint,omitempty"`
	// Order is the state of the order after PlaceOrder or FinishOrder.
	Order *OrderStatus `cbor:"10,keyasint,omitempty"`
	// JournalsAwaited tells with the result of Begin that a host may have served
	// requests from a standby grant that the control group does not know of yet.
	JournalsAwaited bool `cbor:"11,keyasint,omitempty"`
}

// Client is the control group as an entry host sees it. Execute returns the
// result of a committed command; the error is ControlUnavailable if it is not
// known to be committed (it may still commit later). All commands are
// idempotent, so they may be sent again.
type Client interface {
	Execute(ctx context.Context, cmd *Command) (*Result, error)
	Query(ctx context.Context, req *QueryRequest) (*QueryReply, error)
}
