package standby

import (
	"math"
	"time"
)

const (
	// grantShareDivisor bounds the grant of one host to 1/grantShareDivisor of the tokens
	// that remain unused in a budget.
	grantShareDivisor = 64
	// demandHalfLife is the half-life of past demand.
	demandHalfLife = 30 * time.Second
	// minDemandRate is the rate in tokens per second below which demand counts as zero.
	minDemandRate = 0.01
)

// demand is the exponentially decaying rate at which requests on this host reserve tokens of
// a budget.
type demand struct {
	// rate is in tokens per second.
	rate float64
	// largestReservation is the largest reservation in tokens since the rate was last zero.
	largestReservation int64
	updatedAt          time.Time
}

// record adds a reservation at time now.
func (d *demand) record(tokens int64, now time.Time) {
	d.decay(now)
	d.rate += float64(tokens) * math.Ln2 / demandHalfLife.Seconds()
	d.largestReservation = max(d.largestReservation, tokens)
}

// decay reduces the rate by the time since the last update.
func (d *demand) decay(now time.Time) {
	elapsed := now.Sub(d.updatedAt)
	if !d.updatedAt.IsZero() && elapsed > 0 {
		d.rate *= math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
	}
	d.updatedAt = now
	if d.rate < minDemandRate {
		d.rate, d.largestReservation = 0, 0
	}
}

// target returns the tokens that a host's grant should hold of a budget in which unused
// tokens remain: the demand over the horizon, bounded to a small share of unused. A grant
// that does not cover the largest reservation would be useless, so the target is then zero.
func (d *demand) target(unused int64, horizon time.Duration, now time.Time) int64 {
	d.decay(now)
	want := int64(math.Ceil(d.rate * horizon.Seconds()))
	if want > 0 {
		want = max(want, d.largestReservation)
	}
	want = min(want, unused/grantShareDivisor)
	if want < d.largestReservation {
		return 0
	}
	return want
}
