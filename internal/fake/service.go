package fake

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/timing"
)

// ServiceOptions configures a Service. Zero values select the defaults.
type ServiceOptions struct {
	CommonOptions
	// Names are the plain services that are offered.
	Names []string
	// Capacity is the number of slots for concurrent calls; QueueLimit bounds the calls that
	// wait for a slot.
	Capacity   int
	QueueLimit int
	// WorkTime is the time until a call takes effect; AnswerTime is the time from then to the answer.
	WorkTime   time.Duration
	AnswerTime time.Duration
	// Data holds the number series and bookings, which all replicas of a service share; nil
	// means empty data.
	Data *ServiceData
}

// Service is a stand-in for a plain service that assigns numbers from series and
// records bookings. Its POST calls are not idempotent: each one that takes effect
// assigns a new number.
//
//	POST /series/{name}/next   assigns the next number of a series
//	GET  /series/{name}        returns the last number of a series
//	POST /bookings             records a booking
//	GET  /diary                lists the bookings
type Service struct {
	*standIn
	opts ServiceOptions
	mux  *http.ServeMux
	data *ServiceData

	callsMu        sync.Mutex
	slots          *slots
	calls          map[string]*call
	cancelled      map[string]bool
	incarnationCtx context.Context
	endIncarnation context.CancelFunc
	running        sync.WaitGroup
}

// call is one call of a plain service.
type call struct {
	state  announce.RequestState
	ctx    context.Context
	cancel context.CancelFunc
	slots  *slots
	waiter *waiter
}

// answer is the result of a call: the HTTP answer and the number for the ground truth.
type answer struct {
	status int
	body   any
	number int64
}

// NewService returns a plain service that implements the protocol of package announce.
func NewService(opts ServiceOptions) *Service {
	if opts.Capacity == 0 {
		opts.Capacity = defaultCapacity
	}
	if opts.QueueLimit == 0 {
		opts.QueueLimit = defaultQueueLimit
	}
	if opts.Data == nil {
		opts.Data = NewServiceData()
	}
	s := &Service{standIn: newStandIn(opts.CommonOptions), opts: opts, mux: http.NewServeMux(), data: opts.Data}
	s.reset()
	s.addAdminRoutes(s.mux)
	s.mux.HandleFunc("GET "+announce.PathRequests+"{id}", s.serveState)
	s.mux.HandleFunc("DELETE "+announce.PathRequests+"{id}", s.serveCancel)
	s.mux.HandleFunc("POST /series/{name}/next", s.handler(func(r *http.Request, _ []byte) answer {
		n := s.data.nextNumber(r.PathValue("name"))
		return answer{http.StatusOK, map[string]any{"series": r.PathValue("name"), "number": n}, n}
	}))
	s.mux.HandleFunc("GET /series/{name}", s.handler(func(r *http.Request, _ []byte) answer {
		n := s.data.lastNumber(r.PathValue("name"))
		return answer{http.StatusOK, map[string]any{"series": r.PathValue("name"), "last": n}, 0}
	}))
	s.mux.HandleFunc("POST /bookings", s.handler(func(_ *http.Request, body []byte) answer {
		n := s.data.addBooking(body)
		return answer{http.StatusCreated, map[string]any{"booking": n}, n}
	}))
	s.mux.HandleFunc("GET /diary", s.handler(func(*http.Request, []byte) answer {
		return answer{http.StatusOK, map[string]any{"bookings": s.data.listBookings()}, 0}
	}))
	return s
}

// reset discards all calls, as a restart does. The caller holds callsMu.
func (s *Service) reset() {
	if s.endIncarnation != nil {
		s.endIncarnation()
	}
	s.incarnationCtx, s.endIncarnation = context.WithCancel(context.Background())
	s.slots = &slots{capacity: s.opts.Capacity, queueLimit: s.opts.QueueLimit}
	s.calls = map[string]*call{}
	s.cancelled = map[string]bool{}
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Announcement returns the next announcement of the service.
func (s *Service) Announcement() announce.Announcement {
	s.callsMu.Lock()
	inFlight, queued := s.slots.load()
	s.callsMu.Unlock()
	a := s.announcement(inFlight, queued)
	a.Kind = announce.KindService
	for _, name := range s.opts.Names {
		a.Services = append(a.Services, announce.ServiceOffer{Name: name})
	}
	a.Capacity = s.opts.Capacity
	return a
}

// Wait blocks until no call runs or ctx ends.
func (s *Service) Wait(ctx context.Context) error {
	return waitForGroup(ctx, &s.running)
}

// Crash aborts all calls and starts the next incarnation. Effects of earlier calls persist.
func (s *Service) Crash() {
	s.callsMu.Lock()
	s.reset()
	s.restart()
	s.callsMu.Unlock()
	if s.common.OnCrash != nil {
		s.common.OnCrash()
	}
}

// handler returns an HTTP handler that runs effect, with the admission, delays and faults
// that all calls share.
func (s *Service) handler(effect func(*http.Request, []byte) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.running.Add(1)
		defer s.running.Done()
		faults := s.currentFaults()
		if faults.Refuse {
			dropConnection()
		}
		body, ok := readBody(w, r)
		if !ok {
			return
		}
		s.serveCall(w, r, body, faults, effect)
	}
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request, body []byte, faults Faults, effect func(*http.Request, []byte) answer) {
	id := r.Header.Get(announce.HeaderRequestID)
	c, status := s.admit(r, id)
	if c == nil {
		s.setIncarnation(w)
		w.Header().Set(headerRetryAfter, retryAfterSeconds)
		writeError(w, status, "the call was not run")
		return
	}
	defer c.cancel()
	defer c.slots.release(c.waiter)
	select {
	case <-c.waiter.acquired:
	case <-c.ctx.Done():
		dropConnection()
	}
	if !timing.Sleep(c.ctx, s.opts.WorkTime) {
		dropConnection()
	}
	if faults.crashes(body) {
		s.record(s.currentIncarnation(), s.truthRecord(r, TruthCrashed, 0))
		s.Crash()
		dropConnection()
	}
	result, committed := s.commit(c, r, body, effect)
	if !committed {
		dropConnection()
	}
	if !timing.Sleep(s.currentIncarnationCtx(), s.opts.AnswerTime+faults.answerDelay()) || faults.DropAnswers {
		dropConnection()
	}
	if faults.ForeignID != "" {
		id = faults.ForeignID
	}
	w.Header().Set(announce.HeaderRequestID, id)
	writeJSON(w, result.status, result.body)
}

// admit registers a call and requests a slot for it. If the call is rejected, it returns nil
// and the HTTP status.
func (s *Service) admit(r *http.Request, id string) (*call, int) {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	if !s.matchesIncarnation(r) || s.cancelled[id] {
		return nil, http.StatusConflict
	}
	waiter := s.slots.acquire(0)
	if waiter == nil {
		return nil, http.StatusServiceUnavailable
	}
	c := &call{state: announce.RequestState{State: stateRunning}, slots: s.slots, waiter: waiter}
	c.ctx, c.cancel = context.WithCancel(s.incarnationCtx)
	if id != "" {
		s.calls[id] = c
	}
	return c, 0
}

// commit applies the effect of the call and reports true, unless the call was cancelled.
func (s *Service) commit(c *call, r *http.Request, body []byte, effect func(*http.Request, []byte) answer) (answer, bool) {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	if c.ctx.Err() != nil {
		return answer{}, false
	}
	result := effect(r, body)
	s.record(s.currentIncarnation(), s.truthRecord(r, TruthRan, result.number))
	data, _ := json.Marshal(result.body)
	c.state = announce.RequestState{
		State:       stateDone,
		Status:      result.status,
		ContentType: "application/json",
		Body:        data,
	}
	return result, true
}

func (s *Service) truthRecord(r *http.Request, event TruthEvent, number int64) TruthRecord {
	return TruthRecord{
		Event:     event,
		RequestID: r.Header.Get(announce.HeaderRequestID),
		Attempt:   r.Header.Get(announce.HeaderAttempt),
		Service:   strings.Join(s.opts.Names, ","),
		Method:    r.Method,
		Path:      r.URL.Path,
		Number:    number,
	}
}

func (s *Service) currentIncarnationCtx() context.Context {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	return s.incarnationCtx
}

func (s *Service) serveState(w http.ResponseWriter, r *http.Request) {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	c := s.calls[r.PathValue("id")]
	if c == nil {
		s.writeState(w, announce.RequestState{State: stateUnknown})
		return
	}
	s.writeState(w, c.state)
}

// serveCancel cancels a call that has not taken effect, and returns the state of the call.
func (s *Service) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	c := s.calls[id]
	if c == nil {
		s.cancelled[id] = true
		s.writeState(w, announce.RequestState{State: stateCancelled})
		return
	}
	if c.state.State == stateRunning {
		c.cancel()
		c.state.State = stateCancelled
		s.cancelled[id] = true
	}
	s.writeState(w, c.state)
}
