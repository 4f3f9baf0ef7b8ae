package hostsync

import (
	"cmp"
	"time"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/crashcause"
)

// Traits returns what this host knows of the requests that crash upstreams.
func (c *Client) Traits() *crashcause.Host { return c.traits }

// ReportCrash reports that an upstream crashed while running a request, with a call to the leader
// that is made at once.
func (c *Client) ReportCrash(crash crashcause.Crash) {
	c.traits.ReportCrash(crash)
	c.requestSync()
}

// addCrashes adds what this host knows of the requests that crash upstreams.
func (c *Client) addCrashes(req *controlnode.SyncRequest, now time.Time) {
	report := c.traits.Report(now)
	req.Crashes, req.Sound, req.Quarantined, req.QuarantineAges = report.Crashes, report.Sound, report.Quarantined, report.QuarantineAges
}

// applyCrashes applies the leader's decision on the requests that crash upstreams.
func (c *Client) applyCrashes(reply *controlnode.SyncReply, now time.Time) {
	c.traits.Acknowledge()
	c.traits.Apply(cmp.Or(reply.CrashEpoch, peersEpoch(reply)), crashcause.Decision{Quarantined: reply.Quarantined, Suspects: reply.Suspects}, now)
	if c.traits.Untold() {
		c.requestSync()
	}
}
