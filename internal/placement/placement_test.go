package placement

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/presence"
)

var start = time.Unix(1_000_000, 0)

func poolOf(g *WithT, zone string, engines int) *Pool {
	p := NewPool(zone)
	var records []presence.Record
	for i := range engines {
		records = append(records, presence.Record{Upstream: presence.Upstream{
			ID: fmt.Sprintf("u%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Service: "engine",
			Zone: string(rune('a' + i%4)), State: presence.Ready, StartedMS: 1, Sequence: 1, Slots: 6,
		}})
	}
	p.Update(records)
	g.Expect(p.services["engine"]).To(HaveLen(engines))
	return p
}

func prompt(part uint64) *Request {
	return &Request{
		Service: "engine", Tokens: 17_000, PartTokens: 13_000, Part: part, HasPart: true, Output: 100,
		Transfers: true, Memory: 470_000, Objective: 800 * time.Millisecond,
	}
}

func choose(g *WithT, p *Pool, r *Request) *Place {
	l, refused := p.Choose(r, start)
	g.Expect(refused).To(BeNil())
	return l
}

func TestHostsAgreeOnTheHomeOfAPart(t *testing.T) {
	g := NewWithT(t)
	homes := map[string]bool{}
	for part := range uint64(40) {
		first := choose(g, poolOf(g, "a", 9), prompt(part))
		second := choose(g, poolOf(g, "c", 9), prompt(part))
		g.Expect(second.ID).To(Equal(first.ID))
		g.Expect(first.Source).To(BeEmpty())
		homes[first.ID] = true
	}
	g.Expect(len(homes)).To(BeNumerically(">=", 7), "parts spread over the engines")
}

func TestBusyHomeIsPassedOverAndThePartIsFetched(t *testing.T) {
	g := NewWithT(t)
	p := poolOf(g, "a", 9)
	home := choose(g, p, prompt(7))
	p.Begin(home, start)
	p.Release(home)
	for range 2 {
		g.Expect(choose(g, p, prompt(7)).ID).To(Equal(home.ID))
	}
	for {
		l := choose(g, p, prompt(7))
		if l.ID != home.ID {
			g.Expect(l.Source).To(Equal(home.Address))
			g.Expect(home.own.Unread).To(BeNumerically(">", strayCost))
			return
		}
	}
}

// A part that an engine is reading need not be read elsewhere too: the second request
// waits behind the first, on all hosts, and no engine fetches the part before it is read.
func TestPartIsReadOnceWhileItIsBeingRead(t *testing.T) {
	g := NewWithT(t)
	p, other := poolOf(g, "a", 9), poolOf(g, "c", 9)
	home := choose(g, poolOf(g, "a", 9), prompt(7))
	p.upstreams[home.ID].own.Unread += 9000 // other work, so that the part strays
	stray := choose(g, p, prompt(7))
	g.Expect(stray.ID).NotTo(Equal(home.ID))
	other.Hear(1, 1, p.ShortLoads(), p.Recent(), start)
	for _, pool := range []*Pool{p, other} {
		second := choose(g, pool, prompt(7))
		g.Expect(second.ID).To(Equal(stray.ID))
		g.Expect(second.unread).To(Equal(int64(4_000)))
		g.Expect(second.Source).To(BeEmpty())
	}
}

// A request that ends before the engine has begun leaves no part behind.
func TestPartThatWasNotReadIsNotExpected(t *testing.T) {
	g := NewWithT(t)
	p := poolOf(g, "a", 9)
	first := choose(g, p, prompt(7))
	p.Release(first)
	g.Expect(choose(g, p, prompt(7)).unread).To(Equal(int64(17_000)))
}

// What other hosts read and keep counts like the own.
func TestOtherHostsAreHeard(t *testing.T) {
	g := NewWithT(t)
	p := poolOf(g, "a", 9)
	home := choose(g, p, prompt(7))
	p.Release(home)
	busy := map[uint32]Load{shortName(home.ID): {Open: 3, Unread: 30_000}}
	p.Hear(1, 1, busy, nil, start)
	stray := choose(g, p, prompt(7))
	g.Expect(stray.ID).NotTo(Equal(home.ID))
	p.Release(stray)
	p.Hear(1, 0, nil, nil, start)
	g.Expect(home.heard.Unread).To(Equal(int64(30_000)), "a late message changes nothing")
	p.Hear(1, 2, nil, []Kept{{Part: 7, Upstream: shortName("u3")}}, start)
	g.Expect(home.heard.Unread).To(BeZero())
	g.Expect(p.upstreams["u3"].keeps(7, start)).To(BeTrue())
	p.Hear(1, 3, busy, nil, start)
	p.Hear(2, 1, nil, nil, start.Add(2*peerRetention))
	g.Expect(home.heard.Unread).To(BeZero(), "a silent host is forgotten")
}

func TestUnsoundUpstreamsAreUsedLast(t *testing.T) {
	g := NewWithT(t)
	p := poolOf(g, "a", 2)
	plain := &Request{Service: "engine"}
	first := choose(g, p, plain)
	p.Observe(first, Failed, start)
	p.Observe(first, Failed, start)
	p.Release(first)
	for range 5 {
		g.Expect(choose(g, p, plain).ID).NotTo(Equal(first.ID))
	}
	other, _ := p.Choose(&Request{Service: "engine", Exclude: []string{"u0", "u1"}}, start)
	g.Expect(other).To(BeNil())
	l, refused := p.Choose(&Request{Service: "engine", Exclude: []string{otherOf(first.ID)}}, start)
	g.Expect(refused).To(BeNil(), "rather an ejected one than none")
	g.Expect(l.ID).To(Equal(first.ID))
	p.Observe(l, Served, start)
	g.Expect(p.sound(l.Upstream, start)).To(BeTrue())
}

func otherOf(id string) string {
	if id == "u0" {
		return "u1"
	}
	return "u0"
}

func TestSilentUpstreamsAreUsedLast(t *testing.T) {
	g := NewWithT(t)
	p := poolOf(g, "a", 2)
	silent := presence.Record{Upstream: p.upstreams["u0"].Upstream, Unresponsive: true}
	p.Update([]presence.Record{silent})
	for range 4 {
		g.Expect(choose(g, p, &Request{Service: "engine"}).ID).To(Equal("u1"))
	}
	g.Expect(choose(g, p, &Request{Service: "engine", Exclude: []string{"u1"}}).ID).To(Equal("u0"))
	silent.Unresponsive = false
	p.Update([]presence.Record{silent})
	g.Expect(choose(g, p, &Request{Service: "engine"}).ID).To(Equal("u0"))
}

// A new leader may not have heard yet what the last one told.
func TestTableThatIsBehindChangesNothing(t *testing.T) {
	g := NewWithT(t)
	p := poolOf(g, "a", 2)
	known := p.upstreams["u0"].Upstream
	draining, earlier := known, known
	draining.State = presence.Draining
	earlier.StartedMS = known.StartedMS - 1
	p.Update([]presence.Record{{Upstream: draining}})
	p.Update([]presence.Record{{Upstream: known}})
	p.Update([]presence.Record{{Upstream: earlier}})
	g.Expect(p.services["engine"]).To(HaveLen(1))
}

func TestPlainServicesGoToTheLeastLoadedNearby(t *testing.T) {
	g := NewWithT(t)
	p := poolOf(g, "c", 4)
	plain := &Request{Service: "engine", Limit: func(*Upstream) int { return 2 }}
	g.Expect(choose(g, p, plain).Zone).To(Equal("c"))
	for range 7 {
		choose(g, p, plain)
	}
	l, refused := p.Choose(plain, start)
	g.Expect(l).To(BeNil())
	g.Expect(refused.Reason).To(Equal(Full))
	g.Expect(refused.After).To(BeNumerically(">", 0))
}

func TestIdleUpstreamsTakeTurns(t *testing.T) {
	g := NewWithT(t)
	p := poolOf(g, "z", 4)
	seen := map[string]int{}
	for range 8 {
		l := choose(g, p, &Request{Service: "engine"})
		seen[l.ID]++
		p.Release(l)
	}
	g.Expect(seen).To(Equal(map[string]int{"u0": 2, "u1": 2, "u2": 2, "u3": 2}))
}

func TestNewProcessStartsWithoutAHistory(t *testing.T) {
	g := NewWithT(t)
	p := poolOf(g, "a", 1)
	l := choose(g, p, prompt(1))
	p.Begin(l, start)
	p.Update([]presence.Record{{Upstream: presence.Upstream{
		ID: "u0", Address: "10.0.0.0:80", Service: "engine", State: presence.Ready, StartedMS: 2, Sequence: 1,
	}}})
	p.Release(l)
	u := p.upstreams["u0"]
	g.Expect(u.keeps(1, start)).To(BeFalse())
	g.Expect(u.own).To(Equal(Load{}))
}

func TestEngineMemoryBoundsTheRequests(t *testing.T) {
	g := NewWithT(t)
	p := poolOf(g, "a", 1)
	r := &Request{Service: "engine", Tokens: 30_000, Part: 1, HasPart: true, Output: 1_000, Memory: 100_000}
	var open []*Place
	for {
		l, refused := p.Choose(r, start)
		if refused != nil {
			g.Expect(refused.Reason).To(Equal(Full))
			break
		}
		p.Begin(l, start)
		open = append(open, l)
	}
	g.Expect(open).To(HaveLen(2), "a third one would not fit into 85 in 100 of the memory")
	p.Release(open[0])
	choose(g, p, r)
}
