package hostsync

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/godwitbend/godwitbend/internal/timing"
)

// How often the leader is called.
const (
	// interval is the time between two calls: a change must be in force within two
	// seconds, and an upstream that leaves gets work for as long. In a fleet of more
	// than fullRateHosts it is stretched, up to maxInterval, for the leader's sake.
	interval      = 250 * time.Millisecond
	maxInterval   = 500 * time.Millisecond
	fullRateHosts = 25
	// wakeInterval is the least time between two calls when requests wait for tokens.
	wakeInterval = 15 * time.Millisecond
	// failureInterval is the mean time between two calls after a failure; it is spread,
	// so that many hosts don't call a starting group at the same moment. With each
	// further failure it grows by failureGrowth, up to maxFailureInterval. Nine control
	// hosts, on 0.12 of a core each and called by 59 gateways, elected a leader 3.1 s
	// after the last had started without the growth, and 1.1 s with it.
	failureInterval    = 120 * time.Millisecond
	failureGrowth      = 1.3
	maxFailureInterval = 400 * time.Millisecond
	// touchIntervals is the number of intervals since the latest contact, and touchSlack
	// the time of a call, for which the group counts as reachable.
	touchIntervals = 2
	touchSlack     = 100 * time.Millisecond
)

// InTouch tells whether the control group answered lately.
func (c *Client) InTouch(now time.Time) bool {
	at := c.contacted.Load()
	return at != nil && now.Sub(*at) < touchIntervals*c.interval()+touchSlack
}

// interval returns the time between two calls in a fleet of the present size.
func (c *Client) interval() time.Duration {
	view := c.view.Load()
	if view == nil || view.Hosts <= fullRateHosts {
		return interval
	}
	return min(interval*time.Duration(view.Hosts)/fullRateHosts, maxInterval)
}

// failurePause returns the mean pause after a number of failures in a row.
func failurePause(failures int) time.Duration {
	pause := float64(failureInterval) * math.Pow(failureGrowth, float64(failures))
	return time.Duration(min(pause, float64(maxFailureInterval)))
}

// pause waits until the next call is due. Waiting requests may ask for it early.
func (c *Client) pause(ctx context.Context, started time.Time, err error) {
	timer := time.NewTimer(time.Until(started.Add(c.interval())))
	defer timer.Stop()
	if err != nil {
		// A wake-up would only repeat the failure.
		mean := failurePause(c.failures)
		c.failures++
		timing.Sleep(ctx, mean/2+rand.N(mean))
		return
	}
	c.failures = 0
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.wake:
		if rest := time.Until(started.Add(wakeInterval)); rest > 0 {
			time.Sleep(rest)
		}
	}
}
