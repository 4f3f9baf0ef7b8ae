// Package membudget bounds the memory that a process holds for what others send, such as the answers of upstreams or
// the messages of other hosts, which may be large, many at once, or without end. It does no I/O.
package membudget

import (
	"errors"
	"math"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// memoryShare is the part (1 in N) of the process' soft memory limit that ProcessShare returns.
	memoryShare = 6
	// unlimitedShare is the share of a process without a soft memory limit, in bytes.
	unlimitedShare = 32 << 20
	// minProgressBytes is what the owner of an evictable hold must receive in progressTime while others wait, busyTime how
	// long it may be busy with what it has received, and maxDelay how long they wait at most for one hold.
	minProgressBytes = 256 << 10
	progressTime     = 500 * time.Millisecond
	busyTime         = 2 * time.Second
	maxDelay         = 10 * time.Second
	// evictionInterval is the time between two evictions.
	evictionInterval = 100 * time.Millisecond
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

// ErrReleased reports that the hold was released.
var ErrReleased = errors.New("the memory was released")

// Budget is an amount of memory that is shared by holds. Holds wait for memory that others have; they can't deadlock, as
// the largest hold always finds room to grow to the largest size allowed. It is safe for concurrent use.
type Budget struct {
	size      int64
	largest   int64
	allowance int64

	mu        sync.Mutex
	free      int64
	holds     map[*Hold]struct{}
	evictedAt time.Time
	// freed is closed and replaced when memory becomes free.
	freed chan struct{}
}

// New returns a budget of size bytes. A hold is at most largest bytes, and its first allowance bytes don't count, so that
// small holds never wait.
func New(size, largest, allowance int64) *Budget {
	return &Budget{
		size: size, largest: min(largest, size), allowance: allowance,
		free: size, holds: map[*Hold]struct{}{}, freed: make(chan struct{}),
	}
}

// InUse returns what the holds take beyond their allowances, in bytes.
func (b *Budget) InUse() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.size - b.free
}

// Hold is a part of a budget. Its methods but Release must not be called concurrently.
type Hold struct {
	budget *Budget
	waited bool
	// resized is the size beyond the allowance as of the latest Resize.
	resized int64
	// evict is nil if the hold is not evictable.
	evict func()
	// received is what its owner has received, in bytes, and busy reports that it is busy with that.
	received atomic.Int64
	busy     atomic.Bool

	// counted is the size beyond the allowance, 0 once it is released. It and the following are guarded by Budget.mu.
	counted           int64
	waiting, released bool
	// seenAt is when others last waited and delaysSince when they began, checkedAt when enough had last been received, and
	// checkedReceived what it was.
	seenAt, delaysSince, checkedAt time.Time
	checkedReceived                int64
}

// Hold returns an empty hold, which must be resized to 0 at its end.
func (b *Budget) Hold() *Hold { return &Hold{budget: b} }

// EvictableHold returns an empty hold that is released if others wait while its owner makes too little progress. Then evict
// is called, which must stop the use of the memory and must not wait.
func (b *Budget) EvictableHold(evict func()) *Hold { return &Hold{budget: b, evict: evict} }

// Received records that the owner of an evictable hold has received n bytes.
func (h *Hold) Received(n int) { h.received.Add(int64(n)) }

// SetBusy sets whether the owner of an evictable hold is busy with what it has received, so that it can't receive more.
func (h *Hold) SetBusy(busy bool) { h.busy.Store(busy) }

// Release returns the memory for good. It may be called at any time and more than once; other calls of Resize fail then.
func (h *Hold) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.release(h)
}

// Waited reports whether the hold had to wait for memory.
func (h *Hold) Waited() bool { return h.waited }

// Resize sets the size of the hold in bytes. It waits until there is room or cancelled is closed; on an error the size
// stays as it was.
func (h *Hold) Resize(cancelled <-chan struct{}, size int64) error {
	counted := max(0, size-h.budget.allowance)
	switch {
	case counted == h.resized:
		return nil
	case counted > h.budget.largest:
		return ErrTooLarge
	}
	var ticker *time.Ticker
	for {
		freed, err := h.budget.tryResize(h, counted)
		if err != nil {
			return err
		}
		if freed == nil {
			h.resized = counted
			return nil
		}
		h.waited = true
		if ticker == nil {
			ticker = time.NewTicker(evictionInterval)
			defer ticker.Stop()
		}
		select {
		case <-freed:
		case <-ticker.C:
			h.budget.evictSlowest(time.Now())
		case <-cancelled:
			h.budget.endWait(h)
			return eris.Wrapf(ErrCancelled, "wait for %d bytes", size)
		}
	}
}

// tryResize resizes a hold unless it must wait until freed is closed.
func (b *Budget) tryResize(h *Hold, counted int64) (freed <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	grows := counted - h.counted
	switch {
	case h.released:
		return nil, ErrReleased
	case grows > 0 && !b.hasRoom(h, counted):
		h.waiting = true
		return b.freed, nil
	}
	if h.waiting {
		h.waiting = false
		h.restartChecks(time.Now())
	}
	b.setCounted(h, counted)
	return nil, nil
}

func (b *Budget) setCounted(h *Hold, counted int64) {
	grows := counted - h.counted
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
}

func (b *Budget) release(h *Hold) {
	h.released, h.waiting = true, false
	b.setCounted(h, 0)
}

func (b *Budget) endWait(h *Hold) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.waiting = false
}

// evictSlowest releases the largest hold whose owner makes too little progress, if there is one.
func (b *Budget) evictSlowest(now time.Time) {
	if h := b.takeSlowest(now); h != nil {
		h.evict()
	}
}

func (b *Budget) takeSlowest(now time.Time) (slowest *Hold) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for h := range b.holds {
		if h.evict != nil && !h.waiting && h.isSlow(now) && (slowest == nil || h.counted > slowest.counted) {
			slowest = h
		}
	}
	if slowest == nil || now.Sub(b.evictedAt) < evictionInterval {
		return nil
	}
	b.evictedAt = now
	b.release(slowest)
	return slowest
}

// isSlow reports whether the hold delays others and its owner receives less than minProgressBytes in progressTime, is busy for
// over busyTime, or takes over maxDelay in all.
func (h *Hold) isSlow(now time.Time) bool {
	if now.Sub(h.seenAt) > progressTime { // nobody has waited
		h.restartChecks(now)
	}
	h.seenAt = now
	allowed := progressTime
	if h.busy.Load() {
		allowed = busyTime
	}
	received := h.received.Load()
	if received-h.checkedReceived >= minProgressBytes {
		h.checkedAt, h.checkedReceived = now, received
	}
	return now.Sub(h.checkedAt) >= allowed || now.Sub(h.delaysSince) >= maxDelay
}

func (h *Hold) restartChecks(now time.Time) {
	h.delaysSince, h.checkedAt, h.checkedReceived = now, now, h.received.Load()
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
