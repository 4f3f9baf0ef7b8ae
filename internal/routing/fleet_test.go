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

// chooser is what a simulated host asks: the router or the baseline.
type chooser interface {
	Choose(req *Request, snap *registry.Snapshot, now time.Time, random Random) (*registry.Entry, error)
}

// Sizes of the simulated fleet: those of the brief, with a long house style per organisation.
const (
	fleetHosts     = 8
	fleetEngines   = 10
	fleetCapacity  = 8
	fleetZones     = 4
	styles         = 30
	styleBlocks    = 40
	cacheBlocks    = 400
	blockTime      = 10 * time.Millisecond
	decodeTime     = time.Second
	reportInterval = time.Second
	reportLag      = 200 * time.Millisecond
	gapEvery       = 10
)

// engine is a small fake of a model engine: places, a queue and a prefix cache.
type engine struct {
	a       announce.Announcement
	running int
	queue   []*job
	cache   []uint64
	events  []announce.CacheEvent
	number  uint64
	// slow multiplies the times of the engine.
	slow int
}

type job struct {
	host    int
	entry   *registry.Entry
	prefix  []uint64
	arrived time.Time
}

// use returns the blocks of prefix that are not cached, and caches them.
func (e *engine) use(prefix []uint64) int {
	missing := 0
	for _, p := range prefix {
		i := slices.Index(e.cache, p)
		if i >= 0 {
			e.cache = slices.Delete(e.cache, i, i+1)
		} else {
			missing++
			e.publish(announce.CacheEvent{Prefix: p})
		}
		e.cache = append(e.cache, p)
	}
	for len(e.cache) > cacheBlocks {
		e.publish(announce.CacheEvent{Prefix: e.cache[0], Evicted: true})
		e.cache = e.cache[1:]
	}
	return missing
}

func (e *engine) publish(event announce.CacheEvent) {
	e.number++
	event.Number = e.number
	if e.number%gapEvery != 0 {
		e.events = append(e.events, event)
	}
}

// step is one event of the simulation.
type step struct {
	at time.Time
	do func(now time.Time)
}

type steps []step

func (s steps) Len() int           { return len(s) }
func (s steps) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s steps) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)        { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// fleet is hosts that share engines and see them by late reports.
type fleet struct {
	steps      steps
	random     *rand.Rand
	engines    map[string]*engine
	registries [fleetHosts]*registry.Registry
	choosers   [fleetHosts]chooser
	firstToken []time.Duration
	blocks     int
	missing    int
}

func newFleet(newChooser func(zone string) chooser, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 2)), engines: map[string]*engine{}}
	for i := range fleetHosts {
		f.registries[i] = registry.New(0)
		f.choosers[i] = newChooser(zoneOf(i))
	}
	for i := range fleetEngines {
		e := &engine{slow: 1, a: announce.Announcement{
			ID: fmt.Sprint("engine-", i), Incarnation: 1, Zone: zoneOf(i), Address: "http://127.0.0.1:1", Kind: announce.KindEngine,
			Services: []announce.ServiceOffer{{Name: "m"}}, Capacity: fleetCapacity, State: announce.StateServing,
		}}
		f.engines[e.a.ID] = e
		f.at(start.Add(time.Duration(i)*reportInterval/fleetEngines), func(now time.Time) { f.report(e, now) })
	}
	return f
}

func zoneOf(i int) string { return fmt.Sprint("zone-", i%fleetZones) }

func (f *fleet) at(when time.Time, do func(now time.Time)) { heap.Push(&f.steps, step{when, do}) }

func (f *fleet) report(e *engine, now time.Time) {
	e.a.Sequence++
	a := e.a
	a.InFlight, a.Queued, a.CacheEvents = e.running, len(e.queue), e.events
	e.events = nil
	f.at(now.Add(reportLag), func(now time.Time) {
		for i := range fleetHosts {
			f.registries[i].Apply(a, now)
			if r, ok := f.choosers[i].(*Router); ok {
				r.Observe(a, now)
			}
		}
	})
	f.at(now.Add(reportInterval), func(now time.Time) { f.report(e, now) })
}

func (f *fleet) arrive(now time.Time) {
	style := uint64(f.random.IntN(styles))
	if f.random.IntN(2) == 0 {
		style %= 3
	}
	prefix := make([]uint64, styleBlocks+2)
	for i := range prefix {
		prefix[i] = style<<32 | uint64(i)
	}
	prefix[styleBlocks], prefix[styleBlocks+1] = f.random.Uint64(), f.random.Uint64()
	host := f.random.IntN(fleetHosts)
	req := &Request{Service: "m", Organisation: "o", Allowed: func(string, string) bool { return true }, Prefix: prefix}
	entry, err := f.choosers[host].Choose(req, f.registries[host].Snapshot(), now, f.random)
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
		missing := e.use(j.prefix)
		f.blocks += len(j.prefix)
		f.missing += missing
		prefill := time.Duration(missing*e.slow) * blockTime
		first := now.Add(prefill).Sub(j.arrived)
		f.firstToken = append(f.firstToken, first)
		decode := time.Duration(f.random.ExpFloat64() * float64(decodeTime) * float64(e.slow))
		f.at(now.Add(prefill+decode), func(now time.Time) {
			e.running--
			j.entry.Release(false)
			if r, ok := f.choosers[j.host].(*Router); ok {
				r.Report(j.entry, Result{Service: "m", FirstByte: first}, now)
			}
			f.start(e, now)
		})
	}
}

// run offers load times the capacity without prefill for length.
func (f *fleet) run(load float64, length time.Duration) {
	perSecond := load * fleetEngines * fleetCapacity / decodeTime.Seconds()
	for at := 2.0; at < length.Seconds(); at += f.random.ExpFloat64() / perSecond {
		f.at(start.Add(time.Duration(at*float64(time.Second))), f.arrive)
	}
	end := start.Add(length)
	for f.steps.Len() > 0 {
		s := heap.Pop(&f.steps).(step)
		if s.at.After(end) {
			return
		}
		s.do(s.at)
	}
}

func (f *fleet) hits() float64 { return 1 - float64(f.missing)/float64(f.blocks) }

func (f *fleet) p95() time.Duration {
	slices.Sort(f.firstToken)
	return f.firstToken[len(f.firstToken)*95/100].Round(time.Millisecond)
}

func (f *fleet) mean() time.Duration {
	var sum time.Duration
	for _, d := range f.firstToken {
		sum += d
	}
	return (sum / time.Duration(len(f.firstToken))).Round(time.Millisecond)
}

func newRouterIn(zone string) chooser {
	return New(Settings{Zone: zone, Hosts: func() int { return fleetHosts }})
}
func newRoundRobinIn(string) chooser { return &roundRobin{} }
func slowEngine(f *fleet)            { f.engines["engine-3"].slow = 5 }
func allEngines(*fleet)              {}

func TestRouterAgainstRoundRobin(t *testing.T) {
	tests := []struct {
		name   string
		load   float64
		change func(f *fleet)
	}{
		{"calm", 0.5, allEngines},
		{"busy", 0.7, allEngines},
		{"one slow engine", 0.5, slowEngine},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			ours, naive := newFleet(newRouterIn, 1), newFleet(newRoundRobinIn, 1)
			for _, f := range []*fleet{ours, naive} {
				test.change(f)
				f.run(test.load, 2*time.Minute)
			}
			t.Logf("prefix hits %.1f %% (round robin %.1f %%), first token mean %v (%v), p95 %v (%v)",
				100*ours.hits(), 100*naive.hits(), ours.mean(), naive.mean(), ours.p95(), naive.p95())
			g.Expect(ours.hits()).To(BeNumerically(">", naive.hits()))
			g.Expect(ours.mean()).To(BeNumerically("<", naive.mean()))
			g.Expect(ours.p95()).To(BeNumerically("<=", naive.p95()))
		})
	}
}
