package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// stallCheckInterval is the interval at which a process notes that it runs.
	stallCheckInterval = 100 * time.Millisecond
	// catchUpTime is the time in which a process that runs again learns of the signals that were sent while it did not.
	catchUpTime = time.Second
)

// stallDetector notes the times in which the process did not run, to tell how late it may have learned of a signal.
type stallDetector struct {
	mu      sync.Mutex
	lastRan time.Time
	// stalls are those that ended within catchUpTime.
	stalls []stall
	// learned is when the process learned of the signal, and ranBefore what ranBeforeSignal returned then; zero before that.
	learned, ranBefore time.Time
}

// stall is a time in which the process did not run.
type stall struct{ from, to time.Time }

func newStallDetector() *stallDetector { return &stallDetector{lastRan: time.Now()} }

func (d *stallDetector) run(ctx context.Context) { timing.Every(ctx, stallCheckInterval, d.check) }

func (d *stallDetector) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.forget(now)
	if now.Sub(d.lastRan) > 2*stallCheckInterval {
		d.stalls = append(d.stalls, stall{from: d.lastRan, to: now})
	}
	d.lastRan = now
}

// noteSignal records that the process learns of a signal now, which it may act on later, as it still starts.
func (d *stallDetector) noteSignal() {
	ranBefore := d.ranBeforeSignal()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.learned, d.ranBefore = time.Now(), ranBefore
}

// signalTimes returns when the process learned of the signal, or now if there is none, and the time after which that was sent.
func (d *stallDetector) signalTimes() (learned, ranBefore time.Time) {
	d.mu.Lock()
	learned, ranBefore = d.learned, d.ranBefore
	d.mu.Unlock()
	if learned.IsZero() {
		return time.Now(), d.ranBeforeSignal()
	}
	return learned, ranBefore
}

// ranBeforeSignal returns the time after which a signal was sent that the process learns of now, but for delays while
// the process ran.
func (d *stallDetector) ranBeforeSignal() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forget(time.Now())
	if len(d.stalls) > 0 {
		return d.stalls[0].from
	}
	return d.lastRan
}

// forget removes the stalls after which the process has had the time to learn of all signals. The caller holds d.mu.
func (d *stallDetector) forget(now time.Time) {
	d.stalls = slices.DeleteFunc(d.stalls, func(s stall) bool { return now.Sub(s.to) >= catchUpTime })
}
