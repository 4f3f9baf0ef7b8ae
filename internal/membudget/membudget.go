// Package membudget bounds the memory that a process holds for what others send, such as the answers of upstreams, which
// may be large, many at once, or without end. It does no I/O.
package membudget

import (
	"errors"
	"math"
	"runtime/debug"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// memoryShare is the part (1 in N) of the process' soft memory limit that ProcessShare returns.
	memoryShare = 6
	// unlimitedShare is the share of a process without a soft memory limit, in bytes.
	unlimitedShare = 32 << 20
)

// ProcessShare returns the memory that a process may hold at a time for what others send, in bytes.
func ProcessShare() int64 {
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return unlimitedShare
	}
	return limit / memoryShare
}

// ErrTooLarge reports a hold that would exceed the largest one allowed.
var ErrTooLarge = errors.New("more memory is needed than one hold may have")

// ErrCancelled reports that no memory became free before the wait for it was cancelled.
var ErrCancelled = errors.New("no memory became free in time")

// Budget is an amount of memory that is shared by holds. Holds wait for memory that others have; they can't deadlock, as
// the largest hold always finds room to grow to the largest size allowed. It is safe for concurrent use.
type Budget struct {
	largest   int64
	allowance int64

	mu    sync.Mutex
	free  int64
	holds map[*Hold]struct{}
	// freed is closed and replaced when memory becomes free.
	freed chan struct{}
}

// New returns a budget of size bytes. A hold is at most largest bytes, and its first allowance bytes don't count, so that
// small holds never wait.
func New(size, largest, allowance int64) *Budget {
	return &Budget{
		largest: min(largest, size), allowance: allowance,
		free: size, holds: map[*Hold]struct{}{}, freed: make(chan struct{}),
	}
}

// Hold is a part of a budget. Its methods must not be called concurrently.
type Hold struct {
	budget *Budget
	// counted is the size beyond the allowance.
	counted int64
	waited  bool
}

// Hold returns an empty hold, which must be resized to 0 at its end.
func (b *Budget) Hold() *Hold { return &Hold{budget: b} }

// Waited reports whether the hold had to wait for memory.
func (h *Hold) Waited() bool { return h.waited }

// Resize sets the size of the hold in bytes. It waits until there is room or cancelled is closed; on an error the size
// stays as it was.
func (h *Hold) Resize(cancelled <-chan struct{}, size int64) error {
	counted := max(0, size-h.budget.allowance)
	switch {
	case counted == h.counted:
		return nil
	case counted > h.budget.largest:
		return ErrTooLarge
	}
	for {
		freed, ok := h.budget.tryResize(h, counted)
		if ok {
			return nil
		}
		h.waited = true
		select {
		case <-freed:
		case <-cancelled:
			return eris.Wrapf(ErrCancelled, "wait for %d bytes", size)
		}
	}
}

// tryResize resizes a hold unless it must wait until freed is closed.
func (b *Budget) tryResize(h *Hold, counted int64) (freed <-chan struct{}, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	grows := counted - h.counted
	if grows > 0 && !b.hasRoom(h, counted) {
		return b.freed, false
	}
	h.counted = counted
	b.free -= grows
	delete(b.holds, h)
	if counted > 0 {
		b.holds[h] = struct{}{}
	}
	if grows < 0 {
		close(b.freed)
		b.freed = make(chan struct{})
	}
	return nil, true
}

// hasRoom reports whether a hold may grow: what is left must let the largest hold grow to the largest size, so that
// there is always one that doesn't wait.
func (b *Budget) hasRoom(h *Hold, counted int64) bool {
	largest := counted
	for other := range b.holds {
		if other != h {
			largest = max(largest, other.counted)
		}
	}
	return b.free-(counted-h.counted) >= b.largest-largest
}
