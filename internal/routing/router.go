// Package routing chooses the upstream for a request.
package routing

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/registry"
)

// Request is what a choice depends on.
type Request struct {
	// Service is the model or plain service asked for.
	Service string
	// Allowed tells whether policy lets an upstream serve the request.
	Allowed func(upstream, zone string) bool
	// Exclude holds ids of upstreams that were tried already.
	Exclude map[string]bool
	// Alone asks for an upstream that nothing else of this host is open at.
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
}

// Router chooses upstreams.
type Router struct {
	settings Settings
}

// New returns a router.
func New(settings Settings) *Router {
	if settings.Freshness <= 0 {
		settings.Freshness = registry.DefaultFreshness
	}
	return &Router{settings: settings}
}

// Choose returns the upstream for req. It returns NoUpstream if none is
// usable, and Forbidden if no policy allows any upstream that serves it.
func (r *Router) Choose(req *Request, snap *registry.Snapshot, now time.Time, random Random) (*registry.Entry, error) {
	pool := snap.Pool(req.Service)
	best := (*registry.Entry)(nil)
	allowed := false
	ties := 0
	for _, e := range pool.All {
		state := e.State()
		if !req.Allowed(e.ID, state.Zone) {
			continue
		}
		allowed = true
		if req.Exclude[e.ID] || !e.Usable(now, r.settings.Freshness) || (req.Alone && e.InFlight() > 0) {
			continue
		}
		switch {
		case best == nil || e.Load() < best.Load():
			best, ties = e, 1
		case e.Load() == best.Load():
			ties++
			if random.IntN(ties) == 0 {
				best = e
			}
		}
	}
	if best != nil {
		return best, nil
	}
	if !allowed && len(pool.All) > 0 {
		return nil, errkind.New(errkind.Forbidden, "no policy allows an upstream for service %q", req.Service)
	}
	return nil, errkind.New(errkind.NoUpstream, "no upstream for service %q takes new work", req.Service)
}
