package fake

import (
	"sync"

	"github.com/godwitbend/godwitbend/internal/announce"
)

// prefixCache keeps the hashes of prompt prefixes in limited memory, least
// recently used out first, and the events of its changes.
type prefixCache struct {
	mu       sync.Mutex
	capacity int
	// gapEvery drops every n-th event from what is published, if positive.
	gapEvery uint64
	order    []uint64
	held     map[uint64]bool
	number   uint64
	pending  []announce.CacheEvent
}

func newPrefixCache(capacity int, gapEvery uint64) *prefixCache {
	return &prefixCache{capacity: capacity, gapEvery: gapEvery, held: map[uint64]bool{}}
}

// use returns how many leading blocks of a prompt are held, and stores them all.
func (c *prefixCache) use(prefixes []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := 0
	for hits < len(prefixes) && c.held[prefixes[hits]] {
		hits++
	}
	for _, p := range prefixes {
		c.touch(p)
	}
	return hits
}

func (c *prefixCache) touch(p uint64) {
	if c.held[p] {
		for i, q := range c.order {
			if q == p {
				c.order = append(c.order[:i], c.order[i+1:]...)
				break
			}
		}
		c.order = append(c.order, p)
		return
	}
	c.held[p] = true
	c.order = append(c.order, p)
	c.publish(announce.CacheEvent{Prefix: p})
	for len(c.order) > c.capacity {
		oldest := c.order[0]
		c.order = c.order[1:]
		delete(c.held, oldest)
		c.publish(announce.CacheEvent{Prefix: oldest, Evicted: true})
	}
}

func (c *prefixCache) publish(e announce.CacheEvent) {
	c.number++
	e.Number = c.number
	if c.gapEvery > 0 && c.number%c.gapEvery == 0 {
		return
	}
	c.pending = append(c.pending, e)
}

// take returns at most n pending events and removes them.
func (c *prefixCache) take(n int) []announce.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = min(n, len(c.pending))
	taken := c.pending[:n:n]
	c.pending = c.pending[n:]
	return taken
}
