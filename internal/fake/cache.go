package fake

import (
	"sync"

	"github.com/godwitbend/godwitbend/internal/announce"
)

// prefixCache is a bounded LRU cache of prompt prefix hashes. It records an event
// for each insertion and eviction.
type prefixCache struct {
	mu       sync.Mutex
	capacity int
	// gapEvery, if positive, drops every n-th event.
	gapEvery      uint64
	lru           []uint64
	cached        map[uint64]bool
	lastEvent     uint64
	pendingEvents []announce.CacheEvent
}

func newPrefixCache(capacity int, gapEvery uint64) *prefixCache {
	return &prefixCache{capacity: capacity, gapEvery: gapEvery, cached: map[uint64]bool{}}
}

// lookUpAndStore returns the number of leading blocks of a prompt that are cached, and
// caches all of its blocks.
func (c *prefixCache) lookUpAndStore(hashes []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := 0
	for hits < len(hashes) && c.cached[hashes[hits]] {
		hits++
	}
	for _, p := range hashes {
		c.touch(p)
	}
	return hits
}

func (c *prefixCache) touch(p uint64) {
	if c.cached[p] {
		for i, q := range c.lru {
			if q == p {
				c.lru = append(c.lru[:i], c.lru[i+1:]...)
				break
			}
		}
		c.lru = append(c.lru, p)
		return
	}
	c.cached[p] = true
	c.lru = append(c.lru, p)
	c.addEvent(announce.CacheEvent{Prefix: p})
	for len(c.lru) > c.capacity {
		oldest := c.lru[0]
		c.lru = c.lru[1:]
		delete(c.cached, oldest)
		c.addEvent(announce.CacheEvent{Prefix: oldest, Evicted: true})
	}
}

func (c *prefixCache) addEvent(e announce.CacheEvent) {
	c.lastEvent++
	e.Number = c.lastEvent
	if c.gapEvery > 0 && c.lastEvent%c.gapEvery == 0 {
		return
	}
	c.pendingEvents = append(c.pendingEvents, e)
}

// takeEvents removes and returns at most n pending events.
func (c *prefixCache) takeEvents(n int) []announce.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = min(n, len(c.pendingEvents))
	taken := c.pendingEvents[:n:n]
	c.pendingEvents = c.pendingEvents[n:]
	return taken
}
