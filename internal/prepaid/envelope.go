package prepaid

import (
	"math"
	"time"
)

// envelope limits what is spent around a report.
type envelope struct {
	// base is what was spent at the report, and the burst; received is what other
	// hosts had given by then. What they gave later is in their envelopes.
	base, rate, clock, received int64
}

// limit is the most that may be spent by now. received is what other hosts have
// given; opened tells that the witnesses have noted the opening of the reserve.
func (e *envelope) limit(now, received int64, opened bool) int64 {
	if e == nil {
		return math.MaxInt64
	}
	age := time.Duration(now - e.clock)
	base := e.base + received - e.received
	switch {
	case age > SoloDelay || opened && age > ReserveDelay:
		return math.MaxInt64
	case opened:
		return base + int64(float64(e.rate)*max(age-OpenDelay, 0).Seconds())
	default:
		return base
	}
}

// covers returns the time after the report at which the envelope allows target, if
// the reserve is opened.
func (e *envelope) covers(target, received int64) time.Duration {
	if e == nil {
		return 0
	}
	lacking := target - (e.base + received - e.received)
	switch {
	case lacking <= 0:
		return 0
	case e.rate <= 0:
		return ReserveDelay
	}
	return min(OpenDelay+time.Duration(float64(lacking)/float64(e.rate)*float64(time.Second)), ReserveDelay)
}

// at returns the envelope as it counts from another report on.
func (e *envelope) at(clock int64) *envelope {
	if e == nil {
		return &envelope{clock: clock}
	}
	return &envelope{base: e.base, rate: e.rate, clock: clock, received: e.received}
}
