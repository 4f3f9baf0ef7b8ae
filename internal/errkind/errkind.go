// Package errkind defines the closed list of error kinds, and maps each kind to the
// response that a caller or operator receives.
package errkind

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const msPerSecond = 1000

// Kind is the reason why a request was refused or failed.
type Kind string

// The closed list of kinds. Every error returned to a caller or operator has one of
// them.
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
	StreamNotResumable Kind = "stream_not_resumable"
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

// Outcome states whether a request was run.
type Outcome string

// The outcomes that a response may state.
const (
	NotRun  Outcome = "not_run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Row is the entry of one kind in the table of responses.
type Row struct {
	// Status is the HTTP status code of the response.
	Status int
	// Outcome is the outcome that the response states, unless Error.OutcomeOverride
	// replaces it.
	Outcome Outcome
	// Retryable reports whether the same request may succeed later.
	Retryable bool
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
	StreamNotResumable: {http.StatusServiceUnavailable, NotRun, true},
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

// Lookup returns the row of k. A kind outside the list has the row of Internal.
func Lookup(k Kind) Row {
	row, ok := table[k]
	if !ok {
		return table[Internal]
	}
	return row
}

// Error is an error of a listed kind. Hosts send it to each other in this form.
type Error struct {
	Kind    Kind   `json:"kind" cbor:"1,keyasint"`
	Message string `json:"message" cbor:"2,keyasint,omitempty"`
	// OutcomeOverride replaces the outcome of the kind's row unless it is empty.
	OutcomeOverride Outcome `json:"outcome,omitempty" cbor:"3,keyasint,omitempty"`
	// RetryAfterMS is the time after which the request may be retried, in milliseconds;
	// 0 if unknown.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty" cbor:"4,keyasint,omitempty"`
}

// New returns an error of kind k with a formatted message.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e that asks the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfterMS = d.Milliseconds()
	return &c
}

// WithOutcome returns a copy of e that states the outcome o.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.OutcomeOverride = o
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Message
}

// Outcome returns the outcome that e states: the override, if any, or that of its kind.
func (e *Error) Outcome() Outcome {
	if e.OutcomeOverride != "" {
		return e.OutcomeOverride
	}
	return Lookup(e.Kind).Outcome
}

// Body is the JSON form of an error in a response.
type Body struct {
	Kind    Kind    `json:"kind"`
	Message string  `json:"message"`
	Outcome Outcome `json:"outcome"`
	// Retryable reports whether the same request may succeed later.
	Retryable    bool  `json:"retry"`
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Body returns the JSON form of e.
func (e *Error) Body() Body {
	return Body{
		Kind:         e.Kind,
		Message:      e.Message,
		Outcome:      e.Outcome(),
		Retryable:    Lookup(e.Kind).Retryable,
		RetryAfterMS: e.RetryAfterMS,
	}
}

// WriteHeader writes the status code and headers of a response whose JSON body holds e.
// Retry-After is rounded up to whole seconds.
func (e *Error) WriteHeader(w http.ResponseWriter) {
	if e.RetryAfterMS > 0 {
		SetRetryAfter(w.Header(), time.Duration(e.RetryAfterMS)*time.Millisecond)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(Lookup(e.Kind).Status)
}

// SetRetryAfter asks a caller to retry after d, rounded up to whole seconds.
func SetRetryAfter(h http.Header, d time.Duration) {
	h.Set("Retry-After", strconv.FormatInt((d.Milliseconds()+msPerSecond-1)/msPerSecond, 10))
}

// From returns the *Error that err wraps, or an Internal error with err's text.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}

// Is reports whether err wraps an *Error of kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
