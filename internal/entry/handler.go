// Package entry handles the requests of callers: it authenticates and admits a
// request, opens its record with the control group, dispatches it to an
// upstream, relays the answer, and settles the record.
package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"

	"github.com/godwitbend/godwitbend/internal/admission"
	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/crashcause"
	"github.com/godwitbend/godwitbend/internal/membudget"
	"github.com/godwitbend/godwitbend/internal/registry"
	"github.com/godwitbend/godwitbend/internal/routing"
)

// Admission controls how many requests run at the same time.
type Admission interface {
	// Acquire waits for a slot. The returned release must be called when the
	// request has ended. Errors are of type *errkind.Error.
	Acquire(ctx context.Context, t admission.Ticket) (release func(), err error)
}

// Router selects upstreams.
type Router interface {
	// Choose returns an upstream for req. Errors are of type *errkind.Error.
	Choose(req *routing.Request, snap *registry.Snapshot, now time.Time, random routing.Random) (*registry.Entry, error)
	// Report records the result of a request dispatched to e.
	Report(e *registry.Entry, result routing.Result, now time.Time)
}

// Options configures a Handler.
type Options struct {
	// Control executes commands and queries on the control group.
	Control controlapi.Client
	// Session returns the id of the host's current session, or "" if it has none.
	Session func() string
	// LeaseValid reports whether the configuration lease is valid.
	LeaseValid func() bool
	// Draining reports whether the host rejects new requests.
	Draining func() bool
	// View returns the host's current configuration.
	View func() *config.View
	// Registry holds the known upstreams.
	Registry *registry.Registry
	// Admission limits concurrent requests.
	Admission Admission
	// Router selects upstreams.
	Router Router
	// Metrics receives the counters; nil disables them.
	Metrics tally.Scope
	// HTTPClient sends requests to upstreams, each on a new connection; nil means a client with the default dial limit.
	HTTPClient *http.Client
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Limits bounds the requests of callers; zero fields take their defaults.
	Limits Limits
	// OwnerServes asks the host that owns a session whether it still serves a
	// request; known is false if that host is unreachable. If nil, only requests
	// of this host's own session can be taken over before their session ends.
	OwnerServes func(ctx context.Context, session, requestID string) (serves, known bool)
	// Traits holds what is known of the requests that crash upstreams; nil means that nothing is.
	Traits *crashcause.Host
	// Random is the source of random numbers and must be safe for concurrent use; nil means math/rand/v2.
	Random routing.Random
	// Log receives refused requests and failed dispatches; nil means slog.Default().
	Log *slog.Logger
}

// Handler serves the HTTP API for callers. It is safe for concurrent use.
type Handler struct {
	Options
	mux           *http.ServeMux
	upstreams     *upstreamClient
	memory        *membudget.Budget
	callerLimiter *callerLimiter
	inFlight      *inFlightRequests
	retryBudgets  *retryBudgets
	counters      *counters
	crashReporter *crashReporter
	// stopped ends when the requests in flight have to be answered without their upstreams.
	stopped     context.Context
	endRequests context.CancelFunc
	// backgroundTasks counts tasks that may outlive the request that started them.
	backgroundTasks atomic.Int64
	// beginSequence is the number of the latest Begin command of this process.
	beginSequence atomic.Uint64
}

// New returns a handler that routes the paths of the caller API.
func New(o Options) *Handler {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if o.Traits == nil {
		o.Traits = crashcause.NewHost()
	}
	if o.Random == nil {
		o.Random = globalRandom{}
	}
	o.Limits = o.Limits.withDefaults()
	stopped, endRequests := context.WithCancel(context.Background())
	memory := newMemoryBudget(o.Limits)
	h := &Handler{
		Options: o,
		stopped: stopped, endRequests: endRequests,
		mux:           http.NewServeMux(),
		upstreams:     newUpstreamClient(o.HTTPClient, memory, o.Limits.AnswerBytes),
		memory:        memory,
		callerLimiter: newCallerLimiter(),
		inFlight:      newInFlightRequests(),
		retryBudgets:  newRetryBudgets(),
		counters:      &counters{scope: o.Metrics},
		crashReporter: newCrashReporter(),
	}
	h.mux.HandleFunc("POST /v1/chat/completions", h.wrapHandler(h.serveChat))
	h.mux.HandleFunc("GET /v1/models", h.wrapHandler(h.serveModels))
	h.mux.HandleFunc("/services/{service}/{path...}", h.wrapHandler(h.servePlain))
	h.mux.HandleFunc("/", h.wrapHandler(h.serveUnknownPath))
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// Serving reports whether this host is serving the request. Other hosts query it
// before they take over a request whose session has not ended.
func (h *Handler) Serving(requestID string) bool { return h.inFlight.contains(requestID) }

// AnswerMemory returns the memory that answers of upstreams take, in bytes.
func (h *Handler) AnswerMemory() int64 { return h.memory.InUse() }

// EndRequests answers all requests in flight at once, without their upstreams. The host must be draining.
func (h *Handler) EndRequests() { h.endRequests() }

// InFlightRequests returns the number of requests being served plus the number
// of background tasks, such as closing a record. A draining host waits until it is 0.
func (h *Handler) InFlightRequests() int { return h.inFlight.count() + int(h.backgroundTasks.Load()) }

// wrapHandler assigns a request id and writes a returned error as the response.
func (h *Handler) wrapHandler(serve func(w http.ResponseWriter, r *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(announce.HeaderRequestID, newRequestID())
		defer func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) }()
		err := serve(w, r)
		switch {
		case err == nil:
		case r.Context().Err() != nil && h.stopped.Err() == nil:
			h.counters.event("callers_gone")
		default:
			h.refuse(w, err)
		}
	}
}

// writeTimeout bounds each write of response data to a caller.
const writeTimeout = 30 * time.Second

// extendWriteDeadline sets the write deadline of the response to writeTimeout from the current time.
func (h *Handler) extendWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(h.Now().Add(writeTimeout))
}

func newRequestID() string {
	return controlapi.RequestIDFor("", uuid.NewString())
}

// globalRandom is the global source of math/rand/v2, which is safe for concurrent use.
type globalRandom struct{}

// IntN implements routing.Random.
func (globalRandom) IntN(n int) int { return rand.IntN(n) }
