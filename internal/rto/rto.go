// Package rto sets timeouts by the duration of recent operations, so that a host whose link is
// congested waits for slow answers instead of giving up on all of them.
package rto

import (
	"sync"
	"time"
)

const (
	// factor is the ratio of the timeout to the duration of recent operations.
	factor = 3
	// decay is the factor applied to the duration of a longer earlier operation.
	decay = 0.75
)

// Estimator sets the timeouts of one kind of operation. It is safe for concurrent use.
type Estimator struct {
	minimum, maximum time.Duration

	mu sync.Mutex
	// duration is that of the recent operations, which a slower one raises at once.
	duration time.Duration
	// timeouts counts the operations that timed out since the last one that succeeded.
	timeouts int
}

// NewEstimator returns an estimator of timeouts from minimum to maximum.
func NewEstimator(minimum, maximum time.Duration) *Estimator {
	return &Estimator{minimum: minimum, maximum: maximum}
}

// Timeout returns the timeout of the next operation.
func (e *Estimator) Timeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	timeout := max(factor*e.duration, e.minimum)
	for range e.timeouts {
		if timeout *= 2; timeout >= e.maximum {
			break
		}
	}
	return min(timeout, e.maximum)
}

// Succeeded records an operation that took d.
func (e *Estimator) Succeeded(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.duration = max(d, time.Duration(float64(e.duration)*decay))
	e.timeouts = 0
}

// TimedOut records an operation that timed out.
func (e *Estimator) TimedOut() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timeouts++
}
