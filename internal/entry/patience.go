package entry

import (
	"context"
	"time"
)

// streamIdle is the time without an event after which an upstream counts as silent.
const streamIdle = 10 * time.Second

// watch ends a context when an upstream has been silent for too long.
type watch struct {
	timer  *time.Timer
	cancel context.CancelFunc
}

// newWatch returns a context that ends with parent, or at the end of first
// unless the watch is extended before.
func newWatch(parent context.Context, first time.Duration) (context.Context, *watch) {
	ctx, cancel := context.WithCancel(parent)
	return ctx, &watch{timer: time.AfterFunc(first, cancel), cancel: cancel}
}

// extend notes a sign of life.
func (w *watch) extend() { w.timer.Reset(streamIdle) }

// stop ends the context and frees the timer.
func (w *watch) stop() {
	w.timer.Stop()
	w.cancel()
}

// untilDeadline returns the time until the first byte of the answer is due.
func (x *exchange) untilDeadline() time.Duration { return x.deadline.Sub(x.h.Now()) }
