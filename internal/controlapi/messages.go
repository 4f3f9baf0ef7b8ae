// Package controlapi defines the messages between entry hosts and the control group. The
// same messages are the commands of the replicated log.
package controlapi

import (
	"context"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// BeginRequest opens the record of a request and reserves its maximum charge. A request is
// dispatched only after its record is committed.
type BeginRequest struct {
	// RequestID is RequestIDFor(Caller, Key).
	RequestID    string `cbor:"1,keyasint"`
	Organisation string `cbor:"2,keyasint"`
	Caller       string `cbor:"3,keyasint"`
	Budget       string `cbor:"4,keyasint"`
	Service      string `cbor:"5,keyasint"`
	// BodyHash identifies the body, the service and the path. It is the result of the
	// function BodyHash.
	BodyHash   string `cbor:"6,keyasint"`
	Repeatable bool   `cbor:"7,keyasint,omitempty"`
	// Tokens is the maximum charge, which is reserved.
	Tokens int64 `cbor:"8,keyasint"`
	// Session is the session of the host that will own the request.
	Session string `cbor:"9,keyasint"`
	// Upstream is the id of the first upstream to which the request will be dispatched.
	Upstream string `cbor:"10,keyasint,omitempty"`
	// UpstreamIncarnation is the incarnation of Upstream.
	UpstreamIncarnation uint64 `cbor:"11,keyasint,omitempty"`
	// Takeover requests ownership of an open record even if the owner's session is live,
	// because the owner has confirmed that it no longer serves the request.
	Takeover bool `cbor:"12,keyasint,omitempty"`
	// BeginSequence numbers the Begin calls of one session for this request. A resend has the
	// same number. A call of the owning session with another number gets BeginInProgress.
	BeginSequence uint64 `cbor:"13,keyasint,omitempty"`
	// Unkeyed reports that RequestID was generated because the caller gave no idempotency
	// key. The record is kept only as long as the owner may resend commands.
	Unkeyed bool `cbor:"14,keyasint,omitempty"`
	// Supersedes is the attempt that Takeover replaces, as returned with BeginInProgress. If
	// the record has a different attempt, its owner is not superseded. 0 disables the check.
	Supersedes uint32 `cbor:"15,keyasint,omitempty"`
	// Completes is the id of the partial request whose remaining tokens this one is charged for.
	Completes string `cbor:"16,keyasint,omitempty"`
}

// BeginStatus is the result of Begin; it determines how the host proceeds.
type BeginStatus string

// The results of Begin.
const (
	// BeginStarted: the record is new, or had been released. The host runs the request.
	BeginStarted BeginStatus = "started"
	// BeginTakenOver: the record was open and its previous owner no longer serves it; the
	// sender owns a new attempt. If MayHaveRun is set, the upstream of the Begin is not
	// recorded as dispatched, so the host must send Dispatch first.
	BeginTakenOver BeginStatus = "taken_over"
	// BeginInProgress: a live host owns the record.
	BeginInProgress BeginStatus = "in_progress"
	// BeginSettled: the request has run and was charged; see Answer.
	BeginSettled BeginStatus = "settled"
)

// BeginReply is the result of Begin. A refusal is returned as an *errkind.Error.
type BeginReply struct {
	Status BeginStatus `cbor:"1,keyasint"`
	// Attempt is the fencing number of later Dispatch, Settle and Release commands.
	Attempt uint32 `cbor:"2,keyasint"`
	// Owner is the session that owns the record if Status is BeginInProgress.
	Owner string `cbor:"3,keyasint,omitempty"`
	// MayHaveRun reports that an earlier attempt was dispatched and its outcome is unknown.
	MayHaveRun bool `cbor:"4,keyasint,omitempty"`
	// Upstream and UpstreamIncarnation identify where the earlier attempt was dispatched.
	Upstream            string `cbor:"5,keyasint,omitempty"`
	UpstreamIncarnation uint64 `cbor:"6,keyasint,omitempty"`
	// Answer is the stored answer if Status is BeginSettled, or nil if none was stored.
	Answer *StoredAnswer `cbor:"7,keyasint,omitempty"`
	// Charged is the number of tokens charged for a settled request.
	Charged int64 `cbor:"8,keyasint,omitempty"`
	// Suspect requires the request to run exclusively on its upstream, because its body was
	// in flight when an upstream crashed.
	Suspect bool `cbor:"9,keyasint,omitempty"`
	// AllowedInstances lists the upstreams on which the body may run, if the error is
	// SuspectBusy.
	AllowedInstances []Instance `cbor:"10,keyasint,omitempty"`
	// Partial reports that a settled request was aborted before its end, so that Charged
	// covers only a part of it.
	Partial bool `cbor:"11,keyasint,omitempty"`
}

// StoredAnswer is a small answer that is stored in the record and replayed to retries.
type StoredAnswer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
}

// DispatchRequest records that the request is about to be dispatched to another upstream.
type DispatchRequest struct {
	RequestID           string `cbor:"1,keyasint"`
	Attempt             uint32 `cbor:"2,keyasint"`
	Upstream            string `cbor:"3,keyasint"`
	UpstreamIncarnation uint64 `cbor:"4,keyasint"`
	// EarlierNotRun is the owner's assertion that the earlier dispatches of the record provably
	// did not run. A non-repeatable request is not dispatched again without it.
	EarlierNotRun bool `cbor:"5,keyasint,omitempty"`
	// Session is the sender's session. A command from a session other than the owner's is
	// refused.
	Session string `cbor:"6,keyasint,omitempty"`
	// NotRun lists earlier dispatches of this attempt that provably did not run. They no longer
	// count as runs, nor as exposure of an upstream to the body.
	NotRun []Instance `cbor:"7,keyasint,omitempty"`
	// Sequence numbers the dispatches of an attempt from 1. A copy that arrives after a later
	// dispatch is refused, because its NotRun and EarlierNotRun are outdated. 0 disables the
	// check.
	Sequence uint32 `cbor:"8,keyasint,omitempty"`
}

// SettleRequest charges a request that ran and releases the rest of its reservation.
type SettleRequest struct {
	RequestID string        `cbor:"1,keyasint"`
	Attempt   uint32        `cbor:"2,keyasint"`
	Tokens    int64         `cbor:"3,keyasint"`
	Answer    *StoredAnswer `cbor:"4,keyasint,omitempty"`
	// Unknown closes the record of a non-repeatable request whose outcome cannot be
	// determined. The whole reservation is charged, and retries get OutcomeUnknown.
	Unknown bool `cbor:"5,keyasint,omitempty"`
	// Partial reports that the run was aborted before its end. It therefore does not show that
	// the body is known-safe, and the charge covers only a part of the request.
	Partial bool `cbor:"6,keyasint,omitempty"`
	// Session is the sender's session, as in DispatchRequest.
	Session string `cbor:"7,keyasint,omitempty"`
	// Delivered reports that the whole answer was delivered before the settlement reached the
	// control group, because a host's journal had made the settlement durable. Such a
	// settlement is accepted even if the attempt has been superseded.
	Delivered bool `cbor:"8,keyasint,omitempty"`
}

// ReleaseRequest releases the reservation of a request that provably did not run.
type ReleaseRequest struct {
	RequestID string `cbor:"1,keyasint"`
	Attempt   uint32 `cbor:"2,keyasint"`
	// MayHaveRun reports that a repeatable request may have run, but no answer was delivered.
	// It is refused for a non-repeatable request, which is settled as unknown instead.
	MayHaveRun bool `cbor:"3,keyasint,omitempty"`
	// Session is the sender's session, as in DispatchRequest.
	Session string `cbor:"4,keyasint,omitempty"`
	// NotRun lists dispatches that provably did not run, as in DispatchRequest.
	NotRun []Instance `cbor:"5,keyasint,omitempty"`
	// Abandoned reports that the owner of a non-repeatable request stopped without learning
	// its outcome. The next retry takes the record over.
	Abandoned bool `cbor:"6,keyasint,omitempty"`
}

// Command is one entry of the replicated log. Exactly one of the pointers is set.
type Command struct {
	// TimeMS is the leader's wall clock when it proposed the command, in milliseconds since
	// 1970. The state machine's time never decreases.
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

// Result is the result of a Command. Err is set if the command was refused.
type Result struct {
	Err       *errkind.Error  `cbor:"1,keyasint,omitempty"`
	Begin     *BeginReply     `cbor:"2,keyasint,omitempty"`
	Settled   int64           `cbor:"3,keyasint,omitempty"`
	Configure *ConfigureReply `cbor:"4,keyasint,omitempty"`
	Budget    *BudgetStatus   `cbor:"5,keyasint,omitempty"`
	// Overrun is the number of tokens that a settled request used beyond its reservation. They
	// are not charged.
	Overrun int64 `cbor:"6,keyasint,omitempty"`
	// Grant is the state of the grant after Grant or ReturnGrant.
	Grant *GrantStatus `cbor:"7,keyasint,omitempty"`
	Merge *MergeReply  `cbor:"8,keyasint,omitempty"`
	// WrittenOff is the number of tokens charged by WriteOffGrant.
	WrittenOff int64 `cbor:"9,keyasint,omitempty"`
	// Order is the state of the order after PlaceOrder or FinishOrder.
	Order *OrderStatus `cbor:"10,keyasint,omitempty"`
	// JournalsAwaited is set with the result of Begin. It reports that a host may have served
	// requests from a standby grant whose journal is not merged yet.
	JournalsAwaited bool `cbor:"11,keyasint,omitempty"`
}

// Client is an entry host's interface to the control group. Execute returns the result of
// a committed command. Its error is ControlUnavailable if the command is not known to be
// committed; it may still be committed later. All commands are idempotent and may be
// resent.
type Client interface {
	Execute(ctx context.Context, cmd *Command) (*Result, error)
	Query(ctx context.Context, req *QueryRequest) (*QueryReply, error)
}
