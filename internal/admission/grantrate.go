package admission

import (
	"math"
	"time"
)

const (
	// grantRateTimeConstant is the time constant of the exponential decay of grants.
	grantRateTimeConstant = 10 * time.Second
	// minGrantRateTime and minGrantRateGrants are the minimum duration and number of
	// grants for a reliable measurement.
	minGrantRateTime   = 2 * time.Second
	minGrantRateGrants = 8
)

// grantRate measures the grants per second of a queue while it is not empty.
type grantRate struct {
	// busySince is when the queue last became non-empty; zero while it is empty.
	busySince time.Time
	lastGrant time.Time
	sum       float64
	grants    int
}

// start begins a measurement when the queue becomes non-empty.
func (r *grantRate) start(now time.Time) {
	if r.busySince.IsZero() {
		*r = grantRate{busySince: now, lastGrant: now}
	}
}

// stop ends the measurement when the queue becomes empty.
func (r *grantRate) stop() { r.busySince = time.Time{} }

// record counts one grant.
func (r *grantRate) record(now time.Time) {
	r.sum = r.decayed(now) + 1
	r.lastGrant = now
	r.grants++
}

func (r *grantRate) decayed(now time.Time) float64 {
	return r.sum * math.Exp(-now.Sub(r.lastGrant).Seconds()/grantRateTimeConstant.Seconds())
}

// perSecond returns the measured grants per second; known is false while the measurement
// is too short or has too few grants.
func (r *grantRate) perSecond(now time.Time) (perSecond float64, known bool) {
	if r.busySince.IsZero() || r.grants < minGrantRateGrants || now.Sub(r.busySince) < minGrantRateTime {
		return 0, false
	}
	seen := 1 - math.Exp(-now.Sub(r.busySince).Seconds()/grantRateTimeConstant.Seconds())
	return r.decayed(now) / (grantRateTimeConstant.Seconds() * seen), true
}
