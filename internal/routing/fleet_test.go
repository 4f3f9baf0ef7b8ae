package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/registry"
)

// balancer selects upstreams for a simulated host: the router or the baseline.
type balancer interface {
	Choose(req *Request, snap *registry.Snapshot, now time.Time, random Random) (*registry.Entry, error)
}

// Parameters of the simulated fleet. Its size is that of the target deployment, and each
// organisation has a long system prompt of its own. One in lostEventInterval cache events
// is not announced.
const (
	fleetHosts          = 8
	fleetEngines        = 10
	fleetCapacity       = 8
	fleetZones          = 4
	systemPrompts       = 30
	systemPromptBlocks  = 40
	cacheCapacityBlocks = 400
	prefillTimePerBlock = 10 * time.Millisecond
	meanDecodeTime      = time.Second
	announceInterval    = time.Second
	announceDelay       = 200 * time.Millisecond
	lostEventInterval   = 10
)

// engine simulates a model engine with request slots, a queue and a prefix cache.
type engine struct {
	announcement    announce.Announcement
	running         int
	queue           []*job
	cache           []uint64
	events          []announce.CacheEvent
	lastEventNumber uint64
	// slowdown multiplies the prefill and decode times of the engine.
	slowdown int
}

type job struct {
	host    int
	entry   *registry.Entry
	prefix  []uint64
	arrived time.Time
}

// prefill returns the number of blocks of prefix that are not cached, and caches them.
func (e *engine) prefill(prefix []uint64) int {
	uncached := 0
	for _, p := range prefix {
		i := slices.Index(e.cache, p)
		if i >= 0 {
			e.cache = slices.Delete(e.cache, i, i+1)
		} else {
			uncached++
			e.publish(announce.CacheEvent{Prefix: p})
		}
		e.cache = append(e.cache, p)
	}
	for len(e.cache) > cacheCapacityBlocks {
		e.publish(announce.CacheEvent{Prefix: e.cache[0], Evicted: true})
		e.cache = e.cache[1:]
	}
	return uncached
}

func (e *engine) publish(event announce.CacheEvent) {
	e.lastEventNumber++
	event.Number = e.lastEventNumber
	if e.lastEventNumber%lostEventInterval != 0 {
		e.events = append(e.events, event)
	}
}

// simEvent is one scheduled event of the simulation.
type simEvent struct {
	at  time.Time
	run func(now time.Time)
}

type eventQueue []simEvent

func (s eventQueue) Len() int           { return len(s) }
func (s eventQueue) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s eventQueue) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *eventQueue) Push(x any)        { *s = append(*s, x.(simEvent)) }
func (s *eventQueue) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// fleet simulates hosts that share engines and receive their announcements with
// a delay.
type fleet struct {
	events            eventQueue
	random            *rand.Rand
	engines           map[string]*engine
	registries        [fleetHosts]*registry.Registry
	balancers         [fleetHosts]balancer
	timesToFirstToken []time.Duration
	promptBlocks      int
	uncachedBlocks    int
}

func newFleet(newBalancer func(zone string) balancer, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 2)), engines: map[string]*engine{}}
	for i := range fleetHosts {
		f.registries[i] = registry.New(0)
		f.balancers[i] = newBalancer(zoneOf(i))
	}
	for i := range fleetEngines {
		e := &engine{slowdown: 1, announcement: announce.Announcement{
			ID: fmt.Sprint("engine-", i), Incarnation: 1, Zone: zoneOf(i), Address: "http://127.0.0.1:1", Kind: announce.KindEngine,
			Services: []announce.ServiceOffer{{Name: "m"}}, Capacity: fleetCapacity, State: announce.StateServing,
		}}
		f.engines[e.announcement.ID] = e
		f.schedule(start.Add(time.Duration(i)*announceInterval/fleetEngines), func(now time.Time) { f.announce(e, now) })
	}
	return f
}

func zoneOf(i int) string { return fmt.Sprint("zone-", i%fleetZones) }

func (f *fleet) schedule(when time.Time, run func(now time.Time)) {
	heap.Push(&f.events, simEvent{when, run})
}

func (f *fleet) announce(e *engine, now time.Time) {
	e.announcement.Sequence++
	a := e.announcement
	a.InFlight, a.Queued, a.CacheEvents = e.running, len(e.queue), e.events
	e.events = nil
	f.schedule(now.Add(announceDelay), func(now time.Time) {
		for i := range fleetHosts {
			f.registries[i].Apply(a, now)
			if r, ok := f.balancers[i].(*Router); ok {
				r.Observe(a, now)
			}
		}
	})
	f.schedule(now.Add(announceInterval), func(now time.Time) { f.announce(e, now) })
}

func (f *fleet) arrive(now time.Time) {
	systemPrompt := uint64(f.random.IntN(systemPrompts))
	if f.random.IntN(2) == 0 {
		systemPrompt %= 3
	}
	prefix := make([]uint64, systemPromptBlocks+2)
	for i := range prefix {
		prefix[i] = systemPrompt<<32 | uint64(i)
	}
	prefix[systemPromptBlocks], prefix[systemPromptBlocks+1] = f.random.Uint64(), f.random.Uint64()
	host := f.random.IntN(fleetHosts)
	req := &Request{Service: "m", Organisation: "o", Allowed: func(string, string) bool { return true }, Prefix: prefix}
	entry, err := f.balancers[host].Choose(req, f.registries[host].Snapshot(), now, f.random)
	if err != nil {
		return
	}
	entry.Claim(false)
	e := f.engines[entry.ID]
	e.queue = append(e.queue, &job{host, entry, prefix, now})
	f.start(e, now)
}

func (f *fleet) start(e *engine, now time.Time) {
	for e.running < fleetCapacity && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		uncached := e.prefill(j.prefix)
		f.promptBlocks += len(j.prefix)
		f.uncachedBlocks += uncached
		prefill := time.Duration(uncached*e.slowdown) * prefillTimePerBlock
		first := now.Add(prefill).Sub(j.arrived)
		f.timesToFirstToken = append(f.timesToFirstToken, first)
		decode := time.Duration(f.random.ExpFloat64() * float64(meanDecodeTime) * float64(e.slowdown))
		f.schedule(now.Add(prefill+decode), func(now time.Time) {
			e.running--
			j.entry.Release(false)
			if r, ok := f.balancers[j.host].(*Router); ok {
				r.Report(j.entry, Result{Service: "m", TimeToFirstByte: first}, now)
			}
			f.start(e, now)
		})
	}
}

// run simulates for length, at an arrival rate of load times the decode capacity
// of the fleet.
func (f *fleet) run(load float64, length time.Duration) {
	perSecond := load * fleetEngines * fleetCapacity / meanDecodeTime.Seconds()
	for arrival := 2.0; arrival < length.Seconds(); arrival += f.random.ExpFloat64() / perSecond {
		f.schedule(start.Add(time.Duration(arrival*float64(time.Second))), f.arrive)
	}
	end := start.Add(length)
	for f.events.Len() > 0 {
		event := heap.Pop(&f.events).(simEvent)
		if event.at.After(end) {
			return
		}
		event.run(event.at)
	}
}

func (f *fleet) hitRatio() float64 { return 1 - float64(f.uncachedBlocks)/float64(f.promptBlocks) }

func (f *fleet) p95() time.Duration {
	slices.Sort(f.timesToFirstToken)
	return f.timesToFirstToken[len(f.timesToFirstToken)*95/100].Round(time.Millisecond)
}

func (f *fleet) mean() time.Duration {
	var sum time.Duration
	for _, d := range f.timesToFirstToken {
		sum += d
	}
	return (sum / time.Duration(len(f.timesToFirstToken))).Round(time.Millisecond)
}

func newZoneRouter(zone string) balancer {
	return New(Settings{Zone: zone, Hosts: func() int { return fleetHosts }})
}
func newRoundRobin(string) balancer { return &roundRobin{} }
func slowOneEngine(f *fleet)        { f.engines["engine-3"].slowdown = 5 }
func noChange(*fleet)               {}

func TestRouterOutperformsRoundRobin(t *testing.T) {
	tests := []struct {
		name   string
		load   float64
		change func(f *fleet)
	}{
		{"calm", 0.5, noChange},
		{"busy", 0.7, noChange},
		{"one slow engine", 0.5, slowOneEngine},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			router, baseline := newFleet(newZoneRouter, 1), newFleet(newRoundRobin, 1)
			for _, f := range []*fleet{router, baseline} {
				test.change(f)
				f.run(test.load, 2*time.Minute)
			}
			t.Logf("prefix hits %.1f %% (round robin %.1f %%), first token mean %v (%v), p95 %v (%v)",
				100*router.hitRatio(), 100*baseline.hitRatio(), router.mean(), baseline.mean(), router.p95(), baseline.p95())
			g.Expect(router.hitRatio()).To(BeNumerically(">", baseline.hitRatio()))
			g.Expect(router.mean()).To(BeNumerically("<", baseline.mean()))
			g.Expect(router.p95()).To(BeNumerically("<=", baseline.p95()))
		})
	}
}
