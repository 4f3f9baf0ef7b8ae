package routing

import (
	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/registry"
)

const (
	// maxUpstreamsPerPrefix bounds the upstreams recorded for one prompt prefix.
	maxUpstreamsPerPrefix = 4
	// maxPrefixes bounds the indexed prefixes; the oldest are evicted first.
	maxPrefixes = 1 << 16
	// maxEventCursors bounds the tracked upstreams; the index is reset when it is reached.
	maxEventCursors = 1 << 16
)

// cacheLocation is an upstream whose prefix cache is likely to hold a prefix.
type cacheLocation struct {
	id          string
	incarnation uint64
	// epoch is the upstream's event epoch when the location was recorded.
	epoch uint32
}

// cacheLocations lists the upstreams that are likely to cache one prefix.
type cacheLocations struct {
	list  [maxUpstreamsPerPrefix]cacheLocation
	count int
	// next is the index that is overwritten next once the list is full.
	next int
}

// eventCursor is the position in the cache events of one upstream.
type eventCursor struct {
	incarnation uint64
	// lastNumber is the number of the latest event received.
	lastNumber uint64
	// epoch is incremented at each gap, as the missed events may have evicted
	// prefixes that were recorded before.
	epoch uint32
}

// prefixIndex maps prompt prefixes to the upstreams that are likely to cache
// them. It is built from cache events, which arrive late and with gaps, and from
// the upstreams to which requests were routed.
type prefixIndex struct {
	prefixes map[uint64]*cacheLocations
	// ring holds the prefixes in insertion order.
	ring    []uint64
	oldest  int
	cursors map[string]*eventCursor
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{prefixes: map[uint64]*cacheLocations{}, cursors: map[string]*eventCursor{}}
}

// applyEvents applies the cache events of an announcement.
func (p *prefixIndex) applyEvents(a *announce.Announcement) {
	cursor := p.cursor(a.ID, a.Incarnation)
	for _, event := range a.CacheEvents {
		if event.Number <= cursor.lastNumber {
			continue
		}
		if event.Number > cursor.lastNumber+1 {
			cursor.epoch++
		}
		cursor.lastNumber = event.Number
		if event.Evicted {
			p.remove(event.Prefix, a.ID)
		} else {
			p.record(event.Prefix, cacheLocation{a.ID, a.Incarnation, cursor.epoch})
		}
	}
}

// recordAssignment records that e will cache prefixes, as a request with them is routed to it.
func (p *prefixIndex) recordAssignment(prefixes []uint64, e *registry.Entry) {
	if len(prefixes) == 0 {
		return
	}
	incarnation := e.State().Incarnation
	cursor := p.cursor(e.ID, incarnation)
	for _, prefix := range prefixes {
		p.record(prefix, cacheLocation{e.ID, incarnation, cursor.epoch})
	}
}

func (p *prefixIndex) cursor(id string, incarnation uint64) *eventCursor {
	c := p.cursors[id]
	if c == nil {
		if len(p.cursors) >= maxEventCursors {
			*p = *newPrefixIndex()
		}
		c = &eventCursor{}
		p.cursors[id] = c
	}
	if incarnation > c.incarnation {
		*c = eventCursor{incarnation: incarnation}
	}
	return c
}

func (p *prefixIndex) record(prefix uint64, location cacheLocation) {
	locations := p.prefixes[prefix]
	if locations == nil {
		locations = p.insert(prefix)
	}
	for i := range locations.list[:locations.count] {
		if locations.list[i].id == location.id {
			locations.list[i] = location
			return
		}
	}
	if locations.count < maxUpstreamsPerPrefix {
		locations.list[locations.count] = location
		locations.count++
		return
	}
	locations.list[locations.next] = location
	locations.next = (locations.next + 1) % maxUpstreamsPerPrefix
}

// insert adds a prefix; it replaces the oldest one when the index is full.
func (p *prefixIndex) insert(prefix uint64) *cacheLocations {
	locations := &cacheLocations{}
	if len(p.ring) < maxPrefixes {
		p.ring = append(p.ring, prefix)
	} else {
		delete(p.prefixes, p.ring[p.oldest])
		p.ring[p.oldest] = prefix
		p.oldest = (p.oldest + 1) % maxPrefixes
	}
	p.prefixes[prefix] = locations
	return locations
}

func (p *prefixIndex) remove(prefix uint64, id string) {
	locations := p.prefixes[prefix]
	if locations == nil {
		return
	}
	for i := range locations.list[:locations.count] {
		if locations.list[i].id == id {
			locations.count--
			locations.list[i] = locations.list[locations.count]
			locations.list[locations.count] = cacheLocation{}
			locations.next = 0
			return
		}
	}
}

// addPrefixMatches sets the number of prompt blocks that each candidate is likely
// to cache, and adds the upstreams with the longest matches as candidates.
func (c *selection) addPrefixMatches() {
	index := c.router.prefixes
	for i := len(c.req.Prefix) - 1; i >= 0; i-- {
		locations := index.prefixes[c.req.Prefix[i]]
		if locations == nil {
			continue
		}
		for j := range locations.list[:locations.count] {
			c.addPrefixMatch(&locations.list[j], i+1)
		}
	}
}

func (c *selection) addPrefixMatch(location *cacheLocation, matchedBlocks int) {
	e := c.snap.Entries[location.id]
	if e == nil || e.State().Incarnation != location.incarnation {
		return
	}
	match := c.find(e)
	if match == nil {
		state := e.State()
		if !state.Serves(c.req.Service) || !c.req.Allowed(e.ID, state.Zone) || !c.add(e) {
			return
		}
		match = c.find(e)
	}
	if matchedBlocks > match.matchedBlocks {
		match.matchedBlocks = matchedBlocks
		match.uncertain = location.epoch != c.router.prefixes.cursors[location.id].epoch
	}
}
