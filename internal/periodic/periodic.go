// Package periodic runs a function at a steady interval.
package periodic

import (
	"context"
	"time"
)

// Run calls fn once per interval until ctx ends or fn returns false. Calls do
// not overlap; one that takes longer than the interval delays the next.
func Run(ctx context.Context, interval time.Duration, fn func() bool) {
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

// Always calls fn once per interval until ctx ends.
func Always(ctx context.Context, interval time.Duration, fn func()) {
	Run(ctx, interval, func() bool {
		fn()
		return true
	})
}
