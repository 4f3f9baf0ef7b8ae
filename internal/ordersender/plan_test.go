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
	testLimits      = Limits{MinLoadInterval: time.Second, MaxLoads: 2, Lease: 10 * time.Second}
	leadershipStart = time.Unix(1000, 0)
)

func pendingOrder(id, upstream, action string) *controlapi.OrderStatus {
	return &controlapi.OrderStatus{
		Upstream: upstream,
		Order:    announce.Order{ID: id, Action: action, Model: id},
		State:    controlapi.OrderPending,
	}
}

func lookupWithFencing(string) (Target, bool)    { return Target{ChecksFencing: true}, true }
func lookupWithoutFencing(string) (Target, bool) { return Target{}, true }

func orderIDs(list []*controlapi.OrderStatus) []string {
	var out []string
	for _, o := range list {
		out = append(out, o.Order.ID)
	}
	return out
}

func TestOrdersToUpstreamAreSentSequentially(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(testLimits)
	list := []*controlapi.OrderStatus{pendingOrder("1", "a", announce.ActionRole), pendingOrder("2", "a", announce.ActionUnload)}
	l := Leadership{Term: 3, Since: leadershipStart}
	g.Expect(orderIDs(p.dueOrders(list, lookupWithFencing, l, leadershipStart))).To(Equal([]string{"1"}))
	g.Expect(p.dueOrders(list, lookupWithFencing, l, leadershipStart)).To(BeEmpty())
	p.sendEnded(list[0], retryBackoff, leadershipStart)
	g.Expect(p.dueOrders(list, lookupWithFencing, l, leadershipStart)).To(BeEmpty(), "backoff")
	g.Expect(orderIDs(p.dueOrders(list, lookupWithFencing, l, leadershipStart.Add(retryBackoff)))).To(Equal([]string{"1"}))
	p.sendEnded(list[0], 0, leadershipStart)
	list[0].State = controlapi.OrderDone
	g.Expect(orderIDs(p.dueOrders(list, lookupWithFencing, l, leadershipStart.Add(retryBackoff)))).To(Equal([]string{"2"}))
}

func TestUpstreamWithoutFencingWaitsForOldLease(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(testLimits)
	list := []*controlapi.OrderStatus{pendingOrder("1", "a", announce.ActionRole)}
	l := Leadership{Term: 3, Since: leadershipStart}
	g.Expect(p.dueOrders(list, lookupWithoutFencing, l, leadershipStart.Add(testLimits.Lease))).To(BeEmpty())
	g.Expect(p.dueOrders(list, lookupWithoutFencing, l, leadershipStart.Add(testLimits.leaseWithMargin()))).To(HaveLen(1))
}

func TestLoadsRespectLimits(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(testLimits)
	var list []*controlapi.OrderStatus
	for i := range 10 {
		list = append(list, pendingOrder(fmt.Sprint(i), fmt.Sprint("u", i), announce.ActionLoad))
	}
	l := Leadership{Term: 3, Since: leadershipStart}
	now := leadershipStart
	started, active := 0, []*controlapi.OrderStatus{}
	for range 100 {
		due := p.dueOrders(list, lookupWithFencing, l, now)
		g.Expect(len(due)).To(BeNumerically("<=", 1))
		started += len(due)
		active = append(active, due...)
		g.Expect(len(active)).To(BeNumerically("<=", testLimits.MaxLoads))
		if len(active) == testLimits.MaxLoads {
			active[0].State = controlapi.OrderDone
			p.sendEnded(active[0], 0, now)
			active = active[1:]
		}
		now = now.Add(200 * time.Millisecond)
	}
	g.Expect(started).To(Equal(10))
}
