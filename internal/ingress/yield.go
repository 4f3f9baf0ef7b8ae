package ingress

import (
	"cmp"
	"time"
)

// makeRoom makes a client able to hold an amount, and returns the clients that have to be evicted for it. If there is no room it
// evicts none.
func (b *Budget) makeRoom(a *account, bytes int64, now time.Time) (ok bool, victims []*account) {
	need := bytes - a.bytes
	limit := b.memoryLimit(a.class)
	if bytes > smallBytes {
		limit -= limit / smallReserve
		if !b.withinShare(a, need, limit, now) {
			return false, nil
		}
	}
	missing := b.used[a.class] + need - limit
	if missing <= 0 {
		return true, nil
	}
	for missing > 0 {
		v := b.stalled(a, now, bySize)
		if v == nil {
			v = b.overShare(a, need)
		}
		if v == nil {
			for _, spared := range victims { // no room even without them
				spared.closed = false
			}
			return false, nil
		}
		v.closed = true // so that it is not chosen again
		victims = append(victims, v)
		missing -= v.bytes
	}
	for _, v := range victims {
		v.closed, v.evictedIn = false, v.phase
		b.remove(v)
	}
	return true, victims
}

// withinShare reports whether a large request stays within the share of its organisation or address, if others were refused
// memory lately. One request at a time may exceed it.
func (b *Budget) withinShare(a *account, need, limit int64, now time.Time) bool {
	own := b.groupOf(a.group)
	if own.used <= a.bytes {
		return true
	}
	sharing := int64(1)
	contended := false
	for _, g := range b.groups {
		refused := now.Sub(g.refusedAt) < contentionTime
		if g == own {
			continue
		}
		if refused || g.used > smallBytes {
			sharing++
		}
		contended = contended || refused
	}
	return !contended || own.used+need <= limit/sharing
}

// stalled returns the client of the same class that makes no progress and is to yield first, or nil.
func (b *Budget) stalled(a *account, now time.Time, compare func(v, w *account) int) (first *account) {
	for v := range b.accounts {
		if v == a || v.closed || v.class != a.class || !v.phase.yields() || now.Sub(v.progressAt) < b.stallTime(v) {
			continue
		}
		if first == nil || compare(v, first) < 0 {
			first = v
		}
	}
	return first
}

func (b *Budget) stallTime(a *account) time.Duration {
	if a.class == Hosts && a.proven {
		return provenHostStallTime
	}
	return b.options.StallTime
}

// overShare returns the largest client of the organisation or address that holds most, if that is more than what the group of a
// would hold; otherwise nil.
func (b *Budget) overShare(a *account, need int64) (largest *account) {
	would := b.groupOf(a.group).used + need
	for v := range b.accounts {
		if v == a || v.closed || v.class != a.class || !v.phase.yields() || v.group == a.group || v.class == Hosts {
			continue
		}
		if b.groupOf(v.group).used-v.bytes < would {
			continue
		}
		if largest == nil || bySize(v, largest) < 0 {
			largest = v
		}
	}
	return largest
}

// bySize orders clients by what they hold, most first, and byAge by the time without progress, longest first, those that have sent
// a whole request last.
func bySize(v, w *account) int {
	return cmp.Or(cmp.Compare(w.bytes, v.bytes), v.progressAt.Compare(w.progressAt))
}

func byAge(v, w *account) int {
	if v.proven != w.proven {
		if v.proven {
			return 1
		}
		return -1
	}
	return v.progressAt.Compare(w.progressAt)
}
