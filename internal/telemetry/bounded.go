package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the number of lines queued for a slow output.
	maxQueuedLines = 1024
	// maxLinesPerSecond and maxBurstLines are the rate and the size of the token bucket
	// that limits written lines.
	maxLinesPerSecond = 300
	maxBurstLines     = 900
)

// BoundedWriter forwards lines to a writer without blocking the caller. It drops lines
// that exceed the rate limit or a full queue, and writes a line with their number.
type BoundedWriter struct {
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	closed     bool
}

// NewBoundedWriter returns a BoundedWriter that writes to out. Close flushes its queue.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{
		queue: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
		tokens: maxBurstLines, refilledAt: time.Now(),
	}
	go w.writeQueued(out)
	return w
}

// Write queues or drops line. It implements io.Writer and never fails.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(maxBurstLines, w.tokens+now.Sub(w.refilledAt).Seconds()*maxLinesPerSecond)
	w.refilledAt = now
	if w.tokens < 1 || w.closed {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
		w.tokens--
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *BoundedWriter) writeQueued(out io.Writer) {
	defer close(w.done)
	for line := range w.queue {
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
		_, _ = out.Write(line) // a failure to write the log cannot be reported anywhere
	}
}

// Close writes the queued lines and stops the writer. Later writes are dropped.
func (w *BoundedWriter) Close() {
	w.mu.Lock()
	closed := w.closed
	w.closed = true
	if !closed {
		close(w.queue)
	}
	w.mu.Unlock()
	<-w.done
}
