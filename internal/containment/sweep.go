package containment

import (
	"cmp"
	"maps"
	"slices"
)

// Sweep removes the bodies whose retention has expired. It does so at most once
// per sweepIntervalMS.
func (t *Tracker) Sweep(nowMS int64) {
	if nowMS-t.lastSweepMS < sweepIntervalMS {
		return
	}
	t.lastSweepMS = nowMS
	var knownSafe, suspects []*trackedBody
	for _, hash := range slices.Sorted(maps.Keys(t.bodies)) {
		b := t.bodies[hash]
		b.expire(nowMS)
		t.removeIfUnused(b)
		switch {
		case len(b.dispatches) > 0:
		case b.Suspect:
			suspects = append(suspects, b)
		case b.KnownSafe:
			knownSafe = append(knownSafe, b)
		}
	}
	t.evictOldest(knownSafe, maxKnownSafe)
	t.evictOldest(suspects, maxSuspects)
}

// expire drops the state of the body whose retention has expired.
func (b *trackedBody) expire(nowMS int64) {
	b.UnconfirmedRuns = slices.DeleteFunc(b.UnconfirmedRuns, func(run UnconfirmedRun) bool { return run.ExpiresMS <= nowMS })
	if len(b.UnconfirmedRuns) == 0 {
		b.UnconfirmedRuns = nil
	}
	if b.Suspect && b.UpdatedMS+SuspectRetentionMS <= nowMS {
		b.Body = Body{Hash: b.Hash, UnconfirmedRuns: b.UnconfirmedRuns}
	}
	if !b.Suspect && b.UpdatedMS+KnownSafeRetentionMS <= nowMS {
		b.KnownSafe = false
	}
}

func (t *Tracker) evictOldest(idle []*trackedBody, limit int) {
	if len(idle) <= limit {
		return
	}
	slices.SortFunc(idle, func(a, b *trackedBody) int {
		return cmp.Or(cmp.Compare(a.UpdatedMS, b.UpdatedMS), cmp.Compare(a.Hash, b.Hash))
	})
	for _, b := range idle[:len(idle)-limit] {
		delete(t.bodies, b.Hash)
	}
}
