// Package entry serves callers: it authenticates and admits a request, opens
// its record with the control group, sends it to an upstream, passes the
// answer on, and settles the record.
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
	"github.com/godwitbend/godwitbend/internal/registry"
	"github.com/godwitbend/godwitbend/internal/routing"
)

// Admission grants places to requests.
type Admission interface {
	// Acquire waits for a place. The caller must call release when the request
	// has ended. An error is an *errkind.Error.
	Acquire(ctx context.Context, t admission.Ticket) (release func(), err error)
}

// Router chooses upstreams.
type Router interface {
	// Choose returns an upstream for req; an error is an *errkind.Error.
	Choose(req *routing.Request, snap *registry.Snapshot, now time.Time, random routing.Random) (*registry.Entry, error)
	// Report takes in how a request fared at e.
	Report(e *registry.Entry, result routing.Result, now time.Time)
}

// Options are what a Handler needs.
type Options struct {
	// Control is the control group.
	Control controlapi.Client
	// Session returns the host's present session.
	Session func() string
	// LeaseValid tells whether the configuration lease holds.
	LeaseValid func() bool
	// Draining tells that the host takes no new work.
	Draining func() bool
	// View returns the configuration in force on the host.
	View func() *config.View
	// Registry holds the upstreams.
	Registry *registry.Registry
	// Admission grants places.
	Admission Admission
	// Router chooses upstreams.
	Router Router
	// Metrics receives the counters.
	Metrics tally.Scope
	// HTTPClient speaks to upstreams; nil means one with the default dial limits.
	HTTPClient *http.Client
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// Limits bounds what callers send; zero fields take their defaults.
	Limits Limits
	// OwnerServes asks the host that owns a session whether it still serves a
	// request; known is false if it can't be reached. Nil means that only the
	// host's own requests are known.
	OwnerServes func(ctx context.Context, session, requestID string) (serves, known bool)
	// Random is the source of random numbers; it must be safe for concurrent use. Nil means the process's.
	Random routing.Random
	// Log receives one record per failed request; nil means slog.Default().
	Log *slog.Logger
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	Options
	mux       *http.ServeMux
	upstreams *upstreamClient
	callers   *callerCounts
	open      *openRequests
	budgets   *retryBudgets
	counters  *counters
	crashes   *crashReports
	// background counts the work that goes on after its request was answered.
	background atomic.Int64
	// tries numbers the Begin commands of this process.
	tries atomic.Uint64
}

// New returns a handler for the callers' paths.
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
	if o.Random == nil {
		o.Random = globalRandom{}
	}
	o.Limits = o.Limits.withDefaults()
	h := &Handler{
		Options:   o,
		mux:       http.NewServeMux(),
		upstreams: newUpstreamClient(o.HTTPClient),
		callers:   newCallerCounts(),
		open:      newOpenRequests(),
		budgets:   newRetryBudgets(),
		counters:  &counters{scope: o.Metrics},
		crashes:   newCrashReports(),
	}
	h.mux.HandleFunc("POST /v1/chat/completions", h.guard(h.serveChat))
	h.mux.HandleFunc("GET /v1/models", h.guard(h.serveModels))
	h.mux.HandleFunc("/services/{service}/{path...}", h.guard(h.servePlain))
	h.mux.HandleFunc("/", h.guard(h.serveUnknownPath))
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// Serving tells whether this host has the request open. Other hosts ask it
// before they take a request over from a live session.
func (h *Handler) Serving(requestID string) bool { return h.open.has(requestID) }

// OpenRequests returns the number of requests that are being served or whose
// record is still being closed. A host that drains waits until it is 0.
func (h *Handler) OpenRequests() int { return h.open.count() + int(h.background.Load()) }

// guard gives a request an id and turns an error into the answer.
func (h *Handler) guard(serve func(w http.ResponseWriter, r *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(announce.HeaderRequestID, newRequestID())
		defer func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) }()
		err := serve(w, r)
		switch {
		case err == nil:
		case r.Context().Err() != nil:
			h.counters.event("callers_gone")
		default:
			h.refuse(w, err)
		}
	}
}

// writeTimeout is how long a caller may take to read what it is sent.
const writeTimeout = 30 * time.Second

// allowWrite gives the caller writeTimeout from now to read the next part of the answer.
func (h *Handler) allowWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(h.Now().Add(writeTimeout))
}

func newRequestID() string {
	return controlapi.RequestIDFor("", uuid.NewString())
}

// globalRandom is the process's random source; it is safe for concurrent use.
type globalRandom struct{}

// IntN implements routing.Random.
func (globalRandom) IntN(n int) int { return rand.IntN(n) }
