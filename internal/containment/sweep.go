package containment

import (
	"cmp"
	"maps"
	"slices"
)

// Advance forgets, from time to time, the bodies whose retention has passed.
func (t *Tracker) Advance(nowMS int64) {
	if nowMS-t.lastSweepMS < sweepIntervalMS {
		return
	}
	t.lastSweepMS = nowMS
	var proven, suspects []*tracked
	for _, hash := range slices.Sorted(maps.Keys(t.bodies)) {
		b := t.bodies[hash]
		b.expire(nowMS)
		t.forgetIfIdle(b)
		switch {
		case len(b.open) > 0:
		case b.Suspect:
			suspects = append(suspects, b)
		case b.Proven:
			proven = append(proven, b)
		}
	}
	t.forgetOldest(proven, maxProven)
	t.forgetOldest(suspects, maxSuspects)
}

// expire drops what has been remembered for long enough.
func (b *tracked) expire(nowMS int64) {
	b.Lingering = slices.DeleteFunc(b.Lingering, func(l Lingering) bool { return l.UntilMS <= nowMS })
	if len(b.Lingering) == 0 {
		b.Lingering = nil
	}
	if b.Suspect && b.SeenMS+SuspectRetentionMS <= nowMS {
		b.Body = Body{Hash: b.Hash, Lingering: b.Lingering}
	}
	if !b.Suspect && b.SeenMS+ProvenRetentionMS <= nowMS {
		b.Proven = false
	}
}

func (t *Tracker) forgetOldest(idle []*tracked, most int) {
	if len(idle) <= most {
		return
	}
	slices.SortFunc(idle, func(a, b *tracked) int {
		return cmp.Or(cmp.Compare(a.SeenMS, b.SeenMS), cmp.Compare(a.Hash, b.Hash))
	})
	for _, b := range idle[:len(idle)-most] {
		delete(t.bodies, b.Hash)
	}
}
