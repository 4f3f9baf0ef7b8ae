package linkadmission

import "time"

const (
	// minOpen is the minimum time for which connections are accepted before they are refused
	// again, and maxClosed the maximum time for which they are refused at a stretch. So the host
	// never appears to be down, and measures the delay anew.
	minOpen   = 40 * time.Millisecond
	maxClosed = 300 * time.Millisecond
	// targetDivisor sets the delay, a part of the maximum, to which the queue of the link is
	// drained. It must not become empty, or the link would idle.
	targetDivisor = 2
)

// gate decides whether new connections are accepted. It has no clock: times are passed in.
type gate struct {
	// maxDelay is the queueing delay of the link above which connections are refused.
	maxDelay time.Duration
	closed   bool
	// since is the time of the latest change.
	since time.Time
}

// step returns whether connections are refused from now on, given the delay of the link. They are
// refused until the queue that causes the delay has been worked off down to the target, by what it
// was and by what connections of requests in progress show since.
func (g *gate) step(delay time.Duration, now time.Time) (closed bool) {
	switch {
	case !g.closed && delay > g.maxDelay && now.Sub(g.since) >= minOpen:
		g.closed, g.since = true, now
	case g.closed && (delay <= g.maxDelay/targetDivisor || now.Sub(g.since) >= maxClosed):
		g.closed, g.since = false, now
	}
	return g.closed
}
