// Package presence keeps the upstreams that reported to the control hosts. It
// orders reports by the start of the upstream's process and their sequence, and
// numbers the changes, so that followers can tell whether there is anything new.
package presence

import (
	"maps"
	"slices"
	"time"
)

const (
	// SilentAfter is the time without a report after which an upstream counts as
	// silent: three heartbeats of the users' upstreams, which may arrive seconds late.
	SilentAfter = 4 * time.Second
	// retention is how long an upstream that left or fell silent is remembered, so
	// that a late report does not bring it back.
	retention = 5 * time.Minute
)

// State is an upstream's own word on whether it takes new work.
type State uint8

// The states of an upstream.
const (
	Ready State = iota + 1
	Draining
	// Gone upstreams have left, or were replaced by a later process.
	Gone
)

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// Upstream is one process of an upstream as it described itself.
type Upstream struct {
	ID      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint,omitempty"`
	Service string `cbor:"3,keyasint,omitempty"`
	Zone    string `cbor:"4,keyasint,omitempty"`
	Slots   int    `cbor:"5,keyasint,omitempty"`
	State   State  `cbor:"6,keyasint"`
	// Started is the upstream's start in Unix ms, by its own clock.
	Started int64 `cbor:"7,keyasint"`
	// Sequence rises with each report of a process.
	Sequence int64 `cbor:"8,keyasint"`
}

// Record is an upstream with what the table adds.
type Record struct {
	Upstream
	// Seen is when the latest report arrived.
	Seen time.Time
	// Silent tells that the latest report is older than SilentAfter.
	Silent bool
	// Revision is the number of the latest change of anything but Sequence and Seen.
	Revision uint64
}

// Table holds the reports. It has no lock and no clock.
type Table struct {
	records  map[string]*Record
	revision uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[string]*Record{}} }

// Revision returns the number of the latest change.
func (t *Table) Revision() uint64 { return t.revision }

// Record returns the record of an upstream, or nil.
func (t *Table) Record(id string) *Record { return t.records[id] }

// Report takes in a report and tells whether it was later than what is known.
// A departure has state Gone and may lack everything but the id and the start.
func (t *Table) Report(u Upstream, now time.Time) bool {
	old := t.records[u.ID]
	if old == nil {
		t.store(&Record{Upstream: u, Seen: now})
		t.retire(u)
		return true
	}
	if !follows(&old.Upstream, &u) {
		return false
	}
	next := merge(old, u)
	next.Seen = now
	if same(&old.Upstream, &next.Upstream) && !old.Silent {
		old.Seen, old.Sequence = now, u.Sequence
		return true
	}
	t.store(next)
	t.retire(next.Upstream)
	return true
}

// follows tells whether u is later than old. A departure carries no sequence of
// its own and follows every report of its process.
func follows(old, u *Upstream) bool {
	if u.Started != old.Started {
		return u.Started > old.Started
	}
	if u.State == Gone {
		return old.State != Gone
	}
	return u.Sequence > old.Sequence
}

// merge applies u to old. Draining and leaving are final for a process.
func merge(old *Record, u Upstream) *Record {
	if u.Started != old.Started {
		return &Record{Upstream: u}
	}
	if u.State == Gone {
		next := *old
		next.State = Gone
		return &next
	}
	u.State = max(u.State, old.State)
	return &Record{Upstream: u}
}

func same(a, b *Upstream) bool {
	x, y := *a, *b
	x.Sequence, y.Sequence = 0, 0
	return x == y
}

// retire marks earlier processes at the address of u as gone.
func (t *Table) retire(u Upstream) {
	if u.State == Gone {
		return
	}
	for id, r := range t.records {
		if id != u.ID && r.Address == u.Address && r.State != Gone && r.Started < u.Started {
			next := *r
			next.State = Gone
			t.store(&next)
		}
	}
}

func (t *Table) store(r *Record) {
	t.revision++
	r.Revision = t.revision
	t.records[r.ID] = r
}

// Expire marks silent upstreams, and forgets those that were heard of long ago. It
// returns the ids of those that fell silent.
func (t *Table) Expire(now time.Time) []string {
	var silent []string
	for id, r := range t.records {
		age := now.Sub(r.Seen)
		switch {
		case age > retention:
			delete(t.records, id)
		case r.State != Gone && !r.Silent && age > SilentAfter:
			next := *r
			next.Silent = true
			t.store(&next)
			silent = append(silent, id)
		}
	}
	return silent
}

// Since returns the records that changed after a revision, in no particular order.
func (t *Table) Since(revision uint64) []*Record {
	var changed []*Record
	for _, r := range t.records {
		if r.Revision > revision {
			changed = append(changed, r)
		}
	}
	return changed
}

// Set takes a record over from another table.
func (t *Table) Set(r Record) { t.store(&r) }

// All returns every record, in no particular order.
func (t *Table) All() []*Record { return slices.Collect(maps.Values(t.records)) }
