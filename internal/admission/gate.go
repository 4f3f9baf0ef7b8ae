package admission

import (
	"context"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// pollInterval is the interval of capacity checks while requests wait.
const pollInterval = 10 * time.Millisecond

// Gate queues requests until a slot is granted, with one queue per service. It is safe
// for concurrent use.
type Gate struct {
	settings Settings
	// slots returns the slots of a service.
	slots func(service string) Slots
	now   func() time.Time

	mu     sync.Mutex
	lastID ID
	queues map[string]*Queue
	// waiters holds the channels that receive the decisions on waiting requests.
	waiters map[ID]chan *errkind.Error
	// polled holds the services with a running poll goroutine.
	polled map[string]bool
}

// NewGate returns a gate. A nil now means time.Now.
func NewGate(s Settings, slots func(service string) Slots, now func() time.Time) *Gate {
	if now == nil {
		now = time.Now
	}
	return &Gate{
		settings: s, slots: slots, now: now,
		queues: map[string]*Queue{}, waiters: map[ID]chan *errkind.Error{}, polled: map[string]bool{},
	}
}

// Acquire waits for a slot. The caller must call release when the request has ended.
// The error, if any, is an *errkind.Error.
func (g *Gate) Acquire(ctx context.Context, t Ticket) (release func(), err error) {
	id, decision := g.enqueue(t)
	select {
	case refusal := <-decision:
		return g.result(t.Service, id, refusal)
	default:
	}
	select {
	case refusal := <-decision:
		return g.result(t.Service, id, refusal)
	case <-ctx.Done():
		return nil, g.cancel(t.Service, id, decision)
	}
}

// Waiting returns the number of waiting requests of a service.
func (g *Gate) Waiting(service string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue(service).Waiting()
}

func (g *Gate) enqueue(t Ticket) (ID, <-chan *errkind.Error) {
	slots := g.slots(t.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	decision := make(chan *errkind.Error, 1)
	g.waiters[g.lastID] = decision
	q := g.queue(t.Service)
	g.deliver(q.Enqueue(g.lastID, t, g.now(), slots))
	if q.Waiting() > 0 && !g.polled[t.Service] {
		g.polled[t.Service] = true
		go g.poll(t.Service)
	}
	return g.lastID, decision
}

func (g *Gate) queue(service string) *Queue {
	q, found := g.queues[service]
	if !found {
		q = NewQueue(g.settings)
		g.queues[service] = q
	}
	return q
}

func (g *Gate) deliver(decisions []Decision) {
	for _, d := range decisions {
		g.waiters[d.ID] <- d.Err
		delete(g.waiters, d.ID)
	}
}

func (g *Gate) result(service string, id ID, refusal *errkind.Error) (func(), error) {
	if refusal != nil {
		return nil, refusal
	}
	return sync.OnceFunc(func() { g.release(service, id) }), nil
}

func (g *Gate) release(service string, id ID) {
	slots := g.slots(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queue(service)
	now := g.now()
	q.Release(id, now)
	g.deliver(q.Dispatch(now, slots))
}

// cancel ends the wait of a request whose caller has disconnected or whose deadline has
// passed. A slot granted in the meantime is released.
func (g *Gate) cancel(service string, id ID, decision <-chan *errkind.Error) error {
	g.mu.Lock()
	waiting := g.queue(service).Cancel(id)
	delete(g.waiters, id)
	g.mu.Unlock()
	unmet := errkind.New(errkind.DeadlineUnmet, "no capacity became available within the deadline").WithRetryAfter(defaultRetryAfter)
	if waiting {
		return unmet
	}
	refusal := <-decision
	if refusal == nil {
		g.release(service, id)
		return unmet
	}
	return refusal
}

// poll dispatches from the queue of a service until it is empty, because capacity also
// changes through other hosts and the upstreams.
func (g *Gate) poll(service string) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for range ticker.C {
		slots := g.slots(service)
		g.mu.Lock()
		q := g.queue(service)
		g.deliver(q.Dispatch(g.now(), slots))
		if q.Waiting() == 0 {
			delete(g.polled, service)
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
	}
}
