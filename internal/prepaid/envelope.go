package prepaid

import (
	"math"
	"time"
)

// envelope bounds the tokens committed after a report.
type envelope struct {
	// base is the number of tokens committed at the report, plus the burst. received is the
	// number received from other hosts by then; later transfers are within the envelopes of
	// their senders.
	base, rate, reportTime, received int64
}

// limit returns the bound on committed tokens at time now. received is the number of
// tokens received from other hosts; reserveOpen means that the witnesses have recorded the
// opening of the reserve.
func (e *envelope) limit(now, received int64, reserveOpen bool) int64 {
	if e == nil {
		return math.MaxInt64
	}
	age := time.Duration(now - e.reportTime)
	base := e.base + received - e.received
	switch {
	case age > UnwitnessedReserveDelay || reserveOpen && age > FullReserveDelay:
		return math.MaxInt64
	case reserveOpen:
		return base + int64(float64(e.rate)*max(age-ReserveOpenDelay, 0).Seconds())
	default:
		return base
	}
}

// timeToAllow returns the time after the report at which the envelope allows target
// committed tokens if the reserve is opened.
func (e *envelope) timeToAllow(target, received int64) time.Duration {
	if e == nil {
		return 0
	}
	lacking := target - (e.base + received - e.received)
	switch {
	case lacking <= 0:
		return 0
	case e.rate <= 0:
		return FullReserveDelay
	}
	return min(ReserveOpenDelay+time.Duration(float64(lacking)/float64(e.rate)*float64(time.Second)), FullReserveDelay)
}

// rebased returns the envelope with the time of a later report.
func (e *envelope) rebased(reportTime int64) *envelope {
	if e == nil {
		return &envelope{reportTime: reportTime}
	}
	return &envelope{base: e.base, rate: e.rate, reportTime: reportTime, received: e.received}
}
