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

// ServiceOptions are the settings of a Service.
type ServiceOptions struct {
	Identity
	// Names are the plain services that it offers.
	Names []string
	// Capacity is the number of calls that run at once.
	Capacity int
	Queue    int
	// WorkTime is the time before a call takes effect; AnswerTime that from then to the answer.
	WorkTime   time.Duration
	AnswerTime time.Duration
	// Books holds the series and bookings, which replicas of a service share; nil means new ones.
	Books *Books
}

// Service is a stand-in for a plain service that gives numbers of series and
// takes bookings. Its calls are not idempotent: each one that takes effect
// gives a new number.
//
//	POST /series/{name}/next   takes the next number of a series
//	GET  /series/{name}        tells the last number
//	POST /bookings             confirms a booking
//	GET  /diary                lists the bookings
type Service struct {
	*member
	opts  ServiceOptions
	mux   *http.ServeMux
	books *Books

	callsMu   sync.Mutex
	slots     *slots
	calls     map[string]*call
	cancelled map[string]bool
	life      context.Context
	endLife   context.CancelFunc
	running   sync.WaitGroup
}

// call is one call of a service.
type call struct {
	state  announce.RequestState
	ctx    context.Context
	cancel context.CancelFunc
	slots  *slots
	place  *waiter
}

// answer is what a call returns.
type answer struct {
	status int
	body   any
	number int64
}

// NewService returns a plain service.
func NewService(opts ServiceOptions) *Service {
	if opts.Capacity == 0 {
		opts.Capacity = defaultCapacity
	}
	if opts.Queue == 0 {
		opts.Queue = defaultQueue
	}
	if opts.Books == nil {
		opts.Books = NewBooks()
	}
	s := &Service{member: newMember(opts.Identity), opts: opts, mux: http.NewServeMux(), books: opts.Books}
	s.reset()
	s.addAdmin(s.mux)
	s.mux.HandleFunc("GET "+announce.PathRequests+"{id}", s.serveState)
	s.mux.HandleFunc("DELETE "+announce.PathRequests+"{id}", s.serveCancel)
	s.mux.HandleFunc("POST /series/{name}/next", s.work(func(r *http.Request, _ []byte) answer {
		n := s.books.next(r.PathValue("name"))
		return answer{http.StatusOK, map[string]any{"series": r.PathValue("name"), "number": n}, n}
	}))
	s.mux.HandleFunc("GET /series/{name}", s.work(func(r *http.Request, _ []byte) answer {
		n := s.books.last(r.PathValue("name"))
		return answer{http.StatusOK, map[string]any{"series": r.PathValue("name"), "last": n}, 0}
	}))
	s.mux.HandleFunc("POST /bookings", s.work(func(_ *http.Request, body []byte) answer {
		n := s.books.book(body)
		return answer{http.StatusCreated, map[string]any{"booking": n}, n}
	}))
	s.mux.HandleFunc("GET /diary", s.work(func(*http.Request, []byte) answer {
		return answer{http.StatusOK, map[string]any{"bookings": s.books.bookings()}, 0}
	}))
	return s
}

// reset forgets all calls, as a restart does. The lock is held.
func (s *Service) reset() {
	if s.endLife != nil {
		s.endLife()
	}
	s.life, s.endLife = context.WithCancel(context.Background())
	s.slots = &slots{capacity: s.opts.Capacity, queueMax: s.opts.Queue}
	s.calls = map[string]*call{}
	s.cancelled = map[string]bool{}
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Announcement returns the next announcement.
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

// Wait returns when no call runs, or when ctx ends.
func (s *Service) Wait(ctx context.Context) error {
	return waitGroup(ctx, &s.running)
}

// Crash drops all calls and starts the next incarnation. What took effect stays.
func (s *Service) Crash() {
	s.callsMu.Lock()
	s.reset()
	s.restart()
	s.callsMu.Unlock()
	if s.identity.OnCrash != nil {
		s.identity.OnCrash()
	}
}

// work wraps effect, which is what a call does, with all that is common to calls.
func (s *Service) work(effect func(*http.Request, []byte) answer) http.HandlerFunc {
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
		s.serveWork(w, r, body, faults, effect)
	}
}

func (s *Service) serveWork(w http.ResponseWriter, r *http.Request, body []byte, faults Faults, effect func(*http.Request, []byte) answer) {
	id := r.Header.Get(announce.HeaderRequestID)
	c, status := s.admit(r, id)
	if c == nil {
		s.setIncarnation(w)
		w.Header().Set(headerRetryAfter, retryAfterSeconds)
		writeError(w, status, "the call was not run")
		return
	}
	defer c.cancel()
	defer c.slots.leave(c.place)
	select {
	case <-c.place.granted:
	case <-c.ctx.Done():
		dropConnection()
	}
	if !timing.Sleep(c.ctx, s.opts.WorkTime) {
		dropConnection()
	}
	if faults.crashes(body) {
		s.record(s.currentIncarnation(), s.truthOf(r, TruthCrashed, 0))
		s.Crash()
		dropConnection()
	}
	result, done := s.commit(c, r, body, effect)
	if !done {
		dropConnection()
	}
	if !timing.Sleep(s.lifetime(), s.opts.AnswerTime+faults.answerDelay()) || faults.DropAnswers {
		dropConnection()
	}
	if faults.ForeignID != "" {
		id = faults.ForeignID
	}
	w.Header().Set(announce.HeaderRequestID, id)
	writeJSON(w, result.status, result.body)
}

// admit registers a call and asks for a place. It returns the status of the refusal if there is none.
func (s *Service) admit(r *http.Request, id string) (*call, int) {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	if !s.meant(r) || s.cancelled[id] {
		return nil, http.StatusConflict
	}
	place := s.slots.enter(0)
	if place == nil {
		return nil, http.StatusServiceUnavailable
	}
	c := &call{state: announce.RequestState{State: stateRunning}, slots: s.slots, place: place}
	c.ctx, c.cancel = context.WithCancel(s.life)
	if id != "" {
		s.calls[id] = c
	}
	return c, 0
}

// commit lets the call take effect unless it was cancelled before.
func (s *Service) commit(c *call, r *http.Request, body []byte, effect func(*http.Request, []byte) answer) (answer, bool) {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	if c.ctx.Err() != nil {
		return answer{}, false
	}
	result := effect(r, body)
	s.record(s.currentIncarnation(), s.truthOf(r, TruthRan, result.number))
	data, _ := json.Marshal(result.body)
	c.state = announce.RequestState{
		State:       stateDone,
		Status:      result.status,
		ContentType: "application/json",
		Body:        data,
	}
	return result, true
}

func (s *Service) truthOf(r *http.Request, event TruthEvent, number int64) TruthRecord {
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

func (s *Service) lifetime() context.Context {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	return s.life
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

// serveCancel cancels a call that has not taken effect, and tells how it stands.
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
