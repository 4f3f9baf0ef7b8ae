package hostsync

import (
	"slices"
	"time"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/crashcause"
)

// maxPendingCrashes bounds the crashes that have yet to be reported.
const maxPendingCrashes = 256

// pendingCrash is a crash that has yet to be reported.
type pendingCrash struct {
	controlnode.Crash
	at time.Time
}

// quarantine is a trait of requests that must not run.
type quarantine struct {
	// epoch is that of the leader that listed it last, and until when it ends if no leader does.
	epoch uint64
	until time.Time
}

// ReportCrash queues the report that an upstream crashed while running a request, and requests a
// call to the leader. If the queue is full, the report is dropped.
func (c *Client) ReportCrash(crash controlnode.Crash, at time.Time) {
	c.mu.Lock()
	if len(c.crashes) < maxPendingCrashes {
		c.crashes = append(c.crashes, pendingCrash{crash, at})
	}
	c.mu.Unlock()
	c.requestSync()
}

// RecordSound records that an answer cleared traits of a request.
func (c *Client) RecordSound(at time.Time, traits ...uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, trait := range traits {
		c.sound.Add(trait, at)
	}
}

// addCrashes adds to a request the crashes and the cleared traits that the leader lacks, and the
// quarantines of the previous leader.
func (c *Client) addCrashes(req *controlnode.SyncRequest, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.crashes {
		p.Age = now.Sub(p.at)
		req.Crashes = append(req.Crashes, p.Crash)
	}
	c.soundSent = map[uint64]time.Time{}
	if view := c.View(); view != nil {
		for trait := range view.Suspects {
			c.addSound(req, trait, now)
		}
		for trait := range view.Quarantined {
			c.addSound(req, trait, now)
		}
	}
	for trait, q := range c.quarantines {
		if q.epoch != c.peersEpoch {
			req.Quarantined = append(req.Quarantined, trait)
		}
	}
}

// addSound adds a trait that an answer has cleared since it was last reported. The caller holds
// c.mu.
func (c *Client) addSound(req *controlnode.SyncRequest, trait uint64, now time.Time) {
	at := c.sound.Latest(trait)
	if at.IsZero() {
		return
	}
	c.soundSent[trait] = at
	if at.After(c.soundReported[trait]) {
		req.Sound = append(req.Sound, controlnode.SoundTrait{Trait: trait, Age: now.Sub(at)})
	}
}

// acknowledgeCrashes removes what the leader has received with req.
func (c *Client) acknowledgeCrashes(req *controlnode.SyncRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = c.crashes[min(len(req.Crashes), len(c.crashes)):]
	c.soundReported = c.soundSent
}

// applyQuarantines returns the traits in quarantine: those that the leader lists, and those of
// earlier leaders until it has taken them over.
func (c *Client) applyQuarantines(reply *controlnode.SyncReply, now time.Time) map[uint64]bool {
	epoch := peersEpoch(reply)
	for trait, q := range c.quarantines {
		ended := q.epoch == epoch && !slices.Contains(reply.Quarantined, trait)
		if ended || now.After(q.until) {
			delete(c.quarantines, trait)
		}
	}
	for _, trait := range reply.Quarantined {
		c.quarantines[trait] = quarantine{epoch: epoch, until: now.Add(crashcause.QuarantineDuration)}
	}
	traits := make(map[uint64]bool, len(c.quarantines))
	for trait := range c.quarantines {
		traits[trait] = true
	}
	return traits
}

func toSet(list []uint64) map[uint64]bool {
	set := make(map[uint64]bool, len(list))
	for _, v := range list {
		set[v] = true
	}
	return set
}
