package admission

import (
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/registry"
)

// capacityTTL is how long the computed slots of a service are cached.
const capacityTTL = 20 * time.Millisecond

// Slots holds the concurrency slots of one service as seen by one host.
type Slots struct {
	// Total is the capacity of all usable upstreams; 0 if there are none.
	Total int
	// Free is Total minus the slots used by other hosts according to the latest reports.
	Free int
	// Share is the even share of Total for one host.
	Share int
}

// hostLimit returns how many requests the host may have in flight: the slots not used
// by other hosts, but at least its share.
func (s Slots) hostLimit() int { return max(s.Free, s.Share) }

// hostLimitBesideReserve returns the limit for requests that must leave the given number
// of reserved slots free. The reserve is split between the hosts in proportion to Share.
func (s Slots) hostLimitBesideReserve(reserved int) int {
	if s.Total == 0 {
		return 0
	}
	hostReserve := (s.Share*reserved + s.Total - 1) / s.Total
	return max(s.Free-reserved, s.Share-hostReserve)
}

// Capacity computes the slots of each service from the registry.
type Capacity struct {
	registry *registry.Registry
	// hosts returns the number of gateway hosts that share the upstreams.
	hosts func() int
	now   func() time.Time

	mu    sync.Mutex
	cache map[string]cachedSlots
}

type cachedSlots struct {
	slots      Slots
	computedAt time.Time
}

// NewCapacity returns a Capacity based on registry r. A nil now means time.Now.
func NewCapacity(r *registry.Registry, hosts func() int, now func() time.Time) *Capacity {
	if now == nil {
		now = time.Now
	}
	return &Capacity{registry: r, hosts: hosts, now: now, cache: map[string]cachedSlots{}}
}

// Slots returns the slots of a service.
func (c *Capacity) Slots(service string) Slots {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached, found := c.cache[service]; found && now.Sub(cached.computedAt) < capacityTTL {
		return cached.slots
	}
	pool := c.registry.Snapshot().Pool(service)
	slots := CountSlots(pool.All, now, c.registry.UpstreamTimeout(), c.hosts())
	c.cache[service] = cachedSlots{slots, now}
	return slots
}

// CountSlots returns the slots at the given upstreams as seen by one of several hosts.
func CountSlots(entries []*registry.Entry, now time.Time, upstreamTimeout time.Duration, hosts int) Slots {
	total, others := 0, 0
	for _, e := range entries {
		if !e.Usable(now, upstreamTimeout) {
			continue
		}
		s := e.State()
		capacity := max(s.Capacity, 1)
		total += capacity
		others += min(max(s.InFlight+s.Queued-int(s.LocalInFlight), 0), capacity)
	}
	share := (total + max(hosts, 1) - 1) / max(hosts, 1)
	return Slots{Total: total, Free: total - others, Share: share}
}
