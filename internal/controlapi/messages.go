// Package controlapi holds the typed messages between entry hosts and the
// control group. The same messages are the commands of the replicated log.
package controlapi

import (
	"context"

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
	BeginSequence uint64 `cbor:"13,keyasint,omitempty"`
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
	AllowedInstances []Instance `cbor:"10,keyasint,omitempty"`
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
