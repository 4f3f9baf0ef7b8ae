package hostsync

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/godwitbend/godwitbend/internal/timing"
)

// Intervals between calls to the leader.
const (
	// baseSyncInterval is the time between two calls. A change must be in force within two
	// seconds, and an upstream that leaves receives requests until then. With more than
	// maxHostsAtBaseInterval hosts it grows in proportion, up to maxSyncInterval, to limit
	// the load on the leader.
	baseSyncInterval       = 250 * time.Millisecond
	maxSyncInterval        = 500 * time.Millisecond
	maxHostsAtBaseInterval = 25
	// minSyncInterval is the minimum time between two calls when requests wait for tokens.
	minSyncInterval = 15 * time.Millisecond
	// baseFailureBackoff is the mean pause after a failed call; jitter keeps hosts from
	// calling a starting group all at once. Each further failure multiplies it by
	// failureBackoffFactor, up to maxFailureBackoff. Nine control hosts with 0.12 CPU cores
	// each and 59 gateways elected a leader 1.1 s after the last start; 3.1 s without growth.
	baseFailureBackoff   = 120 * time.Millisecond
	failureBackoffFactor = 1.3
	maxFailureBackoff    = 400 * time.Millisecond
	// The control group counts as reachable for reachableIntervals sync intervals after
	// the latest successful call, plus reachableSlack for the duration of a call.
	reachableIntervals = 2
	reachableSlack     = 100 * time.Millisecond
	// maxConfigurationAge is the time within which a change of the configuration must be in
	// force on all hosts.
	maxConfigurationAge = 2 * time.Second
)

// ConfigurationCurrent reports whether the control group confirmed the configuration within
// maxConfigurationAge. Otherwise a newer version may be in force on other hosts.
func (c *Client) ConfigurationCurrent(now time.Time) bool {
	at := c.lastSync.Load()
	return at != nil && now.Sub(*at) < maxConfigurationAge
}

// ControlReachable reports whether a call to the control group succeeded recently.
func (c *Client) ControlReachable(now time.Time) bool {
	at := c.lastSync.Load()
	return at != nil && now.Sub(*at) < reachableIntervals*c.syncInterval()+reachableSlack
}

// syncInterval returns the time between two calls for the number of hosts in the view.
func (c *Client) syncInterval() time.Duration {
	view := c.view.Load()
	if view == nil || view.Hosts <= maxHostsAtBaseInterval {
		return baseSyncInterval
	}
	return min(baseSyncInterval*time.Duration(view.Hosts)/maxHostsAtBaseInterval, maxSyncInterval)
}

// failureBackoff returns the mean pause after the given number of consecutive failures.
func failureBackoff(failures int) time.Duration {
	pause := float64(baseFailureBackoff) * math.Pow(failureBackoffFactor, float64(failures))
	return time.Duration(min(pause, float64(maxFailureBackoff)))
}

// awaitNextSync waits until the next call is due. AwaitSync can end the wait early, but
// not after a failed call.
func (c *Client) awaitNextSync(ctx context.Context, started time.Time, err error) {
	timer := time.NewTimer(time.Until(started.Add(c.syncInterval())))
	defer timer.Stop()
	if err != nil {
		// Wake-ups are ignored, as an immediate call would probably fail as well.
		mean := failureBackoff(c.consecutiveFailures)
		c.consecutiveFailures++
		timing.Sleep(ctx, mean/2+rand.N(mean))
		return
	}
	c.consecutiveFailures = 0
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.wake:
		if rest := time.Until(started.Add(minSyncInterval)); rest > 0 {
			time.Sleep(rest)
		}
	}
}
