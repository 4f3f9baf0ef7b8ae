package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/registry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newTestRand returns a random source with a fixed seed.
func newTestRand() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// newTestRegistry returns a registry of n engines that are past their slow start.
func newTestRegistry(n int) *registry.Registry {
	r := registry.New(0)
	for i := range n {
		r.Apply(testAnnouncement(i, 1, nil), start.Add(-slowStartDuration))
		r.Apply(testAnnouncement(i, 2, nil), start)
	}
	return r
}

func testAnnouncement(i int, sequence uint64, change func(*announce.Announcement)) announce.Announcement {
	a := announce.Announcement{
		ID: fmt.Sprint("engine-", i), Incarnation: 1, Sequence: sequence, Zone: zoneOf(i),
		Services: []announce.ServiceOffer{{Name: "m"}}, Capacity: 8, State: announce.StateServing,
	}
	if change != nil {
		change(&a)
	}
	return a
}

func newTestRequest() *Request {
	return &Request{Service: "m", Organisation: "o", Allowed: func(string, string) bool { return true }}
}

// countChoices returns how often each upstream is chosen for n requests.
func countChoices(g *WithT, r *Router, req *Request, reg *registry.Registry, now time.Time, n int) map[string]int {
	random := newTestRand()
	counts := map[string]int{}
	for range n {
		e, err := r.Choose(req, reg.Snapshot(), now, random)
		g.Expect(err).NotTo(HaveOccurred())
		counts[e.ID]++
	}
	return counts
}

func TestChooseRespectsAllowed(t *testing.T) {
	g := NewWithT(t)
	req := newTestRequest()
	req.Allowed = func(id, _ string) bool { return id == "engine-7" }
	g.Expect(countChoices(g, New(Settings{}), req, newTestRegistry(10), start, 20)).To(Equal(map[string]int{"engine-7": 20}))
	req.Revision = 2
	req.Allowed = func(string, string) bool { return false }
	_, err := New(Settings{}).Choose(req, newTestRegistry(10).Snapshot(), start, newTestRand())
	g.Expect(errkind.Is(err, errkind.NoUpstream)).To(BeTrue())
}

func TestNewRevisionReplacesCachedSubset(t *testing.T) {
	g := NewWithT(t)
	r, reg, req := New(Settings{}), newTestRegistry(2), newTestRequest()
	countChoices(g, r, req, reg, start, 1)
	req.Revision = 2
	req.Allowed = func(id, _ string) bool { return id == "engine-1" }
	g.Expect(countChoices(g, r, req, reg, start, 10)).To(Equal(map[string]int{"engine-1": 10}))
}

func TestChooseSkipsLeavingAndStaleUpstreams(t *testing.T) {
	g := NewWithT(t)
	reg := newTestRegistry(3)
	now := start.Add(registry.DefaultUpstreamTimeout)
	reg.Apply(testAnnouncement(0, 3, func(a *announce.Announcement) { a.State = announce.StateLeaving }), now)
	reg.Apply(testAnnouncement(1, 3, nil), now)
	g.Expect(countChoices(g, New(Settings{}), newTestRequest(), reg, now, 20)).To(Equal(map[string]int{"engine-1": 20}))
}

func TestChooseSkipsExcludedUpstreams(t *testing.T) {
	g := NewWithT(t)
	req := newTestRequest()
	req.Exclude = map[string]bool{"engine-0": true}
	g.Expect(countChoices(g, New(Settings{}), req, newTestRegistry(2), start, 10)).To(Equal(map[string]int{"engine-1": 10}))
}

func TestChooseHonoursOnly(t *testing.T) {
	g := NewWithT(t)
	req := newTestRequest()
	req.Only = []string{"engine-2", "absent"}
	g.Expect(countChoices(g, New(Settings{}), req, newTestRegistry(4), start, 10)).To(Equal(map[string]int{"engine-2": 10}))
}

func TestExclusiveRequestGetsIdleUpstream(t *testing.T) {
	g := NewWithT(t)
	reg, req := newTestRegistry(3), newTestRequest()
	req.Exclusive = true
	reg.Snapshot().Entries["engine-0"].Claim(false)
	reg.Apply(testAnnouncement(1, 3, func(a *announce.Announcement) { a.InFlight = 2 }), start)
	g.Expect(countChoices(g, New(Settings{}), req, reg, start, 5)).To(Equal(map[string]int{"engine-2": 5}))
}

func TestLocalZonePreferredUntilLoaded(t *testing.T) {
	g := NewWithT(t)
	reg, r := newTestRegistry(8), New(Settings{Zone: "zone-1"})
	counts := countChoices(g, r, newTestRequest(), reg, start, 50)
	g.Expect(counts["engine-1"] + counts["engine-5"]).To(Equal(50))
	for _, i := range []int{1, 5} {
		reg.Apply(testAnnouncement(i, 3, func(a *announce.Announcement) { a.InFlight = 8 }), start)
	}
	counts = countChoices(g, r, newTestRequest(), reg, start, 50)
	g.Expect(counts["engine-1"] + counts["engine-5"]).To(BeZero())
}

func TestPrefixAffinityYieldsToLoad(t *testing.T) {
	g := NewWithT(t)
	reg, r, req := newTestRegistry(8), New(Settings{}), newTestRequest()
	for i := range 40 {
		req.Prefix = append(req.Prefix, uint64(i+1))
	}
	events := make([]announce.CacheEvent, len(req.Prefix))
	for i, p := range req.Prefix {
		events[i] = announce.CacheEvent{Number: uint64(i + 1), Prefix: p}
	}
	r.Observe(testAnnouncement(6, 3, func(a *announce.Announcement) { a.CacheEvents = events }), start)
	g.Expect(countChoices(g, r, req, reg, start, 20)).To(Equal(map[string]int{"engine-6": 20}))
	reg.Apply(testAnnouncement(6, 4, func(a *announce.Announcement) { a.InFlight, a.Queued = 8, 8 }), start)
	g.Expect(countChoices(g, r, req, reg, start, 20)["engine-6"]).To(BeZero())
}

func TestRestartInvalidatesCachedPrefixes(t *testing.T) {
	g := NewWithT(t)
	reg, r, req := newTestRegistry(2), New(Settings{}), newTestRequest()
	req.Prefix = []uint64{1}
	events := []announce.CacheEvent{{Number: 1, Prefix: 1}}
	r.Observe(testAnnouncement(1, 3, func(a *announce.Announcement) { a.CacheEvents = events }), start)
	reg.Apply(testAnnouncement(1, 1, func(a *announce.Announcement) { a.Incarnation = 2 }), start)
	c := selection{router: r, req: req, snap: reg.Snapshot(), now: start}
	c.addPrefixMatches()
	g.Expect(c.count).To(BeZero())
}

func TestMissedCacheEventsMakeMatchUncertain(t *testing.T) {
	g := NewWithT(t)
	reg, r, req := newTestRegistry(2), New(Settings{}), newTestRequest()
	req.Prefix = []uint64{1}
	observe := func(number, prefix uint64) {
		events := []announce.CacheEvent{{Number: number, Prefix: prefix}}
		r.Observe(testAnnouncement(1, 3, func(a *announce.Announcement) { a.CacheEvents = events }), start)
	}
	observe(1, 1)
	uncertain := func() bool {
		c := selection{router: r, req: req, snap: reg.Snapshot(), now: start}
		c.addPrefixMatches()
		return c.candidates[0].uncertain
	}
	g.Expect(uncertain()).To(BeFalse())
	observe(3, 2)
	g.Expect(uncertain()).To(BeTrue())
}

func TestFailingUpstreamIsEjectedAndProbed(t *testing.T) {
	g := NewWithT(t)
	reg, r := newTestRegistry(2), New(Settings{})
	failing := reg.Snapshot().Entries["engine-0"]
	for range ejectionThreshold {
		r.Report(failing, Result{Service: "m", Failed: true}, start)
	}
	g.Expect(countChoices(g, r, newTestRequest(), reg, start, 20)).To(Equal(map[string]int{"engine-1": 20}))
	now := start.Add(baseEjectionTime + time.Millisecond)
	g.Expect(countChoices(g, r, newTestRequest(), reg, now, 50)["engine-0"]).To(Equal(1), "exactly one probe is admitted")
	r.Report(failing, Result{Service: "m", TimeToFirstByte: time.Second}, now)
	g.Expect(countChoices(g, r, newTestRequest(), reg, now, 50)["engine-0"]).To(BeNumerically(">", 1))
}

func TestEjectedUpstreamIsLastResort(t *testing.T) {
	g := NewWithT(t)
	reg, r := newTestRegistry(1), New(Settings{})
	for range ejectionThreshold {
		r.Report(reg.Snapshot().Entries["engine-0"], Result{Service: "m", Failed: true}, start)
	}
	g.Expect(countChoices(g, r, newTestRequest(), reg, start, 3)).To(HaveLen(1))
}

func TestNewIncarnationSlowStart(t *testing.T) {
	g := NewWithT(t)
	reg := newTestRegistry(2)
	reg.Apply(testAnnouncement(1, 1, func(a *announce.Announcement) { a.Incarnation = 2 }), start)
	for i := range 2 {
		reg.Apply(testAnnouncement(i, 5, func(a *announce.Announcement) { a.Incarnation, a.InFlight = 1+uint64(i), 2 }), start)
	}
	now := start.Add(time.Second)
	g.Expect(countChoices(g, New(Settings{Zone: "zone-9"}), newTestRequest(), reg, now, 40)["engine-1"]).To(BeNumerically("<", 10))
	reg.Apply(testAnnouncement(0, 6, func(a *announce.Announcement) { a.InFlight = 2 }), now.Add(slowStartDuration))
	reg.Apply(testAnnouncement(1, 6, func(a *announce.Announcement) { a.Incarnation, a.InFlight = 2, 2 }), now.Add(slowStartDuration))
	counts := countChoices(g, New(Settings{Zone: "zone-9"}), newTestRequest(), reg, now.Add(slowStartDuration), 40)
	g.Expect(counts["engine-1"]).To(BeNumerically(">", 10))
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		for _, blocks := range []int{0, 64} {
			b.Run(fmt.Sprintf("upstreams=%d/blocks=%d", n, blocks), func(b *testing.B) {
				reg, r, req, random := newTestRegistry(n), New(Settings{Zone: "zone-1"}), newTestRequest(), newTestRand()
				for i := range blocks {
					req.Prefix = append(req.Prefix, uint64(i))
				}
				now := start.Add(time.Second)
				snap := reg.Snapshot()
				_, _ = r.Choose(req, snap, now, random)
				b.ReportAllocs()
				for b.Loop() {
					if _, err := r.Choose(req, snap, now, random); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
