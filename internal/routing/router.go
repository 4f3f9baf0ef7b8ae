// Package routing chooses the upstream for a request: by load, prefix affinity,
// availability zone and health.
package routing

import (
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/registry"
)

// Request is what a choice depends on.
type Request struct {
	// Service is the model or plain service asked for.
	Service string
	// Organisation and Revision name the policy that Allowed stands for, so that
	// its answers can be kept. Without Organisation they are not kept.
	Organisation string
	Revision     uint64
	// Allowed tells whether policy lets an upstream serve the request.
	Allowed func(upstream, zone string) bool
	// Only, if not empty, holds the ids of the only upstreams that may be chosen.
	Only []string
	// Exclude holds ids of upstreams that were tried already.
	Exclude map[string]bool
	// Alone asks for an upstream that has nothing to do.
	Alone bool
	// Prefix holds the hashes of the prompt's first blocks, shortest first.
	Prefix []uint64
}

// Random is the source of random numbers of a choice.
type Random interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}

// Settings of a Router.
type Settings struct {
	// Zone is the host's own availability zone.
	Zone string
	// Freshness is the time without an announcement after which an upstream gets no new work.
	Freshness time.Duration
	// Hosts returns the number of entry hosts that share the upstreams; nil means one.
	Hosts func() int
}

const (
	// samplesPerZone is the number of random upstreams that are compared, from
	// the own zone and from all zones each.
	samplesPerZone = 2
	// sampleTries bounds the random picks for one sample.
	sampleTries = 4
	// maxCandidates bounds the upstreams that are compared.
	maxCandidates = 2*samplesPerZone + maxHolders
)

// Router chooses upstreams. It is safe for concurrent use; time and random
// numbers are passed in.
type Router struct {
	settings Settings

	mu       sync.Mutex
	subsets  subsets
	prefixes *prefixIndex
	health   map[string]*health
	// latency is the mean time to the first byte per service.
	latency map[string]*mean
}

// New returns a router.
func New(settings Settings) *Router {
	if settings.Freshness <= 0 {
		settings.Freshness = registry.DefaultFreshness
	}
	if settings.Hosts == nil {
		settings.Hosts = func() int { return 1 }
	}
	return &Router{
		settings: settings,
		prefixes: newPrefixIndex(),
		health:   map[string]*health{},
		latency:  map[string]*mean{},
	}
}

// Observe takes in the cache events of an announcement.
func (r *Router) Observe(a announce.Announcement, _ time.Time) {
	if len(a.CacheEvents) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefixes.observe(&a)
}

// choice is one choice on its way.
type choice struct {
	router *Router
	req    *Request
	snap   *registry.Snapshot
	now    time.Time
	// hosts is the number of hosts that share the upstreams.
	hosts int
	// anyHealth lets ejected upstreams in.
	anyHealth  bool
	candidates [maxCandidates]candidate
	count      int
}

// candidate is an upstream that may be chosen.
type candidate struct {
	entry *registry.Entry
	// matched is the number of the prompt's blocks that its cache is likely to hold.
	matched int
	// doubtful tells that cache events of the upstream were missed since.
	doubtful bool
}

// Choose returns the upstream for req. It returns NoUpstream if none is usable.
func (r *Router) Choose(req *Request, snap *registry.Snapshot, now time.Time, random Random) (*registry.Entry, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := choice{router: r, req: req, snap: snap, now: now, hosts: r.settings.Hosts()}
	best := c.run(random)
	if best == nil {
		c.anyHealth = true
		best = c.run(random)
	}
	if best == nil {
		return nil, errkind.New(errkind.NoUpstream, "no upstream for service %q takes new work", req.Service)
	}
	r.probe(best, now)
	r.prefixes.assign(req.Prefix, best)
	return best, nil
}

// run returns the cheapest of the candidates, or nil if there is none.
func (c *choice) run(random Random) *registry.Entry {
	c.count = 0
	switch {
	case len(c.req.Only) > 0:
		c.addOnly()
	case c.req.Alone:
		c.addIdle()
	default:
		c.sample(random)
	}
	return c.cheapest()
}

// addOnly adds the upstreams that the request is confined to.
func (c *choice) addOnly() {
	for _, id := range c.req.Only {
		if e, found := c.snap.Entries[id]; found && c.req.Allowed(id, e.State().Zone) {
			c.add(e)
		}
	}
}

// addIdle adds an upstream with the least load for a request that runs alone.
func (c *choice) addIdle() {
	var best *registry.Entry
	for _, e := range c.subset().all {
		if c.eligible(e) && (best == nil || e.Load(c.hosts) < best.Load(c.hosts)) {
			best = e
		}
	}
	if best != nil {
		c.add(best)
	}
}

// sample adds random upstreams of the own zone and of all zones, and those whose
// cache is likely to hold the prompt's prefix.
func (c *choice) sample(random Random) {
	set := c.subset()
	c.addRandom(set.own, random)
	c.addRandom(set.all, random)
	c.addHolders()
	if c.count == 0 {
		c.scan(set.all, random)
	}
}

func (c *choice) addRandom(from []*registry.Entry, random Random) {
	if len(from) == 0 {
		return
	}
	for range samplesPerZone {
		for range sampleTries {
			if c.add(from[random.IntN(len(from))]) {
				break
			}
		}
	}
}

// scan adds the first usable upstreams after a random one.
func (c *choice) scan(all []*registry.Entry, random Random) {
	if len(all) == 0 {
		return
	}
	first := random.IntN(len(all))
	for i := 0; i < len(all) && c.count < samplesPerZone; i++ {
		c.add(all[(first+i)%len(all)])
	}
}

// add adds an upstream if it is eligible; it returns false if it is not, or was added before.
func (c *choice) add(e *registry.Entry) bool {
	if c.count == maxCandidates || c.find(e) != nil || !c.eligible(e) {
		return false
	}
	c.candidates[c.count] = candidate{entry: e}
	c.count++
	return true
}

func (c *choice) find(e *registry.Entry) *candidate {
	for i := range c.candidates[:c.count] {
		if c.candidates[i].entry == e {
			return &c.candidates[i]
		}
	}
	return nil
}

func (c *choice) eligible(e *registry.Entry) bool {
	if c.req.Exclude[e.ID] || !e.Usable(c.now, c.router.settings.Freshness) {
		return false
	}
	if c.req.Alone && e.InFlight() > 0 {
		return false
	}
	return c.anyHealth || c.router.healthy(e, c.now)
}

func (c *choice) subset() *subset {
	return c.router.subsets.get(c.req, c.snap, c.router.settings.Zone)
}
