package hostsync

import (
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

// Traits returns what this host knows of the requests that crash upstreams.
func (c *Client) Traits() *crashcause.Host { return c.traits }

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

// addCrashes adds to a request the crashes and what this host knows of traits.
func (c *Client) addCrashes(req *controlnode.SyncRequest, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.crashes {
		p.Age = now.Sub(p.at)
		req.Crashes = append(req.Crashes, p.Crash)
	}
	req.Sound, req.Quarantined = c.traits.Report(now)
}

// applyCrashes removes what the leader has received with req, and applies its decision.
func (c *Client) applyCrashes(req *controlnode.SyncRequest, reply *controlnode.SyncReply, now time.Time) {
	c.mu.Lock()
	c.crashes = c.crashes[min(len(req.Crashes), len(c.crashes)):]
	c.mu.Unlock()
	c.traits.Acknowledge()
	c.traits.Apply(peersEpoch(reply), crashcause.Decision{Quarantined: reply.Quarantined, Suspects: reply.Suspects}, now)
}
