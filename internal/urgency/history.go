package urgency

import (
	"math"
	"math/bits"
	"time"
)

const (
	// historyTime is the decay time constant of the counts of a History.
	historyTime = 2 * time.Second
	// minSuccess is the success rate, relative to that of all requests, below which a class of requests
	// is taken to be starved. The bound that callers were promised is 0.5; the rest covers the delay
	// with which the counts follow.
	minSuccess = 0.6
	// minStarvedRequests is the number of recent requests below which a class is not judged.
	minStarvedRequests = 4
	// shortRatio is the ratio of refused requests from which a rank lacks capacity.
	shortRatio = 0.02
	// maxRanks and maxOrganisations bound the ranks and organisations that are told apart.
	maxRanks         = 8
	maxOrganisations = 256
)

// History counts recent requests and refusals by rank, size and organisation. It tells whether there is
// too little capacity for requests of a rank, and which requests are starved. It is not safe for concurrent
// use.
type History struct {
	all           counts
	ranks         [maxRanks]counts
	sizes         map[sizeClass]*counts
	organisations map[string]*counts
}

// sizeClass holds requests of one rank whose cost is equal to within a factor of two.
type sizeClass struct{ rank, magnitude int }

// counts are exponentially decayed numbers of requests.
type counts struct {
	requests, refused float64
	at                time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{sizes: map[sizeClass]*counts{}, organisations: map[string]*counts{}}
}

// Count records the decision on a request.
func (h *History) Count(w Work, refused bool, now time.Time) {
	h.all.count(refused, now)
	h.ranks[rankIndex(w.Rank)].count(refused, now)
	size := sizeOf(w)
	if h.sizes[size] == nil {
		h.sizes[size] = &counts{}
	}
	h.sizes[size].count(refused, now)
	if o := h.organisation(w.Organisation, now); o != nil {
		o.count(refused, now)
	}
}

// organisation returns the counts of an organisation, or nil if too many are known or it has no name.
func (h *History) organisation(name string, now time.Time) *counts {
	if name == "" {
		return nil
	}
	if h.organisations[name] == nil {
		if len(h.organisations) >= maxOrganisations {
			h.forgetIdle(now)
		}
		if len(h.organisations) >= maxOrganisations {
			return nil
		}
		h.organisations[name] = &counts{}
	}
	return h.organisations[name]
}

func (h *History) forgetIdle(now time.Time) {
	for name, c := range h.organisations {
		if now.Sub(c.at) > 4*historyTime {
			delete(h.organisations, name)
		}
	}
}

// Short reports whether requests of the rank of w or of one that precedes it are being refused.
func (h *History) Short(w Work, now time.Time) bool {
	for i := range rankIndex(w.Rank) + 1 {
		if h.ranks[i].short(now) {
			return true
		}
	}
	return false
}

// Starved reports whether the rank of w, requests of its rank and size, or its organisation are refused so
// much more often than all requests that it must be admitted like the most urgent.
func (h *History) Starved(w Work, now time.Time) bool {
	all, known := h.all.success(now)
	if !known {
		return false
	}
	for _, c := range []*counts{&h.ranks[rankIndex(w.Rank)], h.sizes[sizeOf(w)], h.organisations[w.Organisation]} {
		if c == nil {
			continue
		}
		if rate, known := c.success(now); known && rate < minSuccess*all {
			return true
		}
	}
	return false
}

func rankIndex(rank int) int { return min(max(rank, 0), maxRanks-1) }

func sizeOf(w Work) sizeClass {
	return sizeClass{rankIndex(w.Rank), bits.Len64(uint64(max(w.Cost().Milliseconds(), 0)))}
}

func (c *counts) count(refused bool, now time.Time) {
	c.decay(now)
	c.requests++
	if refused {
		c.refused++
	}
}

func (c *counts) decay(now time.Time) {
	if d := now.Sub(c.at); d > 0 {
		factor := math.Exp(-d.Seconds() / historyTime.Seconds())
		c.requests *= factor
		c.refused *= factor
		c.at = now
	}
}

func (c *counts) short(now time.Time) bool {
	c.decay(now)
	return c.requests >= 1 && c.refused > shortRatio*c.requests
}

// success returns the ratio of requests that were not refused; known is false while there are too few.
func (c *counts) success(now time.Time) (ratio float64, known bool) {
	c.decay(now)
	if c.requests < minStarvedRequests {
		return 0, false
	}
	return 1 - c.refused/c.requests, true
}
