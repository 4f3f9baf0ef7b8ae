// Package timing provides sleeps and periodic calls that end with a context, and the time for which the machine
// was suspended.
package timing

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns the time for which the machine has been suspended since its boot, which the
// differences between values of time.Now do not include.
func Suspended() time.Duration {
	return clock(unix.CLOCK_BOOTTIME) - clock(unix.CLOCK_MONOTONIC)
}

func clock(id int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		panic(err) // both are available since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}

// Sleep waits for d or until ctx is done and reports whether ctx is not done. It returns
// immediately if ctx is done or d is not positive.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 || ctx.Err() != nil {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// EveryUntil calls fn once per interval until ctx is done or fn returns false. Calls do
// not overlap; one that takes longer than the interval delays the next.
func EveryUntil(ctx context.Context, interval time.Duration, fn func() bool) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !fn() {
				return
			}
		}
	}
}

// Every calls fn once per interval until ctx is done.
func Every(ctx context.Context, interval time.Duration, fn func()) {
	EveryUntil(ctx, interval, func() bool {
		fn()
		return true
	})
}
