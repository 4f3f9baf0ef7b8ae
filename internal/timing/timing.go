// Package timing holds waits that end with a context.
package timing

import (
	"context"
	"time"
)

// Sleep waits for d and tells whether ctx still lives. It does not wait if ctx
// has ended or d is not positive.
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

// EveryUntil calls fn once per interval until ctx ends or fn returns false.
// Calls do not overlap; one that takes longer than the interval delays the next.
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

// Every calls fn once per interval until ctx ends.
func Every(ctx context.Context, interval time.Duration, fn func()) {
	EveryUntil(ctx, interval, func() bool {
		fn()
		return true
	})
}
