// Package request implements the records that the control group keeps of requests: their
// states from Begin over Dispatch to Settle or Release, and the retention of closed records.
package request

import (
	"slices"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// MaxAnswerBytes bounds the body of a stored answer, in bytes. Larger answers are not stored.
const MaxAnswerBytes = 4 << 10

// maxDispatches bounds the dispatches of one record.
const maxDispatches = 32

// State is the state of a record.
type State string

// States of a record. All but Open are closed states.
const (
	// Open: an attempt may be running, and tokens are reserved.
	Open State = "open"
	// Settled: the request ran and was charged.
	Settled State = "settled"
	// Unknown: a request that may not be repeated may have run. Its whole reservation was
	// charged.
	Unknown State = "unknown"
	// Released: the request did not run, or ran without an answer. Nothing was charged.
	Released State = "released"
)

// Record is the record of one request. Its owner is the session that made the
// current attempt. Commands of earlier attempts are refused.
type Record struct {
	ID           string `cbor:"1,keyasint"`
	Organisation string `cbor:"2,keyasint"`
	Caller       string `cbor:"3,keyasint"`
	Budget       string `cbor:"4,keyasint"`
	Service      string `cbor:"5,keyasint"`
	BodyHash     string `cbor:"6,keyasint"`
	Repeatable   bool   `cbor:"7,keyasint,omitempty"`
	// Unkeyed reports that the caller gave no idempotency key, so that only the owner can
	// resend the request.
	Unkeyed bool   `cbor:"8,keyasint,omitempty"`
	State   State  `cbor:"9,keyasint"`
	Attempt uint32 `cbor:"10,keyasint"`
	Session string `cbor:"11,keyasint"`
	// BeginSequence is the number that the owner gave the Begin of the current attempt.
	BeginSequence uint64 `cbor:"12,keyasint,omitempty"`
	Reserved      int64  `cbor:"13,keyasint,omitempty"`
	Charged       int64  `cbor:"14,keyasint,omitempty"`
	// Overrun is the number of tokens used beyond the reservation. They are not charged.
	Overrun int64 `cbor:"15,keyasint,omitempty"`
	// Dispatches are the upstream instances on which the request may have run. The first
	// EarlierDispatches of them were recorded by earlier attempts.
	Dispatches        []controlapi.Instance    `cbor:"16,keyasint,omitempty"`
	EarlierDispatches int                      `cbor:"17,keyasint,omitempty"`
	Answer            *controlapi.StoredAnswer `cbor:"18,keyasint,omitempty"`
	// ClosedMS is the state time at which the record was closed or its retention last
	// restarted, in milliseconds since 1970.
	ClosedMS int64 `cbor:"19,keyasint,omitempty"`
	// CloseSequence orders the closed records by the start of their retention.
	CloseSequence uint64 `cbor:"20,keyasint,omitempty"`
	// Orphaned reports that the session of an open record ended, at state time OrphanedMS.
	Orphaned   bool  `cbor:"21,keyasint,omitempty"`
	OrphanedMS int64 `cbor:"22,keyasint,omitempty"`
	// TakenOver reports that the current attempt took the record over from another owner.
	TakenOver bool `cbor:"23,keyasint,omitempty"`
	// Partial reports that a settled request was cut off before its end.
	Partial bool `cbor:"24,keyasint,omitempty"`
	// DispatchSequence is the number of the latest Dispatch of the current attempt.
	DispatchSequence uint32 `cbor:"25,keyasint,omitempty"`
	// Completes is the id of the partial request whose remaining tokens this one is charged for.
	Completes string `cbor:"26,keyasint,omitempty"`
	// ChargedByCompletions is the number of tokens charged for later runs that complete this
	// partial one.
	ChargedByCompletions int64 `cbor:"27,keyasint,omitempty"`
}

// New returns an open record with its first attempt.
func New(b *controlapi.BeginRequest) *Record {
	r := &Record{
		ID:           b.RequestID,
		Organisation: b.Organisation,
		Caller:       b.Caller,
		Budget:       b.Budget,
		Service:      b.Service,
		BodyHash:     b.BodyHash,
		Repeatable:   b.Repeatable,
		Unkeyed:      b.Unkeyed,
		Completes:    b.Completes,
	}
	r.open(b)
	return r
}

// Restart reopens a released record with a new attempt.
func (r *Record) Restart(b *controlapi.BeginRequest) {
	r.Dispatches = nil
	r.EarlierDispatches = 0
	r.Budget = b.Budget
	r.open(b)
}

// TakeOver makes the sender of b the owner of an open record, with a new attempt. The
// dispatches of earlier attempts are kept, as the request may have run there.
func (r *Record) TakeOver(b *controlapi.BeginRequest) {
	r.EarlierDispatches = len(r.Dispatches)
	r.TakenOver = true
	r.setOwner(b)
}

func (r *Record) open(b *controlapi.BeginRequest) {
	r.State = Open
	r.TakenOver = false
	r.Reserved = b.Tokens
	r.ClosedMS = 0
	r.CloseSequence = 0
	r.setOwner(b)
}

func (r *Record) setOwner(b *controlapi.BeginRequest) {
	r.Attempt++
	r.Session = b.Session
	r.BeginSequence = b.BeginSequence
	r.DispatchSequence = 0
	r.Orphaned = false
	r.OrphanedMS = 0
}

// IsResend reports whether b repeats the Begin that made the current attempt. A Begin that
// names an upstream to which the request was not dispatched is not a resend.
func (r *Record) IsResend(b *controlapi.BeginRequest) bool {
	if r.State != Open || r.Session != b.Session || r.BeginSequence != b.BeginSequence {
		return false
	}
	first := controlapi.Instance{Upstream: b.Upstream, Incarnation: b.UpstreamIncarnation}
	return b.Upstream == "" || r.EarlierDispatches > 0 || slices.Contains(r.Dispatches, first)
}

// IsSupersededBy reports whether b takes the record over from its owner although the owner's
// session is open.
func (r *Record) IsSupersededBy(b *controlapi.BeginRequest) bool {
	return b.Takeover && (b.Supersedes == 0 || b.Supersedes == r.Attempt)
}

// IsLateResend reports whether b repeats the Begin of an attempt that has been released.
func (r *Record) IsLateResend(b *controlapi.BeginRequest) bool {
	return r.State == Released && b.BeginSequence != 0 && r.Session == b.Session && r.BeginSequence == b.BeginSequence
}

// MayHaveRun reports whether an earlier attempt was dispatched and its outcome is unknown.
func (r *Record) MayHaveRun() bool { return r.EarlierDispatches > 0 }

// LastEarlierDispatch returns the last dispatch of earlier attempts, if there is one.
func (r *Record) LastEarlierDispatch() (controlapi.Instance, bool) {
	if r.EarlierDispatches == 0 {
		return controlapi.Instance{}, false
	}
	return r.Dispatches[r.EarlierDispatches-1], true
}

// IsDispatchResend reports whether the dispatch to d is already recorded and may be repeated.
// For a request that may not be repeated, only dispatches of the current attempt count:
// it must not be resent to the instance of an earlier attempt that may have run it.
func (r *Record) IsDispatchResend(d controlapi.Instance) bool {
	if r.Repeatable {
		return slices.Contains(r.Dispatches, d)
	}
	return slices.Contains(r.Dispatches[r.EarlierDispatches:], d)
}

// CheckDispatch returns an error if the request must not be sent to another upstream. A
// request that may not be repeated is sent again only if its earlier dispatches provably
// did not run. The number of dispatches is limited.
func (r *Record) CheckDispatch(earlierNotRun bool) *errkind.Error {
	if !r.Repeatable && !earlierNotRun && len(r.Dispatches) > 0 {
		return errkind.New(errkind.OutcomeUnknown, "request %s may have run on %s", r.ID, r.Dispatches[len(r.Dispatches)-1].Upstream)
	}
	if !earlierNotRun && len(r.Dispatches) >= maxDispatches {
		return errkind.New(errkind.UpstreamFailed, "request %s was dispatched %d times", r.ID, maxDispatches)
	}
	return nil
}

// AddDispatch records the dispatch to d. It must be called before the request is sent.
func (r *Record) AddDispatch(d controlapi.Instance) { r.Dispatches = append(r.Dispatches, d) }

// AcceptDispatchSequence records the sequence number of a Dispatch. It returns an error of
// kind StaleAttempt if a Dispatch with a higher number has been received.
func (r *Record) AcceptDispatchSequence(sequence uint32) *errkind.Error {
	if sequence != 0 && sequence < r.DispatchSequence {
		return errkind.New(errkind.StaleAttempt, "dispatch %d of request %s is superseded by %d", sequence, r.ID, r.DispatchSequence)
	}
	r.DispatchSequence = max(r.DispatchSequence, sequence)
	return nil
}

// DropDispatches removes the listed dispatches, which provably did not run, from those of
// the current attempt, and returns the removed ones. Dispatches of earlier attempts to the
// same instances are kept, as they may have run.
func (r *Record) DropDispatches(listed []controlapi.Instance) []controlapi.Instance {
	var dropped []controlapi.Instance
	kept := slices.Clone(r.Dispatches[:r.EarlierDispatches])
	for _, d := range r.Dispatches[r.EarlierDispatches:] {
		if slices.Contains(listed, d) {
			dropped = append(dropped, d)
		} else {
			kept = append(kept, d)
		}
	}
	r.Dispatches = kept
	return dropped
}

// ClearDispatches removes all dispatches, which provably did not run, and returns them.
func (r *Record) ClearDispatches() []controlapi.Instance {
	dropped := r.Dispatches
	r.Dispatches = nil
	r.EarlierDispatches = 0
	return dropped
}

// CheckAttempt returns an error of kind StaleAttempt unless attempt is the current one and
// session, if not empty, is its owner.
func (r *Record) CheckAttempt(attempt uint32, session string) *errkind.Error {
	if r.Attempt != attempt {
		return errkind.New(errkind.StaleAttempt, "attempt %d of request %s is superseded by %d", attempt, r.ID, r.Attempt)
	}
	if session != "" && session != r.Session {
		return errkind.New(errkind.StaleAttempt, "attempt %d of request %s belongs to another session", attempt, r.ID)
	}
	return nil
}

// CheckOpen returns an error of kind StaleAttempt unless the record is open.
func (r *Record) CheckOpen() *errkind.Error {
	switch r.State {
	case Open:
		return nil
	case Released:
		return errkind.New(errkind.StaleAttempt, "attempt %d of request %s was released", r.Attempt, r.ID)
	default:
		return errkind.New(errkind.StaleAttempt, "request %s is %s", r.ID, r.State).WithOutcome(outcomeOf(r.State))
	}
}

func outcomeOf(s State) errkind.Outcome {
	if s == Settled {
		return errkind.Ran
	}
	return errkind.Unknown
}

// Settle closes the record with a charge of used tokens, limited to its reservation, and
// returns the reservation that was released.
func (r *Record) Settle(used int64, answer *controlapi.StoredAnswer) (reserved int64) {
	r.State = Settled
	r.Charged = min(used, r.Reserved)
	r.Overrun = used - r.Charged
	if !r.Repeatable && answer != nil && len(answer.Body) <= MaxAnswerBytes {
		r.Answer = answer
	}
	return r.clearReservation()
}

// NewSettled returns the settled record of a request that a host served from its grants.
// charged is the number of tokens charged to the grants.
func NewSettled(id, session string, e *controlapi.JournalEntry, charged int64) *Record {
	r := &Record{
		ID: id, Organisation: e.Organisation, Caller: e.Caller, Budget: e.Budget, Service: e.Service,
		BodyHash: e.BodyHash, Repeatable: true, Unkeyed: e.Unkeyed, Attempt: 1, Session: session,
		Partial: e.Partial, Completes: e.Completes,
	}
	r.SettleFromGrant(charged, e.Tokens)
	return r
}

// SettleFromGrant closes the record of a request that was served from a grant, to which it
// is charged. It returns the reservation that was released without a charge.
func (r *Record) SettleFromGrant(charged, used int64) (reserved int64) {
	r.State = Settled
	r.Charged = charged
	r.Overrun = used - charged
	return r.clearReservation()
}

// SettleUnknown closes the record of a request whose outcome cannot be determined. It
// charges the whole reservation and returns it.
func (r *Record) SettleUnknown() (reserved int64) {
	r.State = Unknown
	r.Charged = r.Reserved
	return r.clearReservation()
}

// Release closes the record without a charge and returns the reservation that was released.
func (r *Record) Release() (reserved int64) {
	r.State = Released
	return r.clearReservation()
}

func (r *Record) clearReservation() int64 {
	reserved := r.Reserved
	r.Reserved = 0
	r.Dispatches = nil
	r.EarlierDispatches = 0
	r.Orphaned = false
	r.OrphanedMS = 0
	return reserved
}

// Check returns an error of kind Internal if the record violates an invariant.
func (r *Record) Check() error {
	switch {
	case r.Reserved < 0 || r.Charged < 0 || r.Overrun < 0:
		return errkind.New(errkind.Internal, "request %s has a negative token count", r.ID)
	case r.Attempt == 0:
		return errkind.New(errkind.Internal, "request %s has attempt number 0", r.ID)
	case r.State != Open && r.Reserved != 0:
		return errkind.New(errkind.Internal, "request %s is %s with %d tokens reserved", r.ID, r.State, r.Reserved)
	case r.State != Settled && r.State != Unknown && r.Charged != 0:
		return errkind.New(errkind.Internal, "request %s is %s with %d tokens charged", r.ID, r.State, r.Charged)
	case r.EarlierDispatches > len(r.Dispatches):
		return errkind.New(errkind.Internal, "request %s has %d earlier dispatches of %d", r.ID, r.EarlierDispatches, len(r.Dispatches))
	case !r.Repeatable && len(r.Dispatches) > 1:
		return errkind.New(errkind.Internal, "request %s may not be repeated and has %d dispatches", r.ID, len(r.Dispatches))
	}
	return nil
}
