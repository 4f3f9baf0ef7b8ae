// Package errkind holds the closed list of error kinds and the table from a
// kind to the answer that a caller or operator receives.
package errkind

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const msPerSecond = 1000

// Kind names one reason for which a request was refused or failed.
type Kind string

// The closed list of kinds. Every error that leaves the system has one of them.
const (
	InvalidRequest     Kind = "invalid_request"
	Unauthenticated    Kind = "unauthenticated"
	Forbidden          Kind = "forbidden"
	NotFound           Kind = "not_found"
	Conflict           Kind = "conflict"
	KeyRequired        Kind = "idempotency_key_required"
	KeyReused          Kind = "idempotency_key_reused"
	InProgress         Kind = "in_progress"
	BodyTooLarge       Kind = "body_too_large"
	TooManyRequests    Kind = "too_many_requests"
	BudgetExhausted    Kind = "budget_exhausted"
	BudgetReserved     Kind = "budget_reserved"
	Overloaded         Kind = "overloaded"
	DeadlineUnmet      Kind = "deadline_unmet"
	Displaced          Kind = "displaced"
	NoUpstream         Kind = "no_upstream"
	Quarantined        Kind = "quarantined"
	SuspectBusy        Kind = "suspect_busy"
	Draining           Kind = "draining"
	LeaseLapsed        Kind = "configuration_lease_lapsed"
	ControlUnavailable Kind = "control_unavailable"
	UpstreamRefused    Kind = "upstream_refused"
	UpstreamFailed     Kind = "upstream_failed"
	OutcomeUnknown     Kind = "outcome_unknown"
	StaleAttempt       Kind = "stale_attempt"
	StaleFencing       Kind = "stale_fencing_number"
	SessionExpired     Kind = "session_expired"
	StorageFailed      Kind = "storage_failed"
	Internal           Kind = "internal"
)

// Outcome says whether the work of a request ran.
type Outcome string

// The outcomes that an answer may state.
const (
	NotRun  Outcome = "not_run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Row is one line of the table from kind to answer.
type Row struct {
	// Status is the HTTP status code of the answer.
	Status int
	// Outcome is what the answer says of the work unless the error overrides it.
	Outcome Outcome
	// Retry tells whether the same request may succeed later.
	Retry bool
}

var table = map[Kind]Row{
	InvalidRequest:     {http.StatusBadRequest, NotRun, false},
	Unauthenticated:    {http.StatusUnauthorized, NotRun, false},
	Forbidden:          {http.StatusForbidden, NotRun, false},
	NotFound:           {http.StatusNotFound, NotRun, false},
	Conflict:           {http.StatusConflict, NotRun, false},
	KeyRequired:        {http.StatusBadRequest, NotRun, false},
	KeyReused:          {http.StatusUnprocessableEntity, NotRun, false},
	InProgress:         {http.StatusConflict, Unknown, true},
	BodyTooLarge:       {http.StatusRequestEntityTooLarge, NotRun, false},
	TooManyRequests:    {http.StatusTooManyRequests, NotRun, true},
	BudgetExhausted:    {http.StatusPaymentRequired, NotRun, false},
	BudgetReserved:     {http.StatusTooManyRequests, NotRun, true},
	Overloaded:         {http.StatusServiceUnavailable, NotRun, true},
	DeadlineUnmet:      {http.StatusServiceUnavailable, NotRun, true},
	Displaced:          {http.StatusServiceUnavailable, NotRun, true},
	NoUpstream:         {http.StatusServiceUnavailable, NotRun, true},
	Quarantined:        {http.StatusUnprocessableEntity, NotRun, false},
	SuspectBusy:        {http.StatusServiceUnavailable, NotRun, true},
	Draining:           {http.StatusServiceUnavailable, NotRun, true},
	LeaseLapsed:        {http.StatusServiceUnavailable, NotRun, true},
	ControlUnavailable: {http.StatusServiceUnavailable, NotRun, true},
	UpstreamRefused:    {http.StatusBadGateway, NotRun, true},
	UpstreamFailed:     {http.StatusBadGateway, Unknown, true},
	OutcomeUnknown:     {http.StatusGatewayTimeout, Unknown, false},
	StaleAttempt:       {http.StatusConflict, Unknown, true},
	StaleFencing:       {http.StatusConflict, NotRun, false},
	SessionExpired:     {http.StatusServiceUnavailable, NotRun, true},
	StorageFailed:      {http.StatusInsufficientStorage, NotRun, true},
	Internal:           {http.StatusInternalServerError, Unknown, true},
}

// Kinds returns every kind of the closed list, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(table))
	for k := range table {
		kinds = append(kinds, k)
	}
	return kinds
}

// Lookup returns the table row of k. A kind outside the list has the row of Internal.
func Lookup(k Kind) Row {
	row, ok := table[k]
	if !ok {
		return table[Internal]
	}
	return row
}

// Error is an error of a listed kind. It travels between hosts as it is.
type Error struct {
	Kind    Kind   `json:"kind" cbor:"1,keyasint"`
	Message string `json:"message" cbor:"2,keyasint,omitempty"`
	// State overrides the outcome of the table when it is not empty.
	State Outcome `json:"outcome,omitempty" cbor:"3,keyasint,omitempty"`
	// RetryAfterMS is the time after which a new try is worthwhile, in milliseconds; 0 if unknown.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty" cbor:"4,keyasint,omitempty"`
}

// New returns an error of kind k with a formatted message.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e that tells the caller when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfterMS = d.Milliseconds()
	return &c
}

// WithOutcome returns a copy of e that states outcome o.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.State = o
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Message
}

// Outcome returns what e says of the work.
func (e *Error) Outcome() Outcome {
	if e.State != "" {
		return e.State
	}
	return Lookup(e.Kind).Outcome
}

// Body is the JSON form of an error in an answer.
type Body struct {
	Kind    Kind    `json:"kind"`
	Message string  `json:"message"`
	Outcome Outcome `json:"outcome"`
	// Retry tells whether the same request may succeed later.
	Retry        bool  `json:"retry"`
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Body returns the JSON form of e.
func (e *Error) Body() Body {
	return Body{
		Kind:         e.Kind,
		Message:      e.Message,
		Outcome:      e.Outcome(),
		Retry:        Lookup(e.Kind).Retry,
		RetryAfterMS: e.RetryAfterMS,
	}
}

// WriteHeader writes the status line and the header of an answer whose JSON body
// carries e.
func (e *Error) WriteHeader(w http.ResponseWriter) {
	if e.RetryAfterMS > 0 {
		seconds := (e.RetryAfterMS + msPerSecond - 1) / msPerSecond
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(Lookup(e.Kind).Status)
}

// From returns the *Error inside err, or an Internal error that carries err's text.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}

// Is tells whether err is of kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
