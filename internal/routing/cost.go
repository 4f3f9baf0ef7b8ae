package routing

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/registry"
)

// Weights of the cost of an upstream. The unit is the whole capacity of one
// upstream in use.
const (
	// queueWeight multiplies the load beyond the capacity, which waits.
	queueWeight = 4
	// blockCost is the cost of one block of the prompt that is not in the cache.
	blockCost = 0.12
	// doubtfulShare is the part of a match that counts after missed cache events.
	doubtfulShare = 0.5
	// zoneCost is the cost of another availability zone than the host's own.
	zoneCost = 0.1
	// slowCost is the cost per multiple of the service's mean time to the first byte.
	slowCost    = 0.2
	slowCostMax = 1.0
	// rampTime is the time in which a new incarnation comes to its full capacity.
	rampTime  = 10 * time.Second
	rampStart = 0.2
)

// cheapest returns the candidate of least cost, or nil if there is none.
func (c *choice) cheapest() *registry.Entry {
	var best *registry.Entry
	least := 0.0
	for i := range c.candidates[:c.count] {
		candidate := &c.candidates[i]
		if cost := c.cost(candidate); best == nil || cost < least {
			best, least = candidate.entry, cost
		}
	}
	return best
}

// cost returns the cost of running the request on the candidate.
func (c *choice) cost(k *candidate) float64 {
	state := k.entry.State()
	use := float64(k.entry.Load(c.hosts)+1) / (float64(max(state.Capacity, 1)) * ramp(c.now.Sub(state.Since)))
	cost := use
	if use > 1 {
		cost = 1 + queueWeight*(use-1)
	}
	matched := float64(k.matched)
	if k.doubtful {
		matched *= doubtfulShare
	}
	cost += blockCost * (float64(len(c.req.Prefix)) - matched)
	if state.Zone != c.router.settings.Zone {
		cost += zoneCost
	}
	return cost + c.router.slowness(k.entry, c.req.Service)
}

// ramp returns the part of its capacity that an incarnation of this age is given.
func ramp(age time.Duration) float64 {
	if age >= rampTime {
		return 1
	}
	return rampStart + (1-rampStart)*float64(max(age, 0))/float64(rampTime)
}
