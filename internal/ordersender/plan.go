package ordersender

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/controlapi"
)

// Limits bound the sending of orders.
type Limits struct {
	// LoadInterval is the least time between the starts of two loads, for the
	// sake of the weight store.
	LoadInterval time.Duration
	// Loads bounds the loads in progress.
	Loads int
	// Lease bounds the time from the confirmation of a leadership to the arrival
	// of an order that it sends.
	Lease time.Duration
}

// Leadership is the present leadership of this replica.
type Leadership struct {
	Term uint64
	// Since is the time at which it began.
	Since time.Time
}

// Target is what the planner needs to know of an upstream.
type Target struct {
	Address       string
	ChecksFencing bool
}

// planner decides which orders are sent when. It is used by one goroutine.
type planner struct {
	limits   Limits
	busy     map[string]bool
	notUntil map[string]time.Time
	loads    int
	lastLoad time.Time
}

func newPlanner(limits Limits) *planner {
	return &planner{limits: limits, busy: make(map[string]bool), notUntil: make(map[string]time.Time)}
}

// next returns the orders to send now. Orders to one upstream are sent one at a
// time in the order of their placing. An upstream that does not check fencing
// numbers gets none until the lease of any earlier leader has lapsed.
func (p *planner) next(list []*controlapi.OrderStatus, lookup func(string) (Target, bool), l Leadership, now time.Time) []*controlapi.OrderStatus {
	var out []*controlapi.OrderStatus
	seen := make(map[string]bool)
	for _, o := range list {
		if o.State != controlapi.OrderPending || seen[o.Upstream] {
			continue
		}
		seen[o.Upstream] = true
		target, ok := lookup(o.Upstream)
		if !ok || p.busy[o.Upstream] || now.Before(p.notUntil[o.Upstream]) {
			continue
		}
		if !target.ChecksFencing && now.Before(l.Since.Add(p.limits.guardedLease())) {
			continue
		}
		if !p.admitLoad(o, now) {
			continue
		}
		p.busy[o.Upstream] = true
		out = append(out, o)
	}
	return out
}

// guardedLease is the lease plus an allowance for the difference of clock rates.
func (l Limits) guardedLease() time.Duration { return l.Lease + l.Lease/10 }

// admitLoad applies the weight store's limits to a load.
func (p *planner) admitLoad(o *controlapi.OrderStatus, now time.Time) bool {
	if o.Order.Action != announce.ActionLoad {
		return true
	}
	if p.loads >= p.limits.Loads || now.Sub(p.lastLoad) < p.limits.LoadInterval {
		return false
	}
	p.loads++
	p.lastLoad = now
	return true
}

// ended notes the end of a try; after a failed one the upstream is left alone for the backoff.
func (p *planner) ended(o *controlapi.OrderStatus, backoff time.Duration, now time.Time) {
	delete(p.busy, o.Upstream)
	if o.Order.Action == announce.ActionLoad {
		p.loads--
	}
	if backoff > 0 {
		p.notUntil[o.Upstream] = now.Add(backoff)
	}
}
