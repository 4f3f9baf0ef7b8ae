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
	defaultCapacity        = 8
	defaultQueue           = 64
	defaultCacheBlocks     = 4096
	defaultRetention       = time.Minute
	maxPrefixBlocks        = 128
	cacheEventsPerTick     = 256
	retryAfterSeconds      = "1"
	headerRetryAfter       = "Retry-After"
	reasonOwnCancelled     = "the request was cancelled before it arrived"
	reasonOtherIncarnation = "the request is meant for another incarnation"
	reasonQueueFull        = "the queue is full"
	reasonUnknownID        = "the request is not known"
	reasonNotServedHere    = "the model is not loaded"
)

// EngineOptions are the settings of an Engine. Zero values mean defaults.
type EngineOptions struct {
	Identity
	// Models are the models that are loaded at the start.
	Models []announce.ServiceOffer
	Role   string
	// Capacity is the number of requests that run at once; Queue bounds those that wait.
	Capacity int
	Queue    int
	// TokenTime is the time per output token; PromptTokenTime that per prompt token not in the cache.
	TokenTime       time.Duration
	PromptTokenTime time.Duration
	// CacheBlocks bounds the prefix cache, in blocks.
	CacheBlocks int
	// CacheGapEvery drops every n-th cache event, if positive.
	CacheGapEvery uint64
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// LoadTime is the time that a load order takes beside the weight store.
	LoadTime time.Duration
	// FetchWeights, if set, fetches the weights of a model for a load order.
	FetchWeights func(ctx context.Context, model string) error
	// Retention is how long finished requests stay known.
	Retention time.Duration
}

// Engine is a stand-in for a model engine that batches continuously.
type Engine struct {
	*member
	opts   EngineOptions
	mux    *http.ServeMux
	orders *orderBook

	runsMu    sync.Mutex
	slots     *slots
	cache     *prefixCache
	runs      map[string]*run
	cancelled map[string]bool
	// life ends when the incarnation crashes.
	life    context.Context
	endLife context.CancelFunc
	// running counts the requests of the present incarnation.
	running *sync.WaitGroup
}

// NewEngine returns an engine that serves the protocol of package announce.
func NewEngine(opts EngineOptions) *Engine {
	opts.setDefaults()
	e := &Engine{member: newMember(opts.Identity), opts: opts, mux: http.NewServeMux()}
	e.orders = newOrderBook(opts)
	e.reset()
	e.addAdmin(e.mux)
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
	if o.Queue == 0 {
		o.Queue = defaultQueue
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = defaultCacheBlocks
	}
	if o.Retention == 0 {
		o.Retention = defaultRetention
	}
}

// reset forgets all requests and the cache, as a restart does. The lock is held.
func (e *Engine) reset() {
	if e.endLife != nil {
		e.endLife()
	}
	e.life, e.endLife = context.WithCancel(context.Background())
	e.slots = &slots{capacity: e.opts.Capacity, queueMax: e.opts.Queue}
	e.cache = newPrefixCache(e.opts.CacheBlocks, e.opts.CacheGapEvery)
	e.runs = map[string]*run{}
	e.running = &sync.WaitGroup{}
	e.cancelled = map[string]bool{}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Announcement returns the next announcement.
func (e *Engine) Announcement() announce.Announcement {
	e.runsMu.Lock()
	inFlight, queued := e.slots.load()
	events := e.cache.take(cacheEventsPerTick)
	e.runsMu.Unlock()
	a := e.announcement(inFlight, queued)
	a.Kind = announce.KindEngine
	a.Services, a.Role = e.orders.loaded()
	a.Capacity = e.opts.Capacity
	a.ChecksFencing = e.opts.ChecksFencing
	a.CacheEvents = events
	return a
}

// Wait returns when no request runs, or when ctx ends.
func (e *Engine) Wait(ctx context.Context) error {
	e.runsMu.Lock()
	running := e.running
	e.runsMu.Unlock()
	return waitGroup(ctx, running)
}

// Close ends all requests as a crash does.
func (e *Engine) Close() {
	e.runsMu.Lock()
	e.endLife()
	running := e.running
	e.runsMu.Unlock()
	running.Wait()
}

// Crash drops all requests and starts the next incarnation.
func (e *Engine) Crash() {
	e.runsMu.Lock()
	lost := e.running
	e.reset()
	e.restart()
	e.runsMu.Unlock()
	lost.Wait()
	if e.identity.OnCrash != nil {
		e.identity.OnCrash()
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
		writeError(w, http.StatusNotFound, reasonNotServedHere)
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
	started.serveWhole(w, r)
}

// start admits a chat request and begins to generate its answer.
func (e *Engine) start(r *http.Request, req *ChatRequest, faults Faults, crashes bool) (*run, int, string) {
	id := r.Header.Get(announce.HeaderRequestID)
	priority, _ := strconv.Atoi(r.Header.Get(announce.HeaderPriority))
	e.runsMu.Lock()
	defer e.runsMu.Unlock()
	if !e.meant(r) {
		return nil, http.StatusConflict, reasonOtherIncarnation
	}
	if e.cancelled[id] {
		return nil, http.StatusConflict, reasonOwnCancelled
	}
	place := e.slots.enter(priority)
	if place == nil {
		return nil, http.StatusServiceUnavailable, reasonQueueFull
	}
	e.forgetOld()
	started := &run{
		engine:      e,
		id:          id,
		attempt:     r.Header.Get(announce.HeaderAttempt),
		priority:    priority,
		incarnation: e.currentIncarnation(),
		req:         req,
		faults:      faults,
		crashes:     crashes,
		slots:       e.slots,
		running:     e.running,
		place:       place,
		cache:       e.cache,
		created:     time.Now(),
		changed:     make(chan struct{}),
		state:       stateRunning,
	}
	started.ctx, started.stop = context.WithCancelCause(e.life)
	if id != "" {
		e.runs[id] = started
	}
	e.running.Add(1)
	go started.generate()
	return started, 0, ""
}

// forgetOld removes requests that ended longer ago than the retention period.
func (e *Engine) forgetOld() {
	for id, r := range e.runs {
		if r.endedBefore(time.Now().Add(-e.opts.Retention)) {
			delete(e.runs, id)
		}
	}
}

func (e *Engine) find(id string) *run {
	e.runsMu.Lock()
	defer e.runsMu.Unlock()
	return e.runs[id]
}

func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	found := e.find(r.PathValue("id"))
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
	found := e.find(r.PathValue("id"))
	if found == nil {
		writeError(w, http.StatusNotFound, reasonUnknownID)
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

// prefixes returns the hashes of the leading blocks of the prompt of req.
func prefixes(req *ChatRequest) []uint64 {
	return announce.PrefixHashes(req.Model, req.Prompt(), maxPrefixBlocks)
}

// waitGroup waits for g, or until ctx ends.
func waitGroup(ctx context.Context, g *sync.WaitGroup) error {
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
