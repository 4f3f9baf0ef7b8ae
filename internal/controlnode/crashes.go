package controlnode

import "time"

const (
	// quarantineThreshold is the number of upstream processes that must crash while running
	// a request for it to be quarantined.
	quarantineThreshold = 3
	// crashRetention is the time after its latest crash for which a request is tracked.
	crashRetention = 2 * time.Minute
	// maxSuspects is the maximum number of tracked requests.
	maxSuspects = 4096
)

// suspect is a request that was running on upstreams when they crashed.
type suspect struct {
	upstreams map[string]bool
	lastCrash time.Time
}

// crashTracker finds requests that crash every upstream they run on.
type crashTracker struct {
	suspects map[uint64]*suspect
}

func (c *crashTracker) add(crashes []Crash, now time.Time) {
	for _, crash := range crashes {
		if c.suspects == nil {
			c.suspects = map[uint64]*suspect{}
		}
		s := c.suspects[crash.Fingerprint]
		if s == nil {
			c.evict(now)
			s = &suspect{upstreams: map[string]bool{}}
			c.suspects[crash.Fingerprint] = s
		}
		s.lastCrash = now
		s.upstreams[crash.Upstream] = true
	}
}

// evict makes room for a new suspect if the table is full. It removes the expired
// suspects, and if that frees nothing, all of them.
func (c *crashTracker) evict(now time.Time) {
	if len(c.suspects) < maxSuspects {
		return
	}
	for fingerprint, s := range c.suspects {
		if now.Sub(s.lastCrash) > crashRetention {
			delete(c.suspects, fingerprint)
		}
	}
	if len(c.suspects) >= maxSuspects {
		clear(c.suspects)
	}
}

// quarantined returns the fingerprints of the requests that reached quarantineThreshold.
func (c *crashTracker) quarantined(now time.Time) []uint64 {
	var fingerprints []uint64
	for fingerprint, s := range c.suspects {
		if len(s.upstreams) >= quarantineThreshold && now.Sub(s.lastCrash) <= crashRetention {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}
