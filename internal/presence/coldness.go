package presence

import (
	"math/bits"
	"time"
)

const (
	// minColdnessChange is the time by which the stated end of a warm-up must move to count as a
	// change. Heartbeats that count the same time down differ by less, as they take different times
	// to arrive.
	minColdnessChange = 300 * time.Millisecond
	// MaxColdTime is the longest time for which a process may state that it remains cold.
	MaxColdTime = 10 * time.Minute
)

// Coldness is what a process has reported about its warm-up. Its zero value means that nothing is
// known.
type Coldness struct {
	// Until is the time until which the process is cold, by this host's monotonic clock; zero if it
	// is not.
	Until time.Time
	// Sequence is that of the report by which Until changed last, plus one; 0 if no report stated it.
	Sequence int64
}

// ReportedColdness returns the coldness by a report of a process that states the time for which it
// remains cold.
func ReportedColdness(left time.Duration, u *Upstream, now time.Time) Coldness {
	return NewColdness(left, u.Sequence+1, now)
}

// NewColdness returns the coldness that another host knows, by its Left and Sequence.
func NewColdness(left time.Duration, sequence int64, now time.Time) Coldness {
	if left == 0 || left > MaxColdTime {
		return Coldness{Sequence: sequence}
	}
	return Coldness{Until: now.Add(left), Sequence: sequence}
}

// Known reports whether a report has stated the coldness.
func (c Coldness) Known() bool { return c.Sequence > 0 }

// Left returns the time for which the process remains cold, for NewColdness on another host. It is
// 0 only if the process has reported that it is not cold, and negative after the end of a warm-up.
func (c Coldness) Left(now time.Time) time.Duration {
	if c.Until.IsZero() {
		return 0
	}
	if left := c.Until.Sub(now); left != 0 {
		return left
	}
	return -1
}

// updated returns the coldness of a process after a report with next. A report that only counts the
// same time down changes nothing.
func (c Coldness) updated(next Coldness, now time.Time) Coldness {
	switch {
	case !next.Known() || next.Sequence <= c.Sequence:
		return c
	case !c.Known() || c.moves(next, now):
		return next
	}
	return c
}

// moves reports whether next states another end of the warm-up.
func (c Coldness) moves(next Coldness, now time.Time) bool {
	before, after := max(c.Left(now), 0), max(next.Left(now), 0)
	if before == 0 && after == 0 {
		return false
	}
	return (before - after).Abs() > minColdnessChange
}

// digest returns a part of the digest of a record, which is 0 for processes that have not been cold.
// Hosts compare the report that stated the end, as they have different clocks.
func (c Coldness) digest() uint64 {
	if c.Until.IsZero() {
		return 0
	}
	return bits.RotateLeft64(uint64(c.Sequence)*0x9e3779b97f4a7c15, 17)
}
