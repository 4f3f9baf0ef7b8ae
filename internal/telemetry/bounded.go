package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queuedLines is the number of lines that wait for a slow output.
	queuedLines = 1024
	// linesPerSecond bounds the lines that are written, and burstLines those at once.
	linesPerSecond = 300
	burstLines     = 900
)

// BoundedWriter passes lines on to a writer without ever blocking the caller. It
// drops lines beyond a rate, or when the writer is slow, and says how many.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.Mutex
	tokens float64
	filled time.Time
	closed bool
}

// NewBoundedWriter returns a writer to out. Close writes what waits.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{
		lines: make(chan []byte, queuedLines), done: make(chan struct{}),
		tokens: burstLines, filled: time.Now(),
	}
	go w.run(out)
	return w
}

// Write implements io.Writer; it never fails.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(burstLines, w.tokens+now.Sub(w.filled).Seconds()*linesPerSecond)
	w.filled = now
	if w.tokens < 1 || w.closed {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
		w.tokens--
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *BoundedWriter) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
		_, _ = out.Write(line) // there is nowhere to report a failure of the log
	}
}

// Close writes the lines that wait and ends the writer.
func (w *BoundedWriter) Close() {
	w.mu.Lock()
	closed := w.closed
	w.closed = true
	if !closed {
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}
