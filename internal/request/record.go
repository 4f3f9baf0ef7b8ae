// Package request holds the aggregate of one request record: its life from
// Begin over Dispatch to Settle or Release, and its retention.
package request

import (
	"slices"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// MaxAnswerBytes bounds the body of a stored answer, in bytes. A larger answer is not kept.
const MaxAnswerBytes = 4 << 10

// maxDispatches bounds the dispatches of one record.
const maxDispatches = 32

// State is the stage of a record's life.
type State string

// The states of a record.
const (
	// Open: an attempt may be running; tokens are reserved.
	Open State = "open"
	// Settled: the request ran and is charged.
	Settled State = "settled"
	// Unknown: the fate of a request that may not be repeated is not known; it is charged.
	Unknown State = "unknown"
	// Released: the request did not run, or ran without an answer; nothing is charged.
	Released State = "released"
)

// Record is the record of one request. Its owner is the session that holds the
// present attempt. Commands of older attempts are refused.
type Record struct {
	ID           string `cbor:"1,keyasint"`
	Organisation string `cbor:"2,keyasint"`
	Caller       string `cbor:"3,keyasint"`
	Budget       string `cbor:"4,keyasint"`
	Service      string `cbor:"5,keyasint"`
	BodyHash     string `cbor:"6,keyasint"`
	Repeatable   bool   `cbor:"7,keyasint,omitempty"`
	// Unkeyed tells that the caller gave no idempotency key, so only the owner can send it again.
	Unkeyed bool   `cbor:"8,keyasint,omitempty"`
	State   State  `cbor:"9,keyasint"`
	Attempt uint32 `cbor:"10,keyasint"`
	Session string `cbor:"11,keyasint"`
	// Try is the owner's number of the Begin that made the present attempt.
	Try      uint64 `cbor:"12,keyasint,omitempty"`
	Reserved int64  `cbor:"13,keyasint,omitempty"`
	Charged  int64  `cbor:"14,keyasint,omitempty"`
	// Overrun is what the request used beyond its reservation, in tokens. It is not charged.
	Overrun int64 `cbor:"15,keyasint,omitempty"`
	// Dispatches are the dispatches that may have run. The first Earlier of
	// them were made by earlier attempts.
	Dispatches []controlapi.Instance    `cbor:"16,keyasint,omitempty"`
	Earlier    int                      `cbor:"17,keyasint,omitempty"`
	Answer     *controlapi.StoredAnswer `cbor:"18,keyasint,omitempty"`
	// ClosedMS is the state time at which the record left Open, in milliseconds since 1970.
	ClosedMS int64 `cbor:"19,keyasint,omitempty"`
	// CloseSequence orders the closed records.
	CloseSequence uint64 `cbor:"20,keyasint,omitempty"`
	// Orphaned tells that the session of an open record ended, at state time OrphanedMS.
	Orphaned   bool  `cbor:"21,keyasint,omitempty"`
	OrphanedMS int64 `cbor:"22,keyasint,omitempty"`
	// TakenOver tells that the present attempt took the record over from another owner.
	TakenOver bool `cbor:"23,keyasint,omitempty"`
	// Partial tells that a settled run was cut off before its end.
	Partial bool `cbor:"24,keyasint,omitempty"`
	// DispatchSequence is the number of the last Dispatch of the present attempt.
	DispatchSequence uint32 `cbor:"25,keyasint,omitempty"`
	// Completes is the id of the request whose rest this one charges.
	Completes string `cbor:"26,keyasint,omitempty"`
	// Completed is what the records that complete this one have charged, in tokens.
	Completed int64 `cbor:"27,keyasint,omitempty"`
}

// New returns the open record of a first attempt.
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
	r.start(b)
	return r
}

// Restart opens a released record again with a later attempt.
func (r *Record) Restart(b *controlapi.BeginRequest) {
	r.Dispatches = nil
	r.Earlier = 0
	r.Budget = b.Budget
	r.start(b)
}

// TakeOver gives an open record to the sender of b with a later attempt. The
// dispatches of earlier attempts may have run.
func (r *Record) TakeOver(b *controlapi.BeginRequest) {
	r.Earlier = len(r.Dispatches)
	r.TakenOver = true
	r.own(b)
}

func (r *Record) start(b *controlapi.BeginRequest) {
	r.State = Open
	r.TakenOver = false
	r.Reserved = b.Tokens
	r.ClosedMS = 0
	r.CloseSequence = 0
	r.own(b)
}

func (r *Record) own(b *controlapi.BeginRequest) {
	r.Attempt++
	r.Session = b.Session
	r.Try = b.Try
	r.DispatchSequence = 0
	r.Orphaned = false
	r.OrphanedMS = 0
}

// IsResend tells whether b is the Begin that made the present attempt, sent
// again. One that names an upstream to which the request was not sent is not.
func (r *Record) IsResend(b *controlapi.BeginRequest) bool {
	if r.State != Open || r.Session != b.Session || r.Try != b.Try {
		return false
	}
	first := controlapi.Instance{Upstream: b.Upstream, Incarnation: b.UpstreamIncarnation}
	return b.Upstream == "" || r.Earlier > 0 || slices.Contains(r.Dispatches, first)
}

// IsSuperseded tells whether b takes the present attempt over from an owner
// whose session lives.
func (r *Record) IsSuperseded(b *controlapi.BeginRequest) bool {
	return b.Takeover && (b.Supersedes == 0 || b.Supersedes == r.Attempt)
}

// IsLateResend tells whether b is the Begin of an attempt that was released
// since, arriving once more.
func (r *Record) IsLateResend(b *controlapi.BeginRequest) bool {
	return r.State == Released && b.Try != 0 && r.Session == b.Session && r.Try == b.Try
}

// MayHaveRun tells that an earlier attempt was dispatched and its fate is unknown.
func (r *Record) MayHaveRun() bool { return r.Earlier > 0 }

// LastEarlier returns the last dispatch of the earlier attempts.
func (r *Record) LastEarlier() (controlapi.Instance, bool) {
	if r.Earlier == 0 {
		return controlapi.Instance{}, false
	}
	return r.Dispatches[r.Earlier-1], true
}

// IsDispatchResend tells whether the dispatch to d needs no record of its own.
// A request that may not be repeated is never sent again to where an earlier
// attempt sent it, unless that provably did not run.
func (r *Record) IsDispatchResend(d controlapi.Instance) bool {
	if r.Repeatable {
		return slices.Contains(r.Dispatches, d)
	}
	return slices.Contains(r.Dispatches[r.Earlier:], d)
}

// CheckDispatch returns why the request may not be sent to a further upstream:
// a request that may not be repeated is sent again only when its earlier
// dispatches provably did not run.
func (r *Record) CheckDispatch(earlierNotRun bool) *errkind.Error {
	if !r.Repeatable && !earlierNotRun && len(r.Dispatches) > 0 {
		return errkind.New(errkind.OutcomeUnknown, "request %s may have run on %s", r.ID, r.Dispatches[len(r.Dispatches)-1].Upstream)
	}
	if !earlierNotRun && len(r.Dispatches) >= maxDispatches {
		return errkind.New(errkind.UpstreamFailed, "request %s was dispatched %d times", r.ID, maxDispatches)
	}
	return nil
}

// AddDispatch records that the request is about to be sent to d.
func (r *Record) AddDispatch(d controlapi.Instance) { r.Dispatches = append(r.Dispatches, d) }

// TakeSequence takes note of the number of a Dispatch. It returns StaleAttempt
// if a later one came before it.
func (r *Record) TakeSequence(sequence uint32) *errkind.Error {
	if sequence != 0 && sequence < r.DispatchSequence {
		return errkind.New(errkind.StaleAttempt, "dispatch %d of request %s is superseded by %d", sequence, r.ID, r.DispatchSequence)
	}
	r.DispatchSequence = max(r.DispatchSequence, sequence)
	return nil
}

// DropDispatches drops those of the present attempt's dispatches that are
// listed, which provably did not run, and returns them. What an earlier attempt
// sent to the same instance may still have run.
func (r *Record) DropDispatches(listed []controlapi.Instance) []controlapi.Instance {
	var dropped []controlapi.Instance
	kept := slices.Clone(r.Dispatches[:r.Earlier])
	for _, d := range r.Dispatches[r.Earlier:] {
		if slices.Contains(listed, d) {
			dropped = append(dropped, d)
		} else {
			kept = append(kept, d)
		}
	}
	r.Dispatches = kept
	return dropped
}

// ForgetDispatches drops the dispatches, which provably did not run, and returns them.
func (r *Record) ForgetDispatches() []controlapi.Instance {
	dropped := r.Dispatches
	r.Dispatches = nil
	r.Earlier = 0
	return dropped
}

// CheckAttempt returns StaleAttempt unless attempt is the present one and
// session, if it is given, its owner.
func (r *Record) CheckAttempt(attempt uint32, session string) *errkind.Error {
	if r.Attempt != attempt {
		return errkind.New(errkind.StaleAttempt, "attempt %d of request %s is superseded by %d", attempt, r.ID, r.Attempt)
	}
	if session != "" && session != r.Session {
		return errkind.New(errkind.StaleAttempt, "attempt %d of request %s belongs to another session", attempt, r.ID)
	}
	return nil
}

// CheckOpen returns StaleAttempt unless the record is open.
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

// Settle closes the record with the charge of used tokens, at most its
// reservation, and returns the reservation that it ends.
func (r *Record) Settle(used int64, answer *controlapi.StoredAnswer) (reserved int64) {
	r.State = Settled
	r.Charged = min(used, r.Reserved)
	r.Overrun = used - r.Charged
	if !r.Repeatable && answer != nil && len(answer.Body) <= MaxAnswerBytes {
		r.Answer = answer
	}
	return r.closeReservation()
}

// NewSettled returns the record of a request that a host served from its
// grants, with the tokens charged to them.
func NewSettled(id, session string, e *controlapi.JournalEntry, charged int64) *Record {
	r := &Record{
		ID: id, Organisation: e.Organisation, Caller: e.Caller, Budget: e.Budget, Service: e.Service,
		BodyHash: e.BodyHash, Repeatable: true, Unkeyed: e.Unkeyed, Attempt: 1, Session: session,
		Partial: e.Partial, Completes: e.Completes,
	}
	r.SettleElsewhere(charged, e.Tokens)
	return r
}

// SettleElsewhere closes the record of a request that was served from a grant.
// The charge is not taken from its reservation, which is returned.
func (r *Record) SettleElsewhere(charged, used int64) (reserved int64) {
	r.State = Settled
	r.Charged = charged
	r.Overrun = used - charged
	return r.closeReservation()
}

// SettleUnknown closes the record of a request whose fate cannot be learnt. Its
// whole reservation, which it returns, is charged.
func (r *Record) SettleUnknown() (reserved int64) {
	r.State = Unknown
	r.Charged = r.Reserved
	return r.closeReservation()
}

// Release closes the record without a charge and returns its reservation.
func (r *Record) Release() (reserved int64) {
	r.State = Released
	return r.closeReservation()
}

func (r *Record) closeReservation() int64 {
	reserved := r.Reserved
	r.Reserved = 0
	r.Dispatches = nil
	r.Earlier = 0
	r.Orphaned = false
	r.OrphanedMS = 0
	return reserved
}

// Check returns an Internal error if the record contradicts itself.
func (r *Record) Check() error {
	switch {
	case r.Reserved < 0 || r.Charged < 0 || r.Overrun < 0:
		return errkind.New(errkind.Internal, "request %s has a negative figure", r.ID)
	case r.Attempt == 0:
		return errkind.New(errkind.Internal, "request %s has no attempt", r.ID)
	case r.State != Open && r.Reserved != 0:
		return errkind.New(errkind.Internal, "request %s is %s with %d tokens reserved", r.ID, r.State, r.Reserved)
	case r.State != Settled && r.State != Unknown && r.Charged != 0:
		return errkind.New(errkind.Internal, "request %s is %s with %d tokens charged", r.ID, r.State, r.Charged)
	case r.Earlier > len(r.Dispatches):
		return errkind.New(errkind.Internal, "request %s has %d earlier dispatches of %d", r.ID, r.Earlier, len(r.Dispatches))
	case !r.Repeatable && len(r.Dispatches) > 1:
		return errkind.New(errkind.Internal, "request %s may not be repeated and has %d dispatches", r.ID, len(r.Dispatches))
	}
	return nil
}
