package ordersender

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/controlapi"
)

// Limits limits the rate and concurrency of orders.
type Limits struct {
	// MinLoadInterval is the minimum time between the starts of two loads, to limit the load
	// on the weight store.
	MinLoadInterval time.Duration
	// MaxLoads bounds the number of concurrent load orders.
	MaxLoads int
	// Lease bounds the time from confirming the leadership to the arrival of an order that is
	// sent under it.
	Lease time.Duration
}

// Leadership is the current leadership of this replica.
type Leadership struct {
	Term uint64
	// Since is the time at which the leadership began.
	Since time.Time
}

// Target describes an upstream to which orders are sent.
type Target struct {
	Address string
	// ChecksFencing means that the upstream rejects orders with an outdated fencing number.
	ChecksFencing bool
}

// planner decides which orders are due. It is not safe for concurrent use.
type planner struct {
	limits Limits
	// sending and notBefore hold, by upstream, whether a send is in progress and when the
	// backoff ends.
	sending       map[string]bool
	notBefore     map[string]time.Time
	activeLoads   int
	lastLoadStart time.Time
}

func newPlanner(limits Limits) *planner {
	return &planner{limits: limits, sending: make(map[string]bool), notBefore: make(map[string]time.Time)}
}

// dueOrders returns the orders to send at time now. Orders to one upstream are sent one at a
// time in the order in which they were placed. An upstream that does not check fencing
// numbers gets no orders until the lease of any earlier leader has expired.
func (p *planner) dueOrders(list []*controlapi.OrderStatus, lookup func(string) (Target, bool), l Leadership, now time.Time) []*controlapi.OrderStatus {
	var out []*controlapi.OrderStatus
	seen := make(map[string]bool)
	for _, o := range list {
		if o.State != controlapi.OrderPending || seen[o.Upstream] {
			continue
		}
		seen[o.Upstream] = true
		target, ok := lookup(o.Upstream)
		if !ok || p.sending[o.Upstream] || now.Before(p.notBefore[o.Upstream]) {
			continue
		}
		if !target.ChecksFencing && now.Before(l.Since.Add(p.limits.leaseWithMargin())) {
			continue
		}
		if !p.admitLoad(o, now) {
			continue
		}
		p.sending[o.Upstream] = true
		out = append(out, o)
	}
	return out
}

// leaseWithMargin returns the lease plus 10% for differences in clock rates.
func (l Limits) leaseWithMargin() time.Duration { return l.Lease + l.Lease/10 }

// admitLoad applies MaxLoads and MinLoadInterval to a load order, and counts the load if it
// is admitted. Other orders are always admitted.
func (p *planner) admitLoad(o *controlapi.OrderStatus, now time.Time) bool {
	if o.Order.Action != announce.ActionLoad {
		return true
	}
	if p.activeLoads >= p.limits.MaxLoads || now.Sub(p.lastLoadStart) < p.limits.MinLoadInterval {
		return false
	}
	p.activeLoads++
	p.lastLoadStart = now
	return true
}

// sendEnded records the end of a send. The upstream gets no orders during backoff, which is
// zero if the order was finished.
func (p *planner) sendEnded(o *controlapi.OrderStatus, backoff time.Duration, now time.Time) {
	delete(p.sending, o.Upstream)
	if o.Order.Action == announce.ActionLoad {
		p.activeLoads--
	}
	if backoff > 0 {
		p.notBefore[o.Upstream] = now.Add(backoff)
	}
}
