package notice

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"
)

const (
	// retention is the time after the latest report for which a notice is kept.
	retention = 10 * time.Minute
	// HintLifetime is the time for which hosts act on what an upstream told other hosts of its
	// leaving. By then its own reports say so, or the hint was wrong.
	HintLifetime = 15 * time.Second
	// endRetention is the time for which hosts are told that a limit has ended.
	endRetention = 10 * time.Second
	// snapshotInterval is the time after which the ages of a snapshot are renewed.
	snapshotInterval = 100 * time.Millisecond
	// maxEntries bounds the table; notices of further upstreams are not shared.
	maxEntries = 4096
)

// entry is the latest notice of an upstream, or the end of it.
type entry struct {
	Report
	at        time.Time
	rotatedAt time.Time
	// leavingAt is when an answer said that the upstream leaves; zero if none did.
	leavingAt time.Time
}

// Table holds the latest notices of all upstreams. Its zero value is ready to use. It is not safe
// for concurrent use.
type Table struct {
	entries  map[string]*entry
	snapshot Snapshot
	// changed reports that the snapshot is outdated.
	changed bool
}

// Apply records a report. Of two reports the one of the later process counts, and of the same
// process the one of the later answer.
func (t *Table) Apply(r Report, now time.Time) {
	at := now.Add(-r.Age)
	known := t.entries[r.Upstream]
	switch {
	case known == nil && !r.Limited && !r.Leaving, known == nil && len(t.entries) >= maxEntries:
		return
	case known == nil:
		if t.entries == nil {
			t.entries = map[string]*entry{}
		}
		known = &entry{rotatedAt: now}
		t.entries[r.Upstream] = known
	case r.StartedMS < known.StartedMS:
		return
	case r.StartedMS > known.StartedMS:
		known.leavingAt = time.Time{}
	}
	t.applyLeaving(known, r, now)
	if r.StartedMS == known.StartedMS && at.Before(known.at) {
		return
	}
	changed := known.Limited != r.Limited || known.RequestRate != r.RequestRate || known.StartedMS != r.StartedMS
	r.Generation = max(r.Generation, known.Generation)
	known.Report, known.at = r, at
	if changed {
		t.changed = true
		klog.InfoS("request limit of an upstream changed", "upstream", r.Upstream, "started_ms", r.StartedMS,
			"limited", r.Limited, "per_second", r.RequestRate, "age_ms", r.Age.Milliseconds())
	}
}

func (t *Table) applyLeaving(known *entry, r Report, now time.Time) {
	if !r.Leaving || !known.leavingAt.IsZero() {
		return
	}
	known.leavingAt = now.Add(-r.LeavingAge)
	t.changed = true
	klog.InfoS("upstream leaves, by its answers", "upstream", r.Upstream, "started_ms", r.StartedMS, "age_ms", r.LeavingAge.Milliseconds())
}

// refresh removes outdated notices, and lets other hosts share the limit of an upstream from which
// no answer has come.
func (t *Table) refresh(now time.Time) {
	for id, e := range t.entries {
		if now.Sub(e.at) > retention {
			delete(t.entries, id)
			t.changed = true
			continue
		}
		latest := e.at
		if e.rotatedAt.After(latest) {
			latest = e.rotatedAt
		}
		if !e.Limited || now.Sub(latest) < e.rotation() {
			continue
		}
		e.Generation++
		e.rotatedAt = now
		t.changed = true
		klog.InfoS("other hosts share the request limit of an upstream", "upstream", id, "generation", e.Generation,
			"answer_age_ms", now.Sub(e.at).Milliseconds())
	}
}

// Snapshot is the limits in force at a time, and those that ended shortly before.
type Snapshot struct {
	// Digest identifies the limits without their ages; 0 if there are none.
	Digest  uint64
	reports []Report
	at      time.Time
}

// NewSnapshot returns a snapshot that another host sent.
func NewSnapshot(digest uint64, reports []Report, at time.Time) Snapshot {
	return Snapshot{digest, reports, at}
}

// Reports returns the notices with their ages, ordered by upstream.
func (s *Snapshot) Reports(now time.Time) []Report {
	list := slices.Clone(s.reports)
	for i := range list {
		list[i].Age += now.Sub(s.at)
		if list[i].Leaving {
			list[i].LeavingAge += now.Sub(s.at)
		}
	}
	return list
}

// Snapshot returns the limits in force. It is renewed when they change, and each snapshotInterval.
func (t *Table) Snapshot(now time.Time) Snapshot {
	if !t.changed && now.Sub(t.snapshot.at) < snapshotInterval {
		return t.snapshot
	}
	t.refresh(now)
	t.changed = false
	t.snapshot = Snapshot{reports: t.current(now), at: now}
	t.snapshot.Digest = digest(t.snapshot.reports)
	return t.snapshot
}

func (t *Table) current(now time.Time) []Report {
	var list []Report
	for _, e := range t.entries {
		r := e.Report
		r.Age, r.LeavingAge = now.Sub(e.at), now.Sub(e.leavingAt)
		r.Leaving = !e.leavingAt.IsZero() && r.LeavingAge < HintLifetime
		if !r.Leaving {
			r.LeavingAge = 0
		}
		if r.Limited || r.Leaving || r.Age < endRetention {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

func digest(list []Report) uint64 {
	if len(list) == 0 {
		return 0
	}
	var data []byte
	for _, r := range list {
		data = append(append(data, r.Upstream...), 0)
		data = binary.AppendVarint(data, r.StartedMS)
		for _, flag := range []bool{r.Limited, r.Leaving} {
			if flag {
				data = append(data, 1)
			}
			data = append(data, 0)
		}
		data = binary.AppendUvarint(data, math.Float64bits(r.RequestRate))
		data = binary.AppendUvarint(data, uint64(r.Generation))
	}
	return max(xxhash.Sum64(data), 1)
}
