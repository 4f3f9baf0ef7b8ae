// Package routing selects the upstream for a request by load, prefix-cache
// affinity, availability zone and health.
package routing

import (
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/registry"
)

// Request holds the parameters of an upstream selection.
type Request struct {
	// Service is the requested model or plain service.
	Service string
	// Organisation and Revision identify the policy that Allowed evaluates, and
	// key the cache of its results. Without Organisation nothing is cached.
	Organisation string
	Revision     uint64
	// Allowed reports whether the policy permits an upstream to serve the request.
	Allowed func(upstream, zone string) bool
	// Only, if not empty, restricts the selection to these upstream ids.
	Only []string
	// Exclude holds the ids of upstreams that were tried already.
	Exclude map[string]bool
	// Exclusive restricts the selection to upstreams without in-flight requests of
	// this host.
	Exclusive bool
	// Prefix holds the hashes of the prompt's prefixes, shortest first; the i-th
	// covers the first i+1 blocks.
	Prefix []uint64
}

// Random is the source of randomness of a selection.
type Random interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}

// Settings configures a Router.
type Settings struct {
	// Zone is the host's availability zone.
	Zone string
	// UpstreamTimeout is the time without an announcement after which an upstream
	// receives no new requests; 0 means registry.DefaultUpstreamTimeout.
	UpstreamTimeout time.Duration
	// Hosts returns the number of entry hosts that route to the upstreams; nil means one.
	Hosts func() int
}

const (
	// samplesPerPool is the number of random upstreams that are sampled from the
	// host's zone, and again from all zones.
	samplesPerPool = 2
	// maxSampleAttempts bounds the random draws for one sample.
	maxSampleAttempts = 4
	// maxCandidates bounds the upstreams that are compared by cost.
	maxCandidates = 2*samplesPerPool + maxUpstreamsPerPrefix
)

// Router selects upstreams. It is safe for concurrent use. The time and the
// source of randomness are passed in.
type Router struct {
	settings Settings

	mu       sync.Mutex
	subsets  subsetCache
	prefixes *prefixIndex
	health   map[string]*health
	// latencyByService is the mean time to first byte per service.
	latencyByService map[string]*ewma
}

// New returns a Router; it applies the defaults of Settings.
func New(settings Settings) *Router {
	if settings.UpstreamTimeout <= 0 {
		settings.UpstreamTimeout = registry.DefaultUpstreamTimeout
	}
	if settings.Hosts == nil {
		settings.Hosts = func() int { return 1 }
	}
	return &Router{
		settings:         settings,
		prefixes:         newPrefixIndex(),
		health:           map[string]*health{},
		latencyByService: map[string]*ewma{},
	}
}

// Observe applies the cache events of an announcement to the prefix index.
func (r *Router) Observe(a announce.Announcement, _ time.Time) {
	if len(a.CacheEvents) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefixes.applyEvents(&a)
}

// selection is the state of one call of Choose.
type selection struct {
	router *Router
	req    *Request
	snap   *registry.Snapshot
	now    time.Time
	// hosts is the number of entry hosts that route to the upstreams.
	hosts int
	// includeEjected makes ejected upstreams eligible.
	includeEjected bool
	candidates     [maxCandidates]candidate
	count          int
}

// candidate is an upstream that is compared by cost.
type candidate struct {
	entry *registry.Entry
	// matchedBlocks is the number of leading prompt blocks that its prefix cache is
	// likely to hold.
	matchedBlocks int
	// uncertain reports whether cache events were missed since the match was recorded.
	uncertain bool
}

// Choose returns the upstream for req. It falls back to ejected upstreams, and
// returns an error of kind NoUpstream if no upstream is eligible.
func (r *Router) Choose(req *Request, snap *registry.Snapshot, now time.Time, random Random) (*registry.Entry, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := selection{router: r, req: req, snap: snap, now: now, hosts: r.settings.Hosts()}
	best := c.pick(random)
	if best == nil {
		c.includeEjected = true
		best = c.pick(random)
	}
	if best == nil {
		return nil, errkind.New(errkind.NoUpstream, "no upstream for service %q accepts new requests", req.Service)
	}
	r.recordProbe(best, now)
	r.prefixes.recordAssignment(req.Prefix, best)
	return best, nil
}

// pick collects candidates and returns the cheapest, or nil if there is none.
func (c *selection) pick(random Random) *registry.Entry {
	c.count = 0
	switch {
	case len(c.req.Only) > 0:
		c.addRestricted()
	case c.req.Exclusive:
		c.addLeastLoaded()
	default:
		c.sample(random)
	}
	return c.cheapest()
}

// addRestricted adds the upstreams listed in Request.Only.
func (c *selection) addRestricted() {
	for _, id := range c.req.Only {
		if e, found := c.snap.Entries[id]; found && c.req.Allowed(id, e.State().Zone) {
			c.add(e)
		}
	}
}

// addLeastLoaded adds the eligible upstream with the least load, for exclusive requests.
func (c *selection) addLeastLoaded() {
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

// sample adds random upstreams of the host's zone and of all zones, and those
// that are likely to cache the prompt's prefix.
func (c *selection) sample(random Random) {
	set := c.subset()
	c.addRandom(set.localZone, random)
	c.addRandom(set.all, random)
	c.addPrefixMatches()
	if c.count == 0 {
		c.addSequential(set.all, random)
	}
}

func (c *selection) addRandom(pool []*registry.Entry, random Random) {
	if len(pool) == 0 {
		return
	}
	for range samplesPerPool {
		for range maxSampleAttempts {
			if c.add(pool[random.IntN(len(pool))]) {
				break
			}
		}
	}
}

// addSequential adds the first eligible upstreams from a random position on.
func (c *selection) addSequential(all []*registry.Entry, random Random) {
	if len(all) == 0 {
		return
	}
	first := random.IntN(len(all))
	for i := 0; i < len(all) && c.count < samplesPerPool; i++ {
		c.add(all[(first+i)%len(all)])
	}
}

// add adds e as a candidate. It returns false if e is not eligible, was added
// before, or there is no room.
func (c *selection) add(e *registry.Entry) bool {
	if c.count == maxCandidates || c.find(e) != nil || !c.eligible(e) {
		return false
	}
	c.candidates[c.count] = candidate{entry: e}
	c.count++
	return true
}

func (c *selection) find(e *registry.Entry) *candidate {
	for i := range c.candidates[:c.count] {
		if c.candidates[i].entry == e {
			return &c.candidates[i]
		}
	}
	return nil
}

func (c *selection) eligible(e *registry.Entry) bool {
	if c.req.Exclude[e.ID] || !e.Usable(c.now, c.router.settings.UpstreamTimeout) {
		return false
	}
	if c.req.Exclusive && e.InFlight() > 0 {
		return false
	}
	return c.includeEjected || c.router.admitsRequests(e, c.now)
}

func (c *selection) subset() *subset {
	return c.router.subsets.get(c.req, c.snap, c.router.settings.Zone)
}
