package entry

import (
	"context"
	"time"
)

// streamIdleTimeout is the longest accepted time between two events of a stream.
const streamIdleTimeout = 10 * time.Second

// watchdog cancels a context when an upstream has sent nothing for too long.
type watchdog struct {
	timer  *time.Timer
	cancel context.CancelFunc
}

// newWatchdog returns a context that is cancelled with parent or when the watchdog
// expires, which it does after initialTimeout unless it is reset before.
func newWatchdog(parent context.Context, initialTimeout time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancel(parent)
	return ctx, &watchdog{timer: time.AfterFunc(initialTimeout, cancel), cancel: cancel}
}

// reset restarts the timer with streamIdleTimeout.
func (w *watchdog) reset() { w.timer.Reset(streamIdleTimeout) }

// stop cancels the context and stops the timer.
func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel()
}

// timeToDeadline returns the time left until the first event of the answer is due.
func (x *exchange) timeToDeadline() time.Duration { return x.deadline.Sub(x.h.Now()) }
