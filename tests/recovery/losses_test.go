package recovery_test

import (
	"sync"
	"time"
)

// losses tracks for how long a control host counts as lost: while it is down, frozen or gone, and for
// catchUpTime after it, or its successor, is back. Only one may be lost at a time.
type losses struct {
	mu sync.Mutex
	// lost is set from begin to end.
	lost bool
	// until is when the latest loss stops counting.
	until time.Time
	// overlaps counts losses that began too early: faults of the harness.
	overlaps int
}

// begin records that a host is about to be lost.
func (l *losses) begin(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost || now.Before(l.until) {
		l.overlaps++
	}
	l.lost = true
}

// end records that the host or its successor is back.
func (l *losses) end(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost, l.until = false, now.Add(catchUpTime)
}

// allowed returns from when another host may be lost, and the zero time while one is down.
func (l *losses) allowed() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		return time.Time{}
	}
	return l.until
}
