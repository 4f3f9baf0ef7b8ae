package standby

import (
	"math"
	"time"
)

const (
	// shareDivisor bounds the grant of one host: at most one part in shareDivisor
	// of what a budget has left.
	shareDivisor = 64
	// demandHalfLife is the time in which a past demand counts half.
	demandHalfLife = 30 * time.Second
	// minDemand is the rate below which a budget needs no grant, in tokens per second.
	minDemand = 0.01
)

// demand is a decaying measure of the tokens that requests reserve on a host.
type demand struct {
	// rate is in tokens per second.
	rate float64
	// largest is the largest reservation seen lately, in tokens.
	largest int64
	at      time.Time
}

// note adds a reservation at time now.
func (d *demand) note(tokens int64, now time.Time) {
	d.decay(now)
	d.rate += float64(tokens) * math.Ln2 / demandHalfLife.Seconds()
	d.largest = max(d.largest, tokens)
}

func (d *demand) decay(now time.Time) {
	elapsed := now.Sub(d.at)
	if !d.at.IsZero() && elapsed > 0 {
		d.rate *= math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
	}
	d.at = now
	if d.rate < minDemand {
		d.rate, d.largest = 0, 0
	}
}

// target returns the grant that a host should hold of a budget that has left
// tokens free: the demand over the horizon, but a small share of what is left.
// A grant that does not cover the largest request is of no use and is not held.
func (d *demand) target(left int64, horizon time.Duration, now time.Time) int64 {
	d.decay(now)
	want := int64(math.Ceil(d.rate * horizon.Seconds()))
	if want > 0 {
		want = max(want, d.largest)
	}
	want = min(want, left/shareDivisor)
	if want < d.largest {
		return 0
	}
	return want
}
