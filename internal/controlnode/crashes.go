package controlnode

import "time"

const (
	// crashLimit is the number of upstream processes that a request may bring down.
	crashLimit = 3
	// crashRetention is how long a request that brought upstreams down is remembered.
	crashRetention = 2 * time.Minute
	// maxSuspects bounds the requests that are remembered.
	maxSuspects = 4096
)

// suspect is a request during which upstreams broke down.
type suspect struct {
	upstreams map[string]bool
	seen      time.Time
}

// crashCounter finds requests that bring down each upstream that runs them.
type crashCounter struct {
	suspects map[uint64]*suspect
}

func (c *crashCounter) add(crashes []Crash, now time.Time) {
	for _, crash := range crashes {
		if c.suspects == nil {
			c.suspects = map[uint64]*suspect{}
		}
		s := c.suspects[crash.Fingerprint]
		if s == nil {
			c.forget(now)
			s = &suspect{upstreams: map[string]bool{}}
			c.suspects[crash.Fingerprint] = s
		}
		s.seen = now
		s.upstreams[crash.Upstream] = true
	}
}

func (c *crashCounter) forget(now time.Time) {
	if len(c.suspects) < maxSuspects {
		return
	}
	for fingerprint, s := range c.suspects {
		if now.Sub(s.seen) > crashRetention {
			delete(c.suspects, fingerprint)
		}
	}
	if len(c.suspects) >= maxSuspects {
		clear(c.suspects)
	}
}

// quarantined returns the requests that reached the limit.
func (c *crashCounter) quarantined(now time.Time) []uint64 {
	var found []uint64
	for fingerprint, s := range c.suspects {
		if len(s.upstreams) >= crashLimit && now.Sub(s.seen) <= crashRetention {
			found = append(found, fingerprint)
		}
	}
	return found
}
