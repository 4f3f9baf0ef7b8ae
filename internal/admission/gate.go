package admission

import (
	"context"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// pumpInterval is the time between two looks at the capacity while requests wait.
const pumpInterval = 10 * time.Millisecond

// Gate lets requests wait for places: one queue per service. It is safe for
// concurrent use.
type Gate struct {
	settings Settings
	// places returns the places of a service.
	places func(service string) Places
	now    func() time.Time

	mu     sync.Mutex
	lastID ID
	queues map[string]*Queue
	// waiters receive the verdicts of waiting requests.
	waiters map[ID]chan *errkind.Error
	// pumped holds the services whose queue is looked at regularly.
	pumped map[string]bool
}

// NewGate returns a gate; now may be nil for time.Now.
func NewGate(s Settings, places func(service string) Places, now func() time.Time) *Gate {
	if now == nil {
		now = time.Now
	}
	return &Gate{
		settings: s, places: places, now: now,
		queues: map[string]*Queue{}, waiters: map[ID]chan *errkind.Error{}, pumped: map[string]bool{},
	}
}

// Acquire waits for a place. The caller must call release when the request has
// ended. An error is an *errkind.Error.
func (g *Gate) Acquire(ctx context.Context, t Ticket) (release func(), err error) {
	id, verdict := g.arrive(t)
	select {
	case refusal := <-verdict:
		return g.result(t.Service, id, refusal)
	default:
	}
	select {
	case refusal := <-verdict:
		return g.result(t.Service, id, refusal)
	case <-ctx.Done():
		return nil, g.abandon(t.Service, id, verdict)
	}
}

// Waiting returns the number of waiting requests of a service.
func (g *Gate) Waiting(service string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue(service).Waiting()
}

func (g *Gate) arrive(t Ticket) (ID, <-chan *errkind.Error) {
	places := g.places(t.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	verdict := make(chan *errkind.Error, 1)
	g.waiters[g.lastID] = verdict
	q := g.queue(t.Service)
	g.deliver(q.Arrive(g.lastID, t, g.now(), places))
	if q.Waiting() > 0 && !g.pumped[t.Service] {
		g.pumped[t.Service] = true
		go g.pump(t.Service)
	}
	return g.lastID, verdict
}

func (g *Gate) queue(service string) *Queue {
	q, found := g.queues[service]
	if !found {
		q = NewQueue(g.settings)
		g.queues[service] = q
	}
	return q
}

func (g *Gate) deliver(verdicts []Verdict) {
	for _, v := range verdicts {
		g.waiters[v.ID] <- v.Err
		delete(g.waiters, v.ID)
	}
}

func (g *Gate) result(service string, id ID, refusal *errkind.Error) (func(), error) {
	if refusal != nil {
		return nil, refusal
	}
	return sync.OnceFunc(func() { g.finish(service, id) }), nil
}

func (g *Gate) finish(service string, id ID) {
	places := g.places(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queue(service)
	now := g.now()
	q.Finish(id, now)
	g.deliver(q.Step(now, places))
}

// abandon ends the wait of a request whose caller has gone or whose deadline has passed.
func (g *Gate) abandon(service string, id ID, verdict <-chan *errkind.Error) error {
	g.mu.Lock()
	waiting := g.queue(service).Abandon(id)
	delete(g.waiters, id)
	g.mu.Unlock()
	gone := errkind.New(errkind.DeadlineUnmet, "no place became free within the deadline").WithRetryAfter(retryUnknown)
	if waiting {
		return gone
	}
	refusal := <-verdict
	if refusal == nil {
		g.finish(service, id)
		return gone
	}
	return refusal
}

// pump looks at a service's queue until it is empty, because capacity also
// changes by what other hosts and the upstreams do.
func (g *Gate) pump(service string) {
	ticker := time.NewTicker(pumpInterval)
	defer ticker.Stop()
	for range ticker.C {
		places := g.places(service)
		g.mu.Lock()
		q := g.queue(service)
		g.deliver(q.Step(g.now(), places))
		if q.Waiting() == 0 {
			delete(g.pumped, service)
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
	}
}
