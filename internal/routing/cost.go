package routing

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/registry"
)

// Weights of the routing cost. Cost 1 is an upstream at its full capacity.
const (
	// queueWeight multiplies the load beyond the capacity, which has to queue.
	queueWeight = 4
	// uncachedBlockCost is added per prompt block that is not in the prefix cache.
	uncachedBlockCost = 0.12
	// uncertainMatchFactor scales a prefix match that precedes missed cache events.
	uncertainMatchFactor = 0.5
	// crossZoneCost is added for upstreams outside the host's availability zone.
	crossZoneCost = 0.1
	// slowUpstreamCost is added per multiple of the service's mean time to first
	// byte by which an upstream exceeds it.
	slowUpstreamCost    = 0.2
	maxSlowUpstreamCost = 1.0
	// slowStartDuration is the time over which a new incarnation is ramped up to
	// its full capacity, starting at slowStartMinFactor of it.
	slowStartDuration  = 10 * time.Second
	slowStartMinFactor = 0.2
)

// cheapest returns the upstream with the lowest cost, or nil without candidates.
func (c *selection) cheapest() *registry.Entry {
	var best *registry.Entry
	lowest := 0.0
	for i := range c.candidates[:c.count] {
		candidate := &c.candidates[i]
		if cost := c.cost(candidate); best == nil || cost < lowest {
			best, lowest = candidate.entry, cost
		}
	}
	return best
}

// cost returns the cost of routing the request to cand.
func (c *selection) cost(cand *candidate) float64 {
	state := cand.entry.State()
	utilisation := float64(cand.entry.Load(c.hosts)+1) / (float64(max(state.Capacity, 1)) * slowStartFactor(c.now.Sub(state.FirstSeen)))
	cost := utilisation
	if utilisation > 1 {
		cost = 1 + queueWeight*(utilisation-1)
	}
	matchedBlocks := float64(cand.matchedBlocks)
	if cand.uncertain {
		matchedBlocks *= uncertainMatchFactor
	}
	cost += uncachedBlockCost * (float64(len(c.req.Prefix)) - matchedBlocks)
	if state.Zone != c.router.settings.Zone {
		cost += crossZoneCost
	}
	return cost + c.router.slownessCost(cand.entry, c.req.Service)
}

// slowStartFactor returns the usable share of the capacity of an incarnation of the given age.
func slowStartFactor(age time.Duration) float64 {
	if age >= slowStartDuration {
		return 1
	}
	return slowStartMinFactor + (1-slowStartMinFactor)*float64(max(age, 0))/float64(slowStartDuration)
}
