package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/hostsync"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/prepaid"
	"github.com/godwitbend/godwitbend/internal/retrylimit"
	"github.com/godwitbend/godwitbend/internal/telemetry"
)

// latencyBuckets are the upper bounds of the histogram of answer times.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond,
	600 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second,
}

// Options are the parts that a Handler works with.
type Options struct {
	Dialect Dialect
	Sync    *hostsync.Client
	Pool    *placement.Pool
	Retries *retrylimit.Limiter
	Scope   tally.Scope
	// Clock returns the boot-time clock in ns.
	Clock func() int64
}

// Handler serves callers.
type Handler struct {
	Options
	// knownBy is when a host that has just started is likely to know the configuration.
	knownBy time.Time
	// closing refuses new requests at a shutdown.
	closing atomic.Bool
	served  tally.Counter
	first   tally.Histogram
}

// NewHandler returns a handler.
func NewHandler(o Options) *Handler {
	return &Handler{
		Options: o,
		knownBy: time.Now().Add(startPatience),
		served:  o.Scope.Counter("answers"),
		first:   o.Scope.Histogram("first_byte", latencyBuckets),
	}
}

// Close makes the handler refuse new requests.
func (h *Handler) Close() { h.closing.Store(true) }

// Ready returns why the host should get no new connections, or nil.
func (h *Handler) Ready() error {
	if h.closing.Load() {
		return errkind.New(errkind.Draining, "the host is stopping")
	}
	if h.Sync.View() == nil {
		return errkind.New(errkind.ControlUnavailable, "no configuration is known yet")
	}
	return nil
}

// request is one request on its way.
type request struct {
	*Call
	handler *Handler
	view    *hostsync.View
	route   *catalog.Route
	// target is the name of the service that serves the request.
	target       string
	service      *catalog.Service
	organisation *catalog.Organisation
	arrived      time.Time
	// deadline is when the caller or the route gives up.
	deadline time.Time
	ctx      context.Context
	// reserved is the number of tokens set aside.
	reserved int64
	// tokens is the latest decision on the budget, or nil.
	tokens *prepaid.Decision
	// ran tells that an upstream may have begun to work on it.
	ran bool
	// events is the number of events of a stream that the caller got, and lastEvent
	// the number of the last one, if it had one: then the stream is resumable.
	events    int64
	lastEvent int64
	resumable bool
	// first is the time to the first byte, longest the longest pause between two
	// events, and lastEventAt when the last event came.
	first       time.Duration
	longest     time.Duration
	lastEventAt time.Time
	// attempts is the number of upstreams that got the request, exclude those that
	// were tried, and upstream the latest one.
	attempts int
	exclude  []string
	upstream string
	// backlog and pace are those of the latest upstream when it was chosen.
	backlog int64
	pace    float64
	// lastFailure is why the latest attempt failed.
	lastFailure string
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{handler: h, arrived: time.Now()}
	refusal := q.admit(w, r)
	if refusal == nil {
		refusal = q.serve(w, r)
	}
	switch {
	case refusal == nil:
	case q.events > 0:
		// Nothing may follow a part of a stream: it would look whole.
		q.abort(refusal)
	default:
		h.refuse(w, q, refusal)
	}
}

// admit makes all decisions before an upstream is chosen.
func (q *request) admit(w http.ResponseWriter, r *http.Request) *errkind.Error {
	call, refusal := q.handler.Dialect.Decode(r)
	if refusal != nil {
		return refusal
	}
	q.Call = call
	if q.view = q.awaitView(r.Context()); q.view == nil {
		return errkind.New(errkind.ControlUnavailable, "no configuration is known yet").WithRetryAfter(unknownConfigurationRetry)
	}
	if refusal := q.findRoute(); refusal != nil {
		return refusal
	}
	if refusal := q.authenticate(); refusal != nil {
		return refusal
	}
	if q.handler.closing.Load() {
		w.Header().Set("Connection", "close")
		return errkind.New(errkind.Draining, "the host is stopping").WithRetryAfter(drainingRetry)
	}
	q.setDeadline()
	q.target = q.pickTarget()
	q.service = q.view.Index.Service(q.target)
	if refusal := q.readBody(w, r); refusal != nil {
		return refusal
	}
	return q.checkQuarantine()
}

// serve reserves the budget and sends the request on.
func (q *request) serve(w http.ResponseWriter, r *http.Request) *errkind.Error {
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	q.ctx = ctx
	if refusal := q.reserve(); refusal != nil {
		return refusal
	}
	defer q.settle()
	return q.dispatch(w)
}

func (q *request) left() time.Duration { return time.Until(q.deadline) }

// refuse answers with an error of the system and logs it.
func (h *Handler) refuse(w http.ResponseWriter, q *request, e *errkind.Error) {
	telemetry.Refusal(h.Scope, e.Kind).Inc(1)
	fields := q.logFields()
	klog.InfoS("request refused", append(fields, "kind", string(e.Kind), "reason", e.Message,
		"retry_after_ms", e.RetryAfterMS, "ran", q.ran)...)
	h.Dialect.Refuse(w, q.Call, e)
}

func (q *request) logFields() []any {
	fields := []any{"after_ms", time.Since(q.arrived).Milliseconds()}
	if q.Call != nil {
		fields = append(fields, telemetry.FieldRequestID, q.ID)
	}
	if q.view != nil {
		fields = append(fields, "version", q.view.Index.Document.Version)
	}
	if q.route != nil {
		fields = append(fields, "route", q.route.Name)
	}
	if q.organisation != nil {
		fields = append(fields, telemetry.FieldOrganisation, q.organisation.Name)
	}
	if t := q.tokens; t != nil && t.Verdict != prepaid.Granted {
		fields = append(fields, "tokens_held", t.Free, "tokens_allowed", t.Allowed, "balance", t.Balance,
			"balance_age_ms", t.BalanceAge.Milliseconds())
	}
	if q.attempts > 0 {
		fields = append(fields, "upstream", q.upstream, "attempts", q.attempts)
	}
	if q.Call != nil && q.InputTokens > 0 {
		fields = append(fields, "input_tokens", q.InputTokens, "backlog_tokens", q.backlog, "pace", int(q.pace))
	}
	if q.first > 0 {
		fields = append(fields, "first_ms", q.first.Milliseconds(), "longest_pause_ms", q.longest.Milliseconds())
	}
	if q.lastFailure != "" {
		fields = append(fields, "last_failure", q.lastFailure)
	}
	return fields
}
