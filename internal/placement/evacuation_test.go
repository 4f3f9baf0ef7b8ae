package placement

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/presence"
)

// Guards against requests that reach an evacuated zone because no other upstream is left, is healthy
// or has capacity.
func TestEvacuatedZoneIsNoLastResort(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(g, "a", 8) // two upstreams in each of the zones a to d
	plain := &Request{Service: "engine"}
	change := p.ApplyEvacuations(1, []string{"a", "c"}, startTime)
	g.Expect(change).To(Equal(&EvacuationChange{Started: []string{"a", "c"}, Excluded: 4}))
	for range 20 {
		g.Expect(mustChoose(g, p, plain).Zone).To(BeElementOf("b", "d"))
	}
	for prefix := range uint64(20) {
		a := mustChoose(g, p, prefixRequest(prefix))
		g.Expect(a.Zone).To(BeElementOf("b", "d"))
		g.Expect(a.PrefixSource).NotTo(BeElementOf("10.0.0.0:80", "10.0.0.2:80", "10.0.0.4:80", "10.0.0.6:80"), "no prefix is fetched from the zones")
		p.Release(a)
	}
	_, refused := p.Choose(&Request{Service: "engine", Exclude: []string{"u1", "u3", "u5", "u7"}}, startTime)
	g.Expect(refused.Reason).To(Equal(AllTried))
	p.ApplyEvacuations(2, []string{"a", "b", "c", "d"}, startTime)
	_, refused = p.Choose(plain, startTime)
	g.Expect(refused.Reason).To(Equal(NoneReady))
	g.Expect(p.HasReady("engine", startTime)).To(BeFalse())
}

// Guards against requests that are sent after an evacuation because their upstream was chosen before.
func TestEvacuatedUpstreamTakesNoAssignedRequest(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(g, "a", 1)
	assigned := mustChoose(g, p, &Request{Service: "engine"})
	g.Expect(p.Takes(assigned, startTime)).To(BeTrue())
	p.ApplyEvacuations(1, []string{"a"}, startTime)
	g.Expect(p.Takes(assigned, startTime)).To(BeFalse())
	restarted := *p.table.Record("u0")
	restarted.StartedMS++
	p.Update([]presence.Record{restarted})
	g.Expect(p.Takes(assigned, startTime)).To(BeFalse(), "the process that was chosen has been replaced")
	p.ApplyEvacuations(2, nil, startTime)
	g.Expect(p.HasReady("engine", startTime)).To(BeTrue())
}

// Guards against upstreams that receive requests because they start or report in an evacuated zone.
func TestEvacuationAppliesToLaterUpstreams(t *testing.T) {
	g := NewWithT(t)
	p := NewPool("a")
	p.ApplyEvacuations(1, []string{"a"}, startTime)
	record := func(id, zone string) presence.Record {
		return presence.Record{Upstream: presence.Upstream{ID: id, Service: "engine", Zone: zone, State: presence.Ready, StartedMS: 1}}
	}
	p.Update([]presence.Record{record("u0", "a")})
	p.MergeNews([]presence.Record{record("u1", "a")})
	g.Expect(p.HasReady("engine", startTime)).To(BeFalse())
	g.Expect(p.Evacuations()).To(Equal(EvacuationStatus{Revision: 1, Zones: 1, Excluded: 2}))
	p.Update([]presence.Record{record("u2", "b")})
	g.Expect(mustChoose(g, p, &Request{Service: "engine"}).ID).To(Equal("u2"))
}

// Guards against a resumed stream that continues in the evacuated zone or at another version.
func TestEvacuatedZoneResumesNoStream(t *testing.T) {
	g := NewWithT(t)
	p := NewPool("a")
	for i, zone := range []string{"a", "b", "b"} {
		version := []string{"v1", "v1", "v2"}[i]
		p.Update([]presence.Record{{Upstream: presence.Upstream{
			ID: fmt.Sprint("u", i), Service: "engine", Zone: zone, Version: version, State: presence.Ready, StartedMS: 1,
		}}})
	}
	p.ControlSynced(startTime)
	resume := &Request{Service: "engine", Resumes: true, Version: "v1"}
	p.ApplyEvacuations(1, []string{"a"}, startTime)
	for range 5 {
		g.Expect(mustChoose(g, p, resume).ID).To(Equal("u1"))
	}
	_, refused := p.Choose(&Request{Service: "engine", Resumes: true, Version: "v1", Exclude: []string{"u1"}}, startTime)
	g.Expect(refused.Reason).To(Equal(AllTried))
	p.ApplyEvacuations(2, []string{"b"}, startTime)
	g.Expect(mustChoose(g, p, resume).ID).To(Equal("u0"))
	_, refused = p.Choose(&Request{Service: "engine", Resumes: true, Version: "v2"}, startTime)
	g.Expect(refused.Reason).To(Equal(NoneOfVersion))
}

// Guards against zones that return without notice to what treats their upstreams as cold, and
// against replies that arrive late and undo a newer one.
func TestEvacuationEndNamesReturnedZones(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(g, "a", 8)
	p.ApplyEvacuations(4, []string{"a", "b"}, startTime)
	g.Expect(p.ApplyEvacuations(4, nil, startTime)).To(BeNil())
	g.Expect(p.ApplyEvacuations(3, []string{"d"}, startTime)).To(BeNil())
	g.Expect(p.Evacuations()).To(Equal(EvacuationStatus{Revision: 4, Zones: 2, Excluded: 4}))
	end := startTime.Add(time.Minute)
	g.Expect(p.ApplyEvacuations(6, []string{"b", "c"}, end)).To(Equal(&EvacuationChange{Started: []string{"c"}, Ended: []string{"a"}, Excluded: 4}))
	at, known := p.EvacuationEnd("a")
	g.Expect(known).To(BeTrue())
	g.Expect(at).To(Equal(end))
	for _, zone := range []string{"b", "c", "d"} {
		_, known = p.EvacuationEnd(zone)
		g.Expect(known).To(BeFalse(), zone)
	}
	p.ApplyEvacuations(7, []string{"a"}, end)
	_, known = p.EvacuationEnd("a")
	g.Expect(known).To(BeFalse(), "the zone is evacuated again")
}

// Guards against memory that grows with the number of zones that were ever evacuated.
func TestEvacuationEndsAreBounded(t *testing.T) {
	g := NewWithT(t)
	p := NewPool("a")
	for i := range uint64(3 * maxEvacuationEnds) {
		now := startTime.Add(time.Duration(i) * time.Second)
		p.ApplyEvacuations(2*i+1, []string{fmt.Sprint("zone-", i)}, now)
		p.ApplyEvacuations(2*i+2, nil, now)
	}
	g.Expect(len(p.evacuation.ends)).To(BeNumerically("<=", maxEvacuationEnds))
	_, known := p.EvacuationEnd(fmt.Sprint("zone-", 3*maxEvacuationEnds-1))
	g.Expect(known).To(BeTrue())
}
