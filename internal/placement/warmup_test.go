package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/notice"
	"github.com/godwitbend/godwitbend/internal/presence"
)

const (
	coldStep  = 20 * time.Millisecond
	coldBurst = 5
	// coldDelay is the most by which the times differ that requests take to the upstream.
	coldDelay = 30 * time.Millisecond
)

// coldFleet plays hosts that send to one cold upstream whenever it takes a request, while hosts come
// and go and a third of them loses contact with the control group.
type coldFleet struct {
	rng      *rand.Rand
	now      time.Time
	rate     float64
	listed   []string // the control group's list
	hosts    []*coldHost
	started  int
	cold     presence.Coldness
	down     bool // the upstream accepts no connections
	arrivals []time.Time
	delayed  []delayedCall
}

type coldHost struct {
	address     string
	pool        *Pool
	partitioned bool
}

type delayedCall struct {
	at  time.Time
	run func()
}

func newColdFleet(hosts int, rate float64, seed uint64) *coldFleet {
	f := &coldFleet{rng: rand.New(rand.NewPCG(seed, 9)), now: startTime, rate: rate, cold: presence.Coldness{Sequence: 1}}
	for range hosts {
		f.listed = append(f.listed, f.nextAddress())
	}
	for _, address := range f.listed {
		f.start(address)
	}
	return f
}

func (f *coldFleet) nextAddress() string {
	f.started++
	return fmt.Sprintf("10.%d.%d.%d:1", f.rng.IntN(250), f.started/250, f.started%250)
}

func coldRecord(cold presence.Coldness) presence.Record {
	return presence.Record{Cold: cold, Upstream: presence.Upstream{
		ID: "u0", Service: "engine", Zone: "a", Slots: 64, State: presence.Ready, StartedMS: 1,
	}}
}

func (f *coldFleet) start(address string) {
	p := NewPool("a")
	p.clock = func() time.Time { return f.now }
	p.SetWarmUpOptions(WarmUpOptions{Burst: coldBurst})
	p.SetHosts(address, f.listed)
	p.Update([]presence.Record{coldRecord(f.cold)})
	p.SetWarmUps([]catalog.Service{{Name: "engine", WarmUp: catalog.WarmUp{Rate: f.rate, Duration: time.Minute}}}, f.now)
	f.hosts = append(f.hosts, &coldHost{address: address, pool: p})
}

// announce tells the hosts of the list, each after up to a second, except those without contact.
func (f *coldFleet) announce() {
	list := slices.Clone(f.listed)
	for _, h := range f.hosts {
		f.after(time.Duration(f.rng.Int64N(int64(time.Second))), func() {
			if !h.partitioned {
				h.pool.SetHosts(h.address, append(slices.Clone(list), h.address))
			}
		})
	}
}

func (f *coldFleet) after(d time.Duration, run func()) {
	f.delayed = append(f.delayed, delayedCall{f.now.Add(d), run})
}

func (f *coldFleet) play(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(coldStep) {
		due := f.delayed
		f.delayed = nil
		for _, call := range due {
			if call.at.After(f.now) {
				f.delayed = append(f.delayed, call)
				continue
			}
			call.run()
		}
		for _, h := range f.hosts {
			f.send(h)
		}
	}
}

func (f *coldFleet) send(h *coldHost) {
	a, refused := h.pool.Choose(&Request{Service: "engine"}, f.now)
	if refused != nil {
		return
	}
	if f.down {
		h.pool.Observe(a, Unreachable, f.now)
		h.pool.Release(a)
		return
	}
	if h.pool.Takes(a, f.now) {
		h.pool.Observe(a, Served, f.now)
		f.arrivals = append(f.arrivals, f.now.Add(time.Duration(f.rng.Int64N(int64(coldDelay)))))
	}
	h.pool.Release(a)
}

// change lets a host join, leave or end without notice.
func (f *coldFleet) change() {
	if f.rng.IntN(2) == 0 {
		address := f.nextAddress()
		f.listed = append(f.listed, address)
		f.start(address)
		f.announce()
		return
	}
	i := f.rng.IntN(len(f.hosts))
	gone := f.hosts[i]
	f.hosts = slices.Delete(f.hosts, i, i+1)
	noticed := time.Duration(f.rng.IntN(2)) * 3 * time.Second
	f.after(noticed, func() {
		f.listed = slices.DeleteFunc(f.listed, func(h string) bool { return h == gone.address })
		f.announce()
	})
}

// partition cuts a third of the hosts off. The control group drops them from its list.
func (f *coldFleet) partition() {
	for i, h := range f.hosts {
		h.partitioned = i%3 == 0
	}
	f.after(3*time.Second, func() {
		for _, h := range f.hosts {
			if h.partitioned {
				f.listed = slices.DeleteFunc(f.listed, func(a string) bool { return a == h.address })
			}
		}
		f.announce()
	})
}

// mostInASecond returns the largest number of times in any second.
func mostInASecond(times []time.Time) (most int) {
	times = slices.Clone(times)
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, t := range times {
		for t.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// used returns the part of the rate that was used since a time. What two sets of hosts use beyond the
// rate makes up for nothing.
func (f *coldFleet) used(since time.Time) float64 {
	const span = 3 * time.Second
	used, spans := 0.0, 0
	for from := since; !from.Add(span).After(f.now); from = from.Add(span) {
		n := 0
		for _, t := range f.arrivals {
			if !t.Before(from) && t.Before(from.Add(span)) {
				n++
			}
		}
		used += min(float64(n)/(f.rate*span.Seconds()), 1)
		spans++
	}
	return used / float64(spans)
}

// Guards against exceeding what a cold upstream takes, as the upstream fails then, while hosts use
// different lists of each other, and against leaving it idle.
func TestHostsTogetherKeepToTheWarmUpOfAColdUpstream(t *testing.T) {
	seeds, hosts := uint64(200), 300
	if testing.Short() {
		seeds, hosts = 20, 60
	}
	rates := []float64{6.7, 6.7, 3, 1, 10, 40}
	used := make([]float64, seeds)
	most := make([]int, seeds)
	t.Run("seeds", func(t *testing.T) {
		for seed := range seeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				rate := rates[seed%uint64(len(rates))]
				f := newColdFleet(hosts, rate, seed)
				f.now = f.now.Add(time.Minute)
				f.cold = presence.NewColdness(time.Minute, 2, f.now)
				for _, h := range f.hosts {
					h.pool.Update([]presence.Record{coldRecord(f.cold)})
				}
				from := f.now
				f.play(3 * time.Second)
				f.partition()
				for range 8 {
					f.play(time.Duration(f.rng.Int64N(int64(3 * time.Second))))
					f.change()
				}
				used[seed], most[seed] = f.used(from), mostInASecond(f.arrivals)
				NewWithT(t).Expect(float64(most[seed])).To(BeNumerically("<=", warmUpTolerance*rate+coldBurst), "seed %d, rate %v", seed, rate)
			})
		}
	})
	g := NewWithT(t)
	for i, rate := range rates {
		sum, n, least, largest := 0.0, 0, 1.0, 0
		for seed := i; seed < int(seeds); seed += len(rates) {
			sum, n, least, largest = sum+used[seed], n+1, min(least, used[seed]), max(largest, most[seed])
		}
		t.Logf("rate %v: mean use %.3f, least %.3f, at most %d of %.1f in a second", rate, sum/float64(n), least, largest, warmUpTolerance*rate+coldBurst)
		// Above 10 a second, half of what the upstream takes is less than its rate.
		if rate <= 10 {
			g.Expect(sum/float64(n)).To(BeNumerically(">=", 0.9), "rate %v", rate)
		}
	}
}

// Guards against hosts that all try an upstream again when it recovers from a failure, which nothing has
// reported.
func TestHostsThatLostAnUpstreamKeepToItsWarmUpWhenItRecovers(t *testing.T) {
	for seed := range uint64(20) {
		f := newColdFleet(67, 6.7, seed)
		f.now = f.now.Add(time.Minute)
		f.down = true
		f.play(2 * time.Second)
		f.down, f.arrivals = false, nil
		from := f.now
		f.play(10 * time.Second)
		g := NewWithT(t)
		g.Expect(float64(mostInASecond(f.arrivals))).To(BeNumerically("<=", warmUpTolerance*f.rate+coldBurst), "seed %d", seed)
		g.Expect(f.used(from)).To(BeNumerically(">=", 0.75), "seed %d", seed)
	}
}

// Guards against refusing requests for which an ejected upstream would be tried if no other were cold.
func TestEjectedUpstreamIsTheLastResortAlsoWhileAnotherIsCold(t *testing.T) {
	g := NewWithT(t)
	p, now := newColdPool(g, 2)
	p.upstreams["u1"].ejectedUntil = now.Add(time.Second)
	p.Update([]presence.Record{report("u0", presence.NewColdness(5*time.Second, 2, *now))})
	g.Expect(sendAll(p, *now, 10)["u1"]).To(BeNumerically(">=", 8))
}

// newColdPool returns a pool with a number of upstreams of a service that warms up, none cold.
func newColdPool(g *WithT, upstreams int) (*Pool, *time.Time) {
	p, now := NewPool("a"), startTime
	p.clock = func() time.Time { return now }
	p.SetWarmUpOptions(WarmUpOptions{Burst: coldBurst})
	var records []presence.Record
	for i := range upstreams {
		r := coldRecord(presence.Coldness{Sequence: 1})
		r.ID, r.Zone = fmt.Sprintf("u%d", i), string(rune('a'+i%4))
		records = append(records, r)
	}
	p.Update(records)
	p.SetWarmUps([]catalog.Service{{Name: "engine", WarmUp: catalog.WarmUp{Rate: 6.7, Duration: 20 * time.Second}}}, now)
	g.Expect(p.services["engine"]).To(HaveLen(upstreams))
	return p, &now
}

// sendAll sends requests until one is refused, and returns how many went to each upstream.
func sendAll(p *Pool, now time.Time, most int) map[string]int {
	sent := map[string]int{}
	for range most {
		a, refused := p.Choose(&Request{Service: "engine"}, now)
		if refused != nil {
			return sent
		}
		if p.Takes(a, now) {
			sent[a.ID]++
		}
	}
	return sent
}

func report(id string, cold presence.Coldness) presence.Record {
	r := coldRecord(cold)
	r.ID = id
	return r
}

func TestOtherUpstreamsServeWhileOneIsCold(t *testing.T) {
	g := NewWithT(t)
	p, now := newColdPool(g, 2)
	p.Update([]presence.Record{report("u0", presence.NewColdness(5*time.Second, 2, *now))})
	sent := sendAll(p, *now, 100)
	g.Expect(sent["u0"]).To(BeNumerically("<=", 2))
	g.Expect(sent["u0"] + sent["u1"]).To(Equal(100))
}

func TestRequestIsRefusedWithADelayIfAllUpstreamsAreCold(t *testing.T) {
	g := NewWithT(t)
	p, now := newColdPool(g, 1)
	p.Update([]presence.Record{report("u0", presence.NewColdness(5*time.Second, 2, *now))})
	sendAll(p, *now, 100)
	_, refused := p.Choose(&Request{Service: "engine"}, *now)
	g.Expect(refused.Reason).To(Equal(AllLimited))
	g.Expect(refused.WarmUp).To(BeTrue())
	g.Expect(refused.RetryAfter).To(BeNumerically("<", 500*time.Millisecond))
	_, refused = p.Choose(&Request{Service: "engine"}, now.Add(refused.RetryAfter))
	g.Expect(refused).To(BeNil())
}

// Guards against requests that wait for a connection and are sent all at once when it is made.
func TestColdUpstreamGetsNoRequestsAssignedBeforeItBecameCold(t *testing.T) {
	g := NewWithT(t)
	p, now := newColdPool(g, 1)
	var assigned []*Assignment
	for range 50 {
		a, refused := p.Choose(&Request{Service: "engine"}, *now)
		g.Expect(refused).To(BeNil())
		assigned = append(assigned, a)
	}
	p.Update([]presence.Record{report("u0", presence.NewColdness(5*time.Second, 2, *now))})
	sent := 0
	for _, a := range assigned {
		if p.Takes(a, *now) {
			sent++
		}
		p.Release(a)
	}
	g.Expect(sent).To(BeNumerically("<=", 7))
	g.Expect(p.upstreams["u0"].warmUp.pending).To(BeZero())
}

// Guards against a reservation that is never returned, as the upstream became cold again meanwhile.
func TestReservationEndsWithTheWarmUpThatItWasTakenFrom(t *testing.T) {
	g := NewWithT(t)
	p, now := newColdPool(g, 1)
	p.Update([]presence.Record{report("u0", presence.NewColdness(time.Second, 2, *now))})
	a, refused := p.Choose(&Request{Service: "engine"}, *now)
	g.Expect(refused).To(BeNil())
	*now = now.Add(time.Second + warmUpRamp/2)
	p.ApplyControlLoads(nil)
	p.Update([]presence.Record{report("u0", presence.NewColdness(time.Minute, 3, *now))})
	g.Expect(p.upstreams["u0"].warmUp.pending).To(BeZero())
	g.Expect(p.Takes(a, *now)).To(BeTrue())
	p.Release(a)
	g.Expect(p.upstreams["u0"].warmUp.pending).To(BeZero())
	g.Expect(p.upstreams["u0"].warmUp.sent).To(HaveLen(1))
}

func TestColdUpstreamGetsNothingFromHostsThatDoNotShareItsLimit(t *testing.T) {
	g := NewWithT(t)
	p, now := newColdPool(g, 2)
	hosts := []string{"h0", "h1", "h2", "h3"}
	own := slices.MinFunc(hosts, func(a, b string) int {
		return int(int64(rendezvousWeightOfHost("u0", a)>>1) - int64(rendezvousWeightOfHost("u0", b)>>1))
	})
	p.SetHosts(own, hosts)
	*now = now.Add(time.Minute)
	p.Update([]presence.Record{report("u0", presence.NewColdness(5*time.Second, 2, *now))})
	g.Expect(sendAll(p, *now, 100)).To(Equal(map[string]int{"u1": 100}))
}

// Guards against a limit for upstreams that were ready at the first start of the whole fleet.
func TestUpstreamsThatReportNoColdTimeAreNotLimited(t *testing.T) {
	g := NewWithT(t)
	p, now := newColdPool(g, 1)
	g.Expect(sendAll(p, *now, 100)["u0"]).To(Equal(100))
	p.Update([]presence.Record{report("plain", presence.NewColdness(time.Minute, 2, *now))})
	g.Expect(p.upstreams["u0"].warmUp).To(BeNil())
}

func TestColdTimeOfAServiceWithoutWarmUpIsIgnored(t *testing.T) {
	g := NewWithT(t)
	p, now := newColdPool(g, 1)
	p.SetWarmUps([]catalog.Service{{Name: "engine"}}, *now)
	p.Update([]presence.Record{report("u0", presence.NewColdness(time.Minute, 2, *now))})
	evacuateAndReturn(p, "a", *now)
	g.Expect(sendAll(p, *now, 100)["u0"]).To(Equal(100))
}

// evacuateAndReturn has a zone evacuated and used again.
func evacuateAndReturn(p *Pool, zone string, now time.Time) {
	p.ApplyEvacuations(1, []string{zone}, now)
	p.ApplyEvacuations(2, nil, now)
}

func TestColdnessIsInferred(t *testing.T) {
	for name, make := range map[ColdReason]func(p *Pool, now time.Time){
		ColdStarted: func(p *Pool, _ time.Time) {
			r := coldRecord(presence.Coldness{})
			r.StartedMS++
			p.Update([]presence.Record{r})
		},
		ColdLost: func(p *Pool, now time.Time) {
			a, _ := p.Choose(&Request{Service: "engine"}, now)
			p.Observe(a, Unreachable, now)
			p.Observe(a, Served, now)
			p.Release(a)
		},
		ColdZoneReturned: func(p *Pool, now time.Time) { evacuateAndReturn(p, "a", now) },
	} {
		t.Run(string(name), func(t *testing.T) {
			g := NewWithT(t)
			p, now := newColdPool(g, 1)
			events := map[ColdReason]int{}
			warmingUp := 0
			p.SetWarmUpOptions(WarmUpOptions{Burst: coldBurst, Observe: func(e WarmUpEvent) {
				events[e.Inferred]++
				warmingUp = e.WarmingUp
			}})
			*now = now.Add(time.Second)
			make(p, *now)
			g.Expect(p.upstreams["u0"].warmUp.reason).To(Equal(name))
			g.Expect(events).To(Equal(map[ColdReason]int{name: 1}))
			g.Expect(warmingUp).To(Equal(1))
			g.Expect(sendAll(p, *now, 100)["u0"]).To(BeNumerically("<=", 2))
			*now = now.Add(20*time.Second - time.Millisecond)
			g.Expect(sendAll(p, *now, 100)["u0"]).To(BeNumerically("<=", 2))
			*now = now.Add(warmUpRamp + time.Millisecond)
			g.Expect(sendAll(p, *now, 100)["u0"]).To(Equal(100))
			g.Expect(warmingUp).To(BeZero())
		})
	}
}

func TestLaterStatementEndsAnInferredColdState(t *testing.T) {
	g := NewWithT(t)
	p, now := newColdPool(g, 1)
	a, _ := p.Choose(&Request{Service: "engine"}, *now)
	*now = now.Add(time.Second)
	evacuateAndReturn(p, "a", *now)
	*now = now.Add(time.Second)
	p.Update([]presence.Record{report("u0", presence.Coldness{Sequence: 1})})
	g.Expect(p.upstreams["u0"].warmUp.ended).To(BeFalse(), "the same report once more")
	p.ObserveNotice(a, notice.Notice{ColdStated: true}, "r", *now)
	g.Expect(p.upstreams["u0"].warmUp.ended).To(BeTrue())
	*now = now.Add(time.Second)
	p.ObserveNotice(a, notice.Notice{ColdStated: true, ColdLeft: 5 * time.Second}, "r", *now)
	g.Expect(p.upstreams["u0"].warmUp.reason).To(Equal(ColdAnswered), "it became cold again")
	*now = now.Add(time.Second)
	p.Update([]presence.Record{report("u0", presence.NewColdness(0, 5, *now))})
	g.Expect(p.upstreams["u0"].warmUp.ended).To(BeTrue(), "a later report")
}

func TestNewProcessInheritsNoColdness(t *testing.T) {
	g := NewWithT(t)
	p, now := newColdPool(g, 1)
	p.Update([]presence.Record{report("u0", presence.NewColdness(time.Minute, 2, *now))})
	next := report("u0", presence.Coldness{Sequence: 1})
	next.StartedMS++
	p.Update([]presence.Record{next})
	g.Expect(p.upstreams["u0"].warmUp).To(BeNil())
	g.Expect(p.warmingUp).To(BeZero())
}

// Guards against a limit for the whole time of a warm-up, or without end at hosts that may not send to
// the upstream, although its reports say that it is not cold.
func TestReportsAfterALossEndAnInferredColdState(t *testing.T) {
	for name, regain := range map[string]bool{"regained": true, "not regained": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, now := newColdPool(g, 1)
			a, _ := p.Choose(&Request{Service: "engine"}, *now)
			*now = now.Add(time.Second)
			p.Observe(a, Failed, *now)
			if regain {
				p.Observe(a, Served, *now)
			}
			p.Release(a)
			*now = now.Add(presence.HeartbeatTimeout + maxReportDelay)
			p.ApplyControlLoads(nil)
			g.Expect(p.upstreams["u0"].warmUp.ended).To(BeFalse(), "the latest report may be older than the loss")
			*now = now.Add(time.Millisecond)
			p.upstreams["u0"].heartbeatOverdue = true
			p.ApplyControlLoads(nil)
			g.Expect(p.upstreams["u0"].warmUp.ended).To(BeFalse(), "its reports are overdue")
			p.upstreams["u0"].heartbeatOverdue = false
			p.ApplyControlLoads(nil)
			g.Expect(p.upstreams["u0"].warmUp.ended).To(BeTrue())
		})
	}
}

func TestLossOfAllLinksOfAHostMakesNoUpstreamCold(t *testing.T) {
	g := NewWithT(t)
	p, now := newColdPool(g, 1)
	a, _ := p.Choose(&Request{Service: "engine"}, *now)
	p.Observe(a, Unreachable, *now)
	g.Expect(p.upstreams["u0"].warmUp.reason).To(Equal(ColdLost))
	p.ForgiveFailures()
	g.Expect(p.upstreams["u0"].warmUp.ended).To(BeTrue())
}

// Guards against a limit without end if control hosts of an earlier build pass no cold times on.
func TestLostUpstreamWithUnknownColdTimeIsNotColdForEver(t *testing.T) {
	g := NewWithT(t)
	p, now := newColdPool(g, 1)
	next := report("u0", presence.Coldness{})
	next.StartedMS++
	p.Update([]presence.Record{next})
	a, _ := p.Choose(&Request{Service: "engine"}, *now)
	p.Observe(a, Unreachable, *now)
	*now = now.Add(2 * presence.HeartbeatTimeout)
	p.ApplyControlLoads(nil)
	g.Expect(p.upstreams["u0"].warmUp.until).To(Equal(now.Add(20 * time.Second)))
}

// Guards against a thundering herd at the end of a warm-up.
func TestHostSendsOneMoreRequestAtMostRightAfterAWarmUp(t *testing.T) {
	g := NewWithT(t)
	p, now := newColdPool(g, 1)
	p.Update([]presence.Record{report("u0", presence.NewColdness(time.Second, 2, *now))})
	inFlight := sendAll(p, *now, 100)["u0"]
	*now = now.Add(time.Second)
	g.Expect(sendAll(p, *now, 100)["u0"]).To(Equal(1))
	g.Expect(p.upstreams["u0"].own.InFlight).To(Equal(inFlight + 1))
	*now = now.Add(warmUpRamp)
	g.Expect(sendAll(p, *now, 100)["u0"]).To(Equal(100))
}

// Guards against taking over a share of a limit while another host still uses it.
func TestHostTakesOverTheShareOfAColdUpstreamAfterAnEarlierListIsOutOfUse(t *testing.T) {
	g := NewWithT(t)
	p, now := newColdPool(g, 1)
	hosts := []string{"h0", "h1"}
	first, second := hosts[0], hosts[1]
	if rendezvousWeightOfHost("u0", second) > rendezvousWeightOfHost("u0", first) {
		first, second = second, first
	}
	p.SetHosts(second, hosts)
	*now = now.Add(time.Minute)
	p.Update([]presence.Record{report("u0", presence.NewColdness(time.Minute, 2, *now))})
	g.Expect(sendAll(p, *now, 10)).To(BeEmpty())
	p.SetHosts(second, []string{second})
	*now = now.Add(handoverTime - time.Millisecond)
	g.Expect(sendAll(p, *now, 10)).To(BeEmpty())
	*now = now.Add(time.Millisecond)
	g.Expect(sendAll(p, *now, 10)).NotTo(BeEmpty())
}

func TestWarmUpSharesOfTwoSetsOfHostsStayWithinTheBound(t *testing.T) {
	g := NewWithT(t)
	for _, rate := range []float64{0, 0.5, 1, 2, 3, 5, 6.7, 10, 12, 40, 1000} {
		for _, burst := range []float64{1, 3, 5, 20} {
			for _, hosts := range []int{0, 1, 2, 9, 300} {
				var p pacer
				p.setShare(rate, burst, hosts)
				g.Expect(p.users).To(BeNumerically("<=", max(min(int(burst), hosts), 1)))
				if allowed := int(warmUpTolerance*rate + burst); allowed >= warmUpSets {
					g.Expect(warmUpSets*p.users*p.most).To(BeNumerically("<=", allowed), "%v a second, burst %v, %d hosts", rate, burst, hosts)
				}
			}
		}
	}
}
