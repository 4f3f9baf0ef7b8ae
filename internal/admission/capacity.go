package admission

import (
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/registry"
)

// capacityAge is how long a computed capacity is used.
const capacityAge = 20 * time.Millisecond

// Places are the places of one service, as one host sees them.
type Places struct {
	// Total is the capacity of the usable upstreams; 0 means that there are none.
	Total int
	// Free is Total less what other hosts use by the latest reports.
	Free int
	// Share is the host's even share of Total.
	Share int
}

// limit returns how many requests the host may have in flight: what the others
// leave free, but never less than its share.
func (p Places) limit() int { return max(p.Free, p.Share) }

// limitLess returns the limit for work that leaves reserved of all places free.
func (p Places) limitLess(reserved int) int {
	if p.Total == 0 {
		return 0
	}
	ownPart := (p.Share*reserved + p.Total - 1) / p.Total
	return max(p.Free-reserved, p.Share-ownPart)
}

// Capacity works out the places of each service from the registry.
type Capacity struct {
	registry *registry.Registry
	// hosts returns the number of entry hosts that share the upstreams.
	hosts func() int
	now   func() time.Time

	mu    sync.Mutex
	known map[string]knownCapacity
}

type knownCapacity struct {
	places Places
	at     time.Time
}

// NewCapacity returns the capacity by registry; now may be nil for time.Now.
func NewCapacity(r *registry.Registry, hosts func() int, now func() time.Time) *Capacity {
	if now == nil {
		now = time.Now
	}
	return &Capacity{registry: r, hosts: hosts, now: now, known: map[string]knownCapacity{}}
}

// Of returns the places of a service.
func (c *Capacity) Of(service string) Places {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if k, found := c.known[service]; found && now.Sub(k.at) < capacityAge {
		return k.places
	}
	pool := c.registry.Snapshot().Pool(service)
	places := CountPlaces(pool.All, now, c.registry.UpstreamTimeout(), c.hosts())
	c.known[service] = knownCapacity{places, now}
	return places
}

// CountPlaces returns the places of one of a number of hosts at the entries.
func CountPlaces(entries []*registry.Entry, now time.Time, freshness time.Duration, hosts int) Places {
	total, others := 0, 0
	for _, e := range entries {
		if !e.Usable(now, freshness) {
			continue
		}
		s := e.State()
		capacity := max(s.Capacity, 1)
		total += capacity
		others += min(max(s.InFlight+s.Queued-int(s.LocalInFlight), 0), capacity)
	}
	share := (total + max(hosts, 1) - 1) / max(hosts, 1)
	return Places{Total: total, Free: total - others, Share: share}
}
