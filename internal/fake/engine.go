package fake

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/announce"
)

const (
	defaultCapacity               = 8
	defaultQueueLimit             = 64
	defaultCacheBlocks            = 4096
	defaultRetention              = time.Minute
	maxPrefixBlocks               = 128
	maxCacheEventsPerAnnouncement = 256
	retryAfterSeconds             = "1"
	headerRetryAfter              = "Retry-After"
	reasonCancelledEarly          = "the request was cancelled before it arrived"
	reasonOtherIncarnation        = "the request is meant for another incarnation"
	reasonQueueFull               = "the queue is full"
	reasonUnknownRequest          = "the request is not known"
	reasonModelNotLoaded          = "the model is not loaded"
)

// EngineOptions configures an Engine. Zero values select the defaults.
type EngineOptions struct {
	CommonOptions
	// Models are the models loaded at start.
	Models []announce.ServiceOffer
	Role   string
	// Capacity is the number of slots for concurrent requests; QueueLimit bounds the requests
	// that wait for a slot.
	Capacity   int
	QueueLimit int
	// TokenTime is the decode time per output token; PromptTokenTime is the prefill time per
	// prompt token that is not cached.
	TokenTime       time.Duration
	PromptTokenTime time.Duration
	// CacheBlocks bounds the prefix cache, in blocks.
	CacheBlocks int
	// CacheGapEvery, if positive, drops every n-th cache event from the announcements.
	CacheGapEvery uint64
	// ChecksFencing makes the engine reject orders with a stale fencing number.
	ChecksFencing bool
	// LoadTime is the duration of a load order in addition to the fetch of the weights.
	LoadTime time.Duration
	// FetchWeights, if not nil, fetches the weights of a model for a load order.
	FetchWeights func(ctx context.Context, model string) error
	// Retention is the time for which the state of an ended request is kept.
	Retention time.Duration
}

// Engine is a stand-in for a model engine with continuous batching.
type Engine struct {
	*standIn
	opts   EngineOptions
	mux    *http.ServeMux
	orders *orderState

	runsMu    sync.Mutex
	slots     *slots
	cache     *prefixCache
	runs      map[string]*run
	cancelled map[string]bool
	// incarnationCtx is cancelled when the incarnation crashes.
	incarnationCtx context.Context
	endIncarnation context.CancelFunc
	// running counts the requests of the current incarnation.
	running *sync.WaitGroup
}

// NewEngine returns an engine that implements the protocol of package announce.
func NewEngine(opts EngineOptions) *Engine {
	opts.setDefaults()
	e := &Engine{standIn: newStandIn(opts.CommonOptions), opts: opts, mux: http.NewServeMux()}
	e.orders = newOrderState(opts)
	e.reset()
	e.addAdminRoutes(e.mux)
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	e.mux.HandleFunc("POST "+announce.PathTokenize, e.serveTokenize)
	e.mux.HandleFunc("POST "+announce.PathOrders, e.serveOrder)
	e.mux.HandleFunc("GET "+announce.PathRequests+"{id}", e.serveState)
	e.mux.HandleFunc("DELETE "+announce.PathRequests+"{id}", e.serveCancel)
	e.mux.HandleFunc("GET "+announce.PathRequests+"{id}/stream", e.serveResume)
	return e
}

func (o *EngineOptions) setDefaults() {
	if o.Capacity == 0 {
		o.Capacity = defaultCapacity
	}
	if o.QueueLimit == 0 {
		o.QueueLimit = defaultQueueLimit
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = defaultCacheBlocks
	}
	if o.Retention == 0 {
		o.Retention = defaultRetention
	}
}

// reset discards all requests and the prefix cache, as a restart does. The caller holds runsMu.
func (e *Engine) reset() {
	if e.endIncarnation != nil {
		e.endIncarnation()
	}
	e.incarnationCtx, e.endIncarnation = context.WithCancel(context.Background())
	e.slots = &slots{capacity: e.opts.Capacity, queueLimit: e.opts.QueueLimit}
	e.cache = newPrefixCache(e.opts.CacheBlocks, e.opts.CacheGapEvery)
	e.runs = map[string]*run{}
	e.running = &sync.WaitGroup{}
	e.cancelled = map[string]bool{}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Announcement returns the next announcement of the engine.
func (e *Engine) Announcement() announce.Announcement {
	e.runsMu.Lock()
	inFlight, queued := e.slots.load()
	events := e.cache.takeEvents(maxCacheEventsPerAnnouncement)
	e.runsMu.Unlock()
	a := e.announcement(inFlight, queued)
	a.Kind = announce.KindEngine
	a.Services, a.Role = e.orders.loaded()
	a.Capacity = e.opts.Capacity
	a.ChecksFencing = e.opts.ChecksFencing
	a.CacheEvents = events
	return a
}

// Wait blocks until no request runs or ctx ends.
func (e *Engine) Wait(ctx context.Context) error {
	e.runsMu.Lock()
	running := e.running
	e.runsMu.Unlock()
	return waitForGroup(ctx, running)
}

// Close aborts all requests, as a crash does.
func (e *Engine) Close() {
	e.runsMu.Lock()
	e.endIncarnation()
	running := e.running
	e.runsMu.Unlock()
	running.Wait()
}

// Crash aborts all requests and starts the next incarnation.
func (e *Engine) Crash() {
	e.runsMu.Lock()
	aborted := e.running
	e.reset()
	e.restart()
	e.runsMu.Unlock()
	aborted.Wait()
	if e.common.OnCrash != nil {
		e.common.OnCrash()
	}
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	faults := e.currentFaults()
	if faults.Refuse {
		dropConnection()
	}
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	req, err := ParseChat(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !e.orders.serves(req.Model) {
		writeError(w, http.StatusNotFound, reasonModelNotLoaded)
		return
	}
	started, status, reason := e.start(r, req, faults, faults.crashes(body))
	if started == nil {
		e.setIncarnation(w)
		w.Header().Set(headerRetryAfter, retryAfterSeconds)
		writeError(w, status, reason)
		return
	}
	if faults.DropAnswers {
		started.awaitEnd(r.Context())
		dropConnection()
	}
	if req.Stream {
		started.serveStream(w, r, 0)
		return
	}
	started.serveNonStreaming(w, r)
}

// start admits a chat request and starts to generate its answer. If the request is
// rejected, it returns nil with the HTTP status and the reason.
func (e *Engine) start(r *http.Request, req *ChatRequest, faults Faults, crashOnStart bool) (*run, int, string) {
	id := r.Header.Get(announce.HeaderRequestID)
	priority, _ := strconv.Atoi(r.Header.Get(announce.HeaderPriority))
	e.runsMu.Lock()
	defer e.runsMu.Unlock()
	if !e.matchesIncarnation(r) {
		return nil, http.StatusConflict, reasonOtherIncarnation
	}
	if e.cancelled[id] {
		return nil, http.StatusConflict, reasonCancelledEarly
	}
	waiter := e.slots.acquire(priority)
	if waiter == nil {
		return nil, http.StatusServiceUnavailable, reasonQueueFull
	}
	e.expireRuns()
	started := &run{
		engine:       e,
		id:           id,
		attempt:      r.Header.Get(announce.HeaderAttempt),
		priority:     priority,
		incarnation:  e.currentIncarnation(),
		req:          req,
		faults:       faults,
		crashOnStart: crashOnStart,
		slots:        e.slots,
		running:      e.running,
		waiter:       waiter,
		cache:        e.cache,
		createdAt:    time.Now(),
		changed:      make(chan struct{}),
		state:        stateRunning,
	}
	started.ctx, started.stop = context.WithCancelCause(e.incarnationCtx)
	if id != "" {
		e.runs[id] = started
	}
	e.running.Add(1)
	go started.generate()
	return started, 0, ""
}

// expireRuns removes the requests that ended longer ago than the retention period.
func (e *Engine) expireRuns() {
	for id, r := range e.runs {
		if r.endedBefore(time.Now().Add(-e.opts.Retention)) {
			delete(e.runs, id)
		}
	}
}

func (e *Engine) findRun(id string) *run {
	e.runsMu.Lock()
	defer e.runsMu.Unlock()
	return e.runs[id]
}

func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	found := e.findRun(r.PathValue("id"))
	if found == nil {
		e.writeState(w, announce.RequestState{State: stateUnknown})
		return
	}
	e.writeState(w, found.requestState())
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	e.runsMu.Lock()
	found := e.runs[id]
	if found == nil {
		e.cancelled[id] = true
	}
	e.runsMu.Unlock()
	if found == nil {
		e.writeState(w, announce.RequestState{State: stateCancelled})
		return
	}
	found.stop(errCancelled)
	found.awaitEnd(r.Context())
	e.writeState(w, found.requestState())
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	found := e.findRun(r.PathValue("id"))
	if found == nil {
		writeError(w, http.StatusNotFound, reasonUnknownRequest)
		return
	}
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		writeError(w, http.StatusBadRequest, "from is not an event number")
		return
	}
	found.serveStream(w, r, from)
}

func (e *Engine) serveTokenize(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	req, err := ParseChat(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, announce.TokenCount{Tokens: req.PromptTokens()})
}

// prefixHashes returns the hashes of the leading blocks of the prompt of req.
func prefixHashes(req *ChatRequest) []uint64 {
	return announce.PrefixHashes(req.Model, req.Prompt(), maxPrefixBlocks)
}

// waitForGroup waits until g is done or ctx ends.
func waitForGroup(ctx context.Context, g *sync.WaitGroup) error {
	idle := make(chan struct{})
	go func() {
		g.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
