package ordersender

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/controlapi"
)

var (
	testLimits = Limits{LoadInterval: time.Second, Loads: 2, Lease: 10 * time.Second}
	began      = time.Unix(1000, 0)
)

func pending(id, upstream, action string) *controlapi.OrderStatus {
	return &controlapi.OrderStatus{
		Upstream: upstream,
		Order:    announce.Order{ID: id, Action: action, Model: id},
		State:    controlapi.OrderPending,
	}
}

func checking(string) (Target, bool) { return Target{ChecksFencing: true}, true }
func ignoring(string) (Target, bool) { return Target{}, true }

func ids(list []*controlapi.OrderStatus) []string {
	var out []string
	for _, o := range list {
		out = append(out, o.Order.ID)
	}
	return out
}

func TestOneUpstreamGetsOneOrderAtATimeInOrder(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(testLimits)
	list := []*controlapi.OrderStatus{pending("1", "a", announce.ActionRole), pending("2", "a", announce.ActionUnload)}
	l := Leadership{Term: 3, Since: began}
	g.Expect(ids(p.next(list, checking, l, began))).To(Equal([]string{"1"}))
	g.Expect(p.next(list, checking, l, began)).To(BeEmpty())
	p.ended(list[0], retryBackoff, began)
	g.Expect(p.next(list, checking, l, began)).To(BeEmpty(), "backoff")
	g.Expect(ids(p.next(list, checking, l, began.Add(retryBackoff)))).To(Equal([]string{"1"}))
	p.ended(list[0], 0, began)
	list[0].State = controlapi.OrderDone
	g.Expect(ids(p.next(list, checking, l, began.Add(retryBackoff)))).To(Equal([]string{"2"}))
}

func TestUpstreamThatIgnoresFencingWaitsForTheOldLeadersLease(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(testLimits)
	list := []*controlapi.OrderStatus{pending("1", "a", announce.ActionRole)}
	l := Leadership{Term: 3, Since: began}
	g.Expect(p.next(list, ignoring, l, began.Add(testLimits.Lease))).To(BeEmpty())
	g.Expect(p.next(list, ignoring, l, began.Add(testLimits.guardedLease()))).To(HaveLen(1))
}

func TestLoadsKeepToTheWeightStoresLimits(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(testLimits)
	var list []*controlapi.OrderStatus
	for i := range 10 {
		list = append(list, pending(fmt.Sprint(i), fmt.Sprint("u", i), announce.ActionLoad))
	}
	l := Leadership{Term: 3, Since: began}
	now := began
	started, open := 0, []*controlapi.OrderStatus{}
	for range 100 {
		due := p.next(list, checking, l, now)
		g.Expect(len(due)).To(BeNumerically("<=", 1))
		started += len(due)
		open = append(open, due...)
		g.Expect(len(open)).To(BeNumerically("<=", testLimits.Loads))
		if len(open) == testLimits.Loads {
			open[0].State = controlapi.OrderDone
			p.ended(open[0], 0, now)
			open = open[1:]
		}
		now = now.Add(200 * time.Millisecond)
	}
	g.Expect(started).To(Equal(10))
}
