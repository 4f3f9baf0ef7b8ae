package admission

import (
	"math"
	"time"
)

const (
	// drainWindow is the time constant of the measured grants.
	drainWindow = 10 * time.Second
	// drainMinTime and drainMinGrants are the least measurement that is relied on.
	drainMinTime   = 2 * time.Second
	drainMinGrants = 8
)

// drain measures the grants per second of a queue while it is not empty.
type drain struct {
	// since is when the queue last ceased to be empty; zero while it is empty.
	since  time.Time
	last   time.Time
	sum    float64
	grants int
}

// begin takes note that the queue is not empty any more.
func (d *drain) begin(now time.Time) {
	if d.since.IsZero() {
		*d = drain{since: now, last: now}
	}
}

// end takes note that the queue is empty.
func (d *drain) end() { d.since = time.Time{} }

// grant takes note of a grant.
func (d *drain) grant(now time.Time) {
	d.sum = d.decayed(now) + 1
	d.last = now
	d.grants++
}

func (d *drain) decayed(now time.Time) float64 {
	return d.sum * math.Exp(-now.Sub(d.last).Seconds()/drainWindow.Seconds())
}

// perSecond returns the measured grants per second; known is false while there
// are too few of them.
func (d *drain) perSecond(now time.Time) (rate float64, known bool) {
	if d.since.IsZero() || d.grants < drainMinGrants || now.Sub(d.since) < drainMinTime {
		return 0, false
	}
	seen := 1 - math.Exp(-now.Sub(d.since).Seconds()/drainWindow.Seconds())
	return d.decayed(now) / (drainWindow.Seconds() * seen), true
}
