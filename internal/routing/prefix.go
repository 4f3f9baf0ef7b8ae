package routing

import (
	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/registry"
)

const (
	// maxHolders is the number of upstreams that are remembered per prefix.
	maxHolders = 4
	// maxPrefixes bounds the prefixes that are remembered; the oldest go first.
	maxPrefixes = 1 << 16
	// maxSources is the number of upstreams ever seen at which the index starts anew.
	maxSources = 1 << 16
)

// holder is an upstream whose cache is likely to hold a prefix.
type holder struct {
	id          string
	incarnation uint64
	// generation is that of the upstream's events when the holder was noted.
	generation uint32
}

// holders are the upstreams of one prefix.
type holders struct {
	list [maxHolders]holder
	n    int
	// next is overwritten next when the list is full.
	next int
}

// source is the state of one upstream's cache events.
type source struct {
	incarnation uint64
	// last is the number of the latest event.
	last uint64
	// generation rises at each gap: what was noted before may have been evicted.
	generation uint32
}

// prefixIndex knows which caches are likely to hold which prefixes: by cache
// events, which come late and with gaps, and by where requests were sent.
type prefixIndex struct {
	prefixes map[uint64]*holders
	// ring holds the prefixes in order of their first note.
	ring    []uint64
	oldest  int
	sources map[string]*source
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{prefixes: map[uint64]*holders{}, sources: map[string]*source{}}
}

// observe takes in the cache events of an announcement.
func (p *prefixIndex) observe(a *announce.Announcement) {
	s := p.source(a.ID, a.Incarnation)
	for _, event := range a.CacheEvents {
		if event.Number <= s.last {
			continue
		}
		if event.Number > s.last+1 {
			s.generation++
		}
		s.last = event.Number
		if event.Evicted {
			p.remove(event.Prefix, a.ID)
		} else {
			p.note(event.Prefix, holder{a.ID, a.Incarnation, s.generation})
		}
	}
}

// assign takes note that a request with these prefixes is sent to e, whose cache will hold them.
func (p *prefixIndex) assign(prefixes []uint64, e *registry.Entry) {
	if len(prefixes) == 0 {
		return
	}
	incarnation := e.State().Incarnation
	s := p.source(e.ID, incarnation)
	for _, prefix := range prefixes {
		p.note(prefix, holder{e.ID, incarnation, s.generation})
	}
}

func (p *prefixIndex) source(id string, incarnation uint64) *source {
	s := p.sources[id]
	if s == nil {
		if len(p.sources) >= maxSources {
			*p = *newPrefixIndex()
		}
		s = &source{}
		p.sources[id] = s
	}
	if incarnation > s.incarnation {
		*s = source{incarnation: incarnation}
	}
	return s
}

func (p *prefixIndex) note(prefix uint64, noted holder) {
	h := p.prefixes[prefix]
	if h == nil {
		h = p.insert(prefix)
	}
	for i := range h.list[:h.n] {
		if h.list[i].id == noted.id {
			h.list[i] = noted
			return
		}
	}
	if h.n < maxHolders {
		h.list[h.n] = noted
		h.n++
		return
	}
	h.list[h.next] = noted
	h.next = (h.next + 1) % maxHolders
}

// insert adds a prefix in the place of the oldest one if there are too many.
func (p *prefixIndex) insert(prefix uint64) *holders {
	h := &holders{}
	if len(p.ring) < maxPrefixes {
		p.ring = append(p.ring, prefix)
	} else {
		delete(p.prefixes, p.ring[p.oldest])
		p.ring[p.oldest] = prefix
		p.oldest = (p.oldest + 1) % maxPrefixes
	}
	p.prefixes[prefix] = h
	return h
}

func (p *prefixIndex) remove(prefix uint64, id string) {
	h := p.prefixes[prefix]
	if h == nil {
		return
	}
	for i := range h.list[:h.n] {
		if h.list[i].id == id {
			h.n--
			h.list[i] = h.list[h.n]
			h.list[h.n] = holder{}
			h.next = 0
			return
		}
	}
}

// addHolders notes how much of the prompt the candidates hold, and adds the
// upstreams that hold the most of it.
func (c *choice) addHolders() {
	index := c.router.prefixes
	for i := len(c.req.Prefix) - 1; i >= 0; i-- {
		h := index.prefixes[c.req.Prefix[i]]
		if h == nil {
			continue
		}
		for j := range h.list[:h.n] {
			c.addHolder(&h.list[j], i+1)
		}
	}
}

func (c *choice) addHolder(h *holder, matched int) {
	e := c.snap.Entries[h.id]
	if e == nil || e.State().Incarnation != h.incarnation {
		return
	}
	found := c.find(e)
	if found == nil {
		state := e.State()
		if !state.Serves(c.req.Service) || !c.req.Allowed(e.ID, state.Zone) || !c.add(e) {
			return
		}
		found = c.find(e)
	}
	if matched > found.matched {
		found.matched = matched
		found.doubtful = h.generation != c.router.prefixes.sources[h.id].generation
	}
}
