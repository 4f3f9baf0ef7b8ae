package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/notice"
	"github.com/godwitbend/godwitbend/internal/presence"
)

func askToWait(d time.Duration) notice.Notice { return notice.Notice{Wait: d} }

func TestUpstreamThatAsksToWaitIsNoLastChoice(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(g, "a", 2)
	req := &Request{Service: "engine"}
	first := mustChoose(g, p, req)
	g.Expect(p.ObserveNotice(first, askToWait(2*time.Second), "r", startTime).Waiting).To(BeTrue())
	p.Observe(first, Refused, startTime)
	p.Release(first)
	g.Expect(first.ejectedUntil).To(BeZero(), "it is healthy")
	other := otherUpstream(first.ID)
	for range 5 {
		g.Expect(mustChoose(g, p, req).ID).To(Equal(other))
	}
	p.Update([]presence.Record{{Upstream: first.Upstream.Upstream}})
	p.ApplyNotices(nil, false, startTime)
	p.ReportNotices()
	_, refused := p.Choose(&Request{Service: "engine", Exclude: []string{other}}, startTime.Add(500*time.Millisecond))
	g.Expect(refused.Reason).To(Equal(AllLimited))
	g.Expect(refused.RetryAfter).To(Equal(1500 * time.Millisecond))
	a, _ := p.Choose(&Request{Service: "engine", Exclude: []string{other}}, startTime.Add(2*time.Second))
	g.Expect(a.ID).To(Equal(first.ID))
}

func TestShorterWaitDoesNotEndALongerOne(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(g, "a", 1)
	a := mustChoose(g, p, &Request{Service: "engine"})
	p.ObserveNotice(a, askToWait(3*time.Second), "r", startTime)
	g.Expect(p.ObserveNotice(a, askToWait(time.Second), "r", startTime).Waiting).To(BeFalse())
	p.ObserveNotice(a, notice.Notice{}, "r", startTime)
	g.Expect(p.Wait("engine", startTime)).To(Equal(3 * time.Second))
}

func TestRequestsReturnGraduallyAfterAWait(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(g, "a", 1)
	req := &Request{Service: "engine"}
	first := mustChoose(g, p, req)
	p.ObserveNotice(first, askToWait(time.Second), "r", startTime)
	p.Release(first)
	end := startTime.Add(time.Second)
	sent := func(after time.Duration) (n int) {
		for range 2000 {
			if _, refused := p.Choose(req, end.Add(after)); refused == nil {
				n++
			}
		}
		return n
	}
	g.Expect(sent(-time.Millisecond)).To(BeZero())
	g.Expect(sent(0)).To(Equal(1))
	g.Expect(sent(rampStep)).To(Equal(1))
	g.Expect(sent(2 * rampStep)).To(Equal(2))
	g.Expect(sent(3 * rampStep)).To(Equal(4))
	g.Expect(sent(rampTime)).To(Equal(2000))
	g.Expect(first.waitUntil).To(BeZero())
}

func TestSuccessorOfAWaitingProcessStartsClean(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(g, "a", 1)
	a := mustChoose(g, p, &Request{Service: "engine"})
	p.ObserveNotice(a, askToWait(time.Hour), "r", startTime)
	next := a.Upstream.Upstream
	next.StartedMS++
	p.Update([]presence.Record{{Upstream: next}})
	mustChoose(g, p, &Request{Service: "engine"})
}
