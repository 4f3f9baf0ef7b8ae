package gateway

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/presence"
	"github.com/godwitbend/godwitbend/internal/urgency"
)

// loadReportInterval is the interval at which hosts learn each other's loads in large fleets.
const loadReportInterval = 500 * time.Millisecond

// The tests below play the load of a plain service with and without the wait queue. Three upstreams have
// six slots and a queue of two requests for each; a request occupies a slot for 30 ms. An upstream without
// room turns a request away, which is then tried once at another one.

const (
	plainUpstreams = 3
	plainSlots     = 6
	plainService   = 30 * time.Millisecond
	plainDuration  = 6 * time.Second
	plainSeeds     = 100
	// plainHosts is the number of hosts that learn each other's loads late.
	plainHosts = 8
	// plainNoise is the difference of two shares that is within the spread of the plays.
	plainNoise = 0.002
)

var plainStart = time.Unix(1_000_000, 0)

// plainClasses are the kinds of callers, by rank.
var plainClasses = []struct{ objective, deadline time.Duration }{
	{200 * time.Millisecond, 1200 * time.Millisecond}, {150 * time.Millisecond, 1000 * time.Millisecond},
}

// plainOutcome counts the requests of one kind.
type plainOutcome struct{ onTime, late, refused int }

func (o plainOutcome) total() float64       { return float64(o.onTime + o.late + o.refused) }
func (o plainOutcome) onTimeShare() float64 { return float64(o.onTime) / o.total() }
func (o plainOutcome) servedShare() float64 { return float64(o.onTime+o.late) / o.total() }
func (o plainOutcome) plus(more plainOutcome) plainOutcome {
	return plainOutcome{o.onTime + more.onTime, o.late + more.late, o.refused + more.refused}
}

type plainEvent struct {
	at time.Duration
	do func(now time.Duration)
}

type plainEvents []plainEvent

func (e plainEvents) Len() int           { return len(e) }
func (e plainEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e plainEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *plainEvents) Push(x any)        { *e = append(*e, x.(plainEvent)) }
func (e *plainEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// plainUpstream is an upstream that runs requests in their order; slotFreeAt are the times at which its
// slots are free, and inFlight the requests that it has accepted.
type plainUpstream struct {
	slotFreeAt [plainSlots]time.Duration
	inFlight   int
}

// accept returns the time at which the request is done; false if there is no room.
func (u *plainUpstream) accept(now time.Duration) (time.Duration, bool) {
	if u.inFlight >= plainSlots*plainInFlightPerSlot {
		return 0, false
	}
	u.inFlight++
	first := 0
	for i, at := range u.slotFreeAt {
		if at < u.slotFreeAt[first] {
			first = i
		}
	}
	u.slotFreeAt[first] = max(u.slotFreeAt[first], now) + plainService
	return u.slotFreeAt[first], true
}

// plainHost is a host with its pool and queue; queue is nil if requests do not wait.
type plainHost struct {
	pool  *placement.Pool
	queue *waitQueue
}

// plainLoad is one play.
type plainLoad struct {
	upstreams map[string]*plainUpstream
	hosts     []*plainHost
	events    plainEvents
	outcome   [2]plainOutcome
	// waiting holds the requests of all waiters.
	waiting map[*waiter]*plainRequest
}

type plainRequest struct {
	kind      int
	arrivedAt time.Duration
	exclude   []string
}

func (r *plainRequest) work(now time.Duration) urgency.Work {
	c := plainClasses[r.kind]
	waited := now - r.arrivedAt
	return urgency.Work{Rank: r.kind, Objective: c.objective, Waited: waited, Left: c.deadline - waited, Service: plainService}
}

func newPlainLoad(hosts int, queued bool) *plainLoad {
	l := &plainLoad{upstreams: map[string]*plainUpstream{}, waiting: map[*waiter]*plainRequest{}}
	var records []presence.Record
	for i := range plainUpstreams {
		id := fmt.Sprint("u", i)
		l.upstreams[id] = &plainUpstream{}
		records = append(records, presence.Record{Upstream: presence.Upstream{ID: id, Address: id, Service: "s", Zone: "a", State: presence.Ready, StartedMS: 1, Slots: plainSlots}})
	}
	for range hosts {
		h := &plainHost{pool: placement.NewPool("a")}
		h.pool.Update(records)
		if queued {
			h.queue = newWaitQueue()
		}
		l.hosts = append(l.hosts, h)
	}
	return l
}

func (l *plainLoad) after(at time.Duration, do func(now time.Duration)) {
	heap.Push(&l.events, plainEvent{at, do})
}

// exchange makes each host know the load of the others, and repeats that.
func (l *plainLoad) exchange(now time.Duration) {
	loads := make([]map[uint32]placement.Load, len(l.hosts))
	sum := map[uint32]placement.Load{}
	for i, h := range l.hosts {
		loads[i] = h.pool.LoadsByShortID()
		for id, load := range loads[i] {
			sum[id] = sum[id].Plus(load)
		}
	}
	for i, h := range l.hosts {
		others := map[uint32]placement.Load{}
		for id, load := range sum {
			others[id] = load.Minus(loads[i][id])
		}
		h.pool.ApplyControlLoads(others)
		l.grant(h, now)
	}
	l.after(now+loadReportInterval, l.exchange)
}

func (l *plainLoad) choose(h *plainHost, r *plainRequest, now time.Duration) (*placement.Assignment, *placement.Refusal) {
	return h.pool.Choose(&placement.Request{
		Service: "s", Exclude: r.exclude, MaxInFlight: func(u *placement.Upstream) int { return u.Slots * plainInFlightPerSlot },
	}, plainStart.Add(now))
}

// arrive handles a request that arrives at a host, or is tried again.
func (l *plainLoad) arrive(h *plainHost, r *plainRequest, now time.Duration) {
	var a *placement.Assignment
	var refused *placement.Refusal
	if h.queue == nil || len(h.queue.waiting) == 0 {
		if a, refused = l.choose(h, r, now); refused == nil {
			if h.queue != nil {
				h.queue.begin(r.work(now), plainStart.Add(now))
			}
			l.send(h, r, a, now)
			return
		}
	}
	if h.queue == nil || refused != nil && refused.Reason != placement.AllFull {
		l.refuse(h, r, now)
		return
	}
	w := &waiter{
		work: r.work(now), since: plainStart.Add(now), restricted: len(r.exclude) > 0, decided: make(chan waitDecision, 1),
		choose: func(at time.Time) (*placement.Assignment, *placement.Refusal) {
			return l.choose(h, r, at.Sub(plainStart))
		},
	}
	l.waiting[w] = r
	d, displaced := h.queue.add(w, plainStart.Add(now))
	if displaced != nil {
		l.outcome[l.waiting[displaced.waiter].kind].refused++
	}
	if d.refusal != mayWait {
		l.outcome[r.kind].refused++
	}
}

// refuse counts a refusal that is not by the queue.
func (l *plainLoad) refuse(h *plainHost, r *plainRequest, now time.Duration) {
	l.outcome[r.kind].refused++
	if h.queue != nil {
		h.queue.history.Count(r.work(now), true, plainStart.Add(now))
	}
}

func (l *plainLoad) send(h *plainHost, r *plainRequest, a *placement.Assignment, now time.Duration) {
	u := l.upstreams[a.ID]
	done, accepted := u.accept(now)
	if !accepted {
		h.pool.Release(a)
		if h.queue != nil {
			h.queue.end(0)
		}
		if r.exclude = append(r.exclude, a.ID); len(r.exclude) < 2 {
			l.arrive(h, r, now)
		} else {
			l.refuse(h, r, now)
		}
		return
	}
	l.after(done, func(now2 time.Duration) {
		u.inFlight--
		h.pool.Release(a)
		took := now2 - r.arrivedAt
		switch c := plainClasses[r.kind]; {
		case took <= c.objective:
			l.outcome[r.kind].onTime++
		case took <= c.deadline:
			l.outcome[r.kind].late++
		default:
			l.outcome[r.kind].refused++
		}
		if h.queue != nil {
			h.queue.end(now2 - now)
			l.grant(h, now2)
		}
	})
}

// grant gives free places to the waiting requests of a host.
func (l *plainLoad) grant(h *plainHost, now time.Duration) {
	if h.queue == nil {
		return
	}
	for _, d := range h.queue.grant(plainStart.Add(now)) {
		r := l.waiting[d.waiter]
		if d.assignment != nil {
			l.send(h, r, d.assignment, now)
		} else {
			l.outcome[r.kind].refused++
		}
	}
}

// playPlainLoad plays a number of arrivals per second.
func playPlainLoad(perSecond float64, hosts int, queued bool, seed uint64) [2]plainOutcome {
	random := rand.New(rand.NewPCG(seed, 11))
	l := newPlainLoad(hosts, queued)
	if hosts > 1 {
		l.after(0, l.exchange)
	}
	var arrive func(now time.Duration)
	arrive = func(now time.Duration) {
		l.arrive(l.hosts[random.IntN(hosts)], &plainRequest{kind: random.IntN(2), arrivedAt: now}, now)
		l.after(now+time.Duration(random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	l.after(0, arrive)
	for l.events[0].at < plainDuration {
		e := heap.Pop(&l.events).(plainEvent)
		e.do(e.at)
	}
	return l.outcome
}

func playPlainSeeds(perSecond float64, hosts int, queued bool) (sum [2]plainOutcome) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	running := make(chan struct{}, 4)
	for seed := range uint64(plainSeeds) {
		wg.Go(func() {
			running <- struct{}{}
			defer func() { <-running }()
			o := playPlainLoad(perSecond, hosts, queued, seed)
			mu.Lock()
			defer mu.Unlock()
			for i := range sum {
				sum[i] = sum[i].plus(o[i])
			}
		})
	}
	wg.Wait()
	return sum
}

func describePlain(o [2]plainOutcome) string {
	text := ""
	for i := range o {
		text += fmt.Sprintf("rank %d: %.3f on time, %.3f late; ", i, o[i].onTimeShare(), float64(o[i].late)/o[i].total())
	}
	all := o[0].plus(o[1])
	return text + fmt.Sprintf("all %.3f on time, %.3f served", all.onTimeShare(), all.servedShare())
}

// Guards against a wait queue that serves callers worse than refusals at once, that does not prefer the
// more urgent, or that starves the others.
func TestWaitQueueUnderLoad(t *testing.T) {
	for _, hosts := range []int{1, plainHosts} {
		for _, perSecond := range []float64{300, 400, 500, 600, 700, 1100} {
			t.Run(fmt.Sprintf("%d hosts, %.0f a second", hosts, perSecond), func(t *testing.T) {
				g := NewWithT(t)
				refusing, waiting := playPlainSeeds(perSecond, hosts, false), playPlainSeeds(perSecond, hosts, true)
				t.Logf("refusing: %s", describePlain(refusing))
				t.Logf("waiting:  %s", describePlain(waiting))
				all, before := waiting[0].plus(waiting[1]), refusing[0].plus(refusing[1])
				g.Expect(all.onTimeShare()).To(BeNumerically(">=", before.onTimeShare()-plainNoise))
				g.Expect(all.servedShare()).To(BeNumerically(">=", before.servedShare()-plainNoise))
				g.Expect(waiting[0].onTimeShare()).To(BeNumerically(">=", refusing[0].onTimeShare()-plainNoise))
				g.Expect(waiting[0].onTimeShare()).To(BeNumerically(">=", waiting[1].onTimeShare()-plainNoise))
				g.Expect(waiting[1].servedShare()).To(BeNumerically(">=", all.servedShare()/2), "the second rank is not starved")
			})
		}
	}
}

// BenchmarkGrant measures what a release costs while the queue is full and no place is free.
func BenchmarkGrant(b *testing.B) {
	q := newWaitQueue()
	full := &placement.Refusal{Reason: placement.AllFull}
	for i := range maxWaiting {
		w := &waiter{
			work: urgency.Work{Rank: i % 3, Objective: time.Hour, Left: 2 * time.Hour}, since: plainStart.Add(time.Duration(i*7%maxWaiting) * time.Millisecond),
			choose: func(time.Time) (*placement.Assignment, *placement.Refusal) { return nil, full },
		}
		if d, _ := q.add(w, plainStart); d.refusal != mayWait {
			b.Fatal(d.refusal)
		}
	}
	for b.Loop() {
		if decisions := q.grant(plainStart.Add(time.Second)); len(decisions) > 0 {
			b.Fatal(decisions)
		}
	}
}
