package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/notice"
	"github.com/godwitbend/godwitbend/internal/presence"
)

func TestLeavingUpstreamIsNoLastChoice(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(g, "a", 2)
	req := &Request{Service: "engine"}
	first := mustChoose(g, p, req)
	change := p.ObserveNotice(first, notice.Notice{Leaving: true}, "r", startTime)
	g.Expect(change.Leaving).To(BeTrue())
	g.Expect(p.ObserveNotice(first, notice.Notice{}, "r", startTime).Leaving).To(BeFalse())
	for range 5 {
		g.Expect(mustChoose(g, p, req).ID).NotTo(Equal(first.ID))
	}
	_, refused := p.Choose(&Request{Service: "engine", Exclude: []string{otherUpstream(first.ID)}}, startTime)
	g.Expect(refused).NotTo(BeNil())
	p.Update([]presence.Record{{Upstream: first.Upstream.Upstream}})
	_, refused = p.Choose(&Request{Service: "engine", Exclude: []string{otherUpstream(first.ID)}}, startTime.Add(time.Hour))
	g.Expect(refused).NotTo(BeNil(), "a report that it is ready does not lift what it said")
	g.Expect(p.NoticeReports(startTime)).To(Equal([]notice.Report{{Upstream: first.ID, StartedMS: first.StartedMS, Leaving: true}}))
}

func TestAllUpstreamsLeavingIsNoUpstreamReady(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(g, "a", 1)
	p.ObserveNotice(mustChoose(g, p, &Request{Service: "engine"}), notice.Notice{Leaving: true}, "r", startTime)
	g.Expect(p.HasReady("engine", startTime)).To(BeFalse())
	_, refused := p.Choose(&Request{Service: "engine"}, startTime)
	g.Expect(refused.Reason).To(Equal(NoneReady))
}

func TestLeavingThatAnotherHostWasToldLapses(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(g, "a", 1)
	u := p.upstreams["u0"]
	hint := notice.Report{Upstream: u.ID, StartedMS: u.StartedMS, Leaving: true, LeavingAge: 5 * time.Second}
	p.ApplyNotices([]notice.Report{hint}, false, startTime)
	g.Expect(p.HasReady("engine", startTime)).To(BeFalse())
	lapse := startTime.Add(notice.HintLifetime - hint.LeavingAge)
	g.Expect(p.HasReady("engine", lapse.Add(-time.Millisecond))).To(BeFalse())
	g.Expect(p.HasReady("engine", lapse)).To(BeTrue())
}

func TestSuccessorOfALeavingProcessStartsClean(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(g, "a", 1)
	a := mustChoose(g, p, &Request{Service: "engine"})
	p.ObserveNotice(a, notice.Notice{Leaving: true}, "r", startTime)
	hint := notice.Report{Upstream: a.ID, StartedMS: a.StartedMS, Leaving: true}
	next := a.Upstream.Upstream
	next.StartedMS++
	p.Update([]presence.Record{{Upstream: next}})
	p.ApplyNotices([]notice.Report{hint}, false, startTime)
	mustChoose(g, p, &Request{Service: "engine"})
}

func TestNoticeThatIsNotUnderstoodKeepsTheLimitOfALeavingUpstream(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(g, "a", 1)
	a := mustChoose(g, p, &Request{Service: "engine"})
	p.ObserveNotice(a, notice.Notice{Limited: true, RequestRate: 3}, "r", startTime)
	p.ObserveNotice(a, notice.Notice{Leaving: true, Invalid: "x"}, "r", startTime)
	reports := p.NoticeReports(startTime)
	g.Expect(reports).To(HaveLen(1))
	g.Expect(reports[0].Limited && reports[0].Leaving).To(BeTrue())
}

func TestNewLeaderLearnsOfLeavingUpstreams(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(g, "a", 1)
	a := mustChoose(g, p, &Request{Service: "engine"})
	p.ObserveNotice(a, notice.Notice{Leaving: true}, "r", startTime)
	p.AcknowledgeNotices(startTime)
	p.ReportNotices()
	g.Expect(p.NoticeReports(startTime.Add(time.Second))).To(Equal([]notice.Report{
		{Upstream: "u0", StartedMS: a.StartedMS, Age: time.Second, Leaving: true, LeavingAge: time.Second},
	}))
}
