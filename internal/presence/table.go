// Package presence tracks the upstreams that send heartbeats to the control hosts.
// It orders their reports by process start and sequence, and assigns a revision to
// each change, so that followers can request only the changes they lack.
package presence

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// HeartbeatTimeout is the time without a report after which an upstream counts as
	// unresponsive. It spans three heartbeats of the upstreams, which may arrive seconds late.
	HeartbeatTimeout = 4 * time.Second
	// retention is the time for which the record of a terminated or unresponsive
	// upstream is kept, so that a late report does not reactivate the upstream.
	retention = 5 * time.Minute
	// minOutdatedChanges is the number of outdated entries up to which the list of changes is
	// not compacted.
	minOutdatedChanges = 64
)

// State is the reported state of an upstream, which tells whether it accepts new
// requests.
type State uint8

// The states of an upstream.
const (
	Ready State = iota + 1
	Draining
	// Terminated upstreams have left, or were replaced by a later process.
	Terminated
)

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Terminated:
		return "gone"
	}
	return "unknown"
}

// Upstream describes one process of an upstream, as reported by itself.
type Upstream struct {
	ID      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint,omitempty"`
	Service string `cbor:"3,keyasint,omitempty"`
	Zone    string `cbor:"4,keyasint,omitempty"`
	Slots   int    `cbor:"5,keyasint,omitempty"`
	State   State  `cbor:"6,keyasint"`
	// StartedMS is the start of the process in Unix milliseconds, by its own clock.
	StartedMS int64 `cbor:"7,keyasint"`
	// Sequence increases with each report of a process.
	Sequence int64 `cbor:"8,keyasint"`
	// Version is the version of the software that the process runs; empty if unknown.
	Version string `cbor:"9,keyasint,omitempty"`
}

// Record is an upstream with the data that the table adds.
type Record struct {
	Upstream
	// Cold is what the process has reported about its warm-up.
	Cold Coldness
	// ReceivedAt is the time at which the latest report was received.
	ReceivedAt time.Time
	// Unresponsive reports whether the latest report is older than HeartbeatTimeout.
	Unresponsive bool
	// Revision is the revision of the latest change of any field but Sequence and
	// ReceivedAt, and of Cold only if the stated end of the warm-up moved.
	Revision uint64
}

// Table holds the records of all upstreams. It is not safe for concurrent use, and
// has no clock: times are passed in.
type Table struct {
	records  map[string]*Record
	revision uint64
	// byAddress holds the ids of the records with each address.
	byAddress map[string][]string
	// changes lists the changed records in the order of their revisions. A record that changed
	// again has more than one entry, of which only the last one is its current revision.
	changes []*Record
	// digests holds the sums of the digests of the records in each bucket.
	digests [digestBuckets]uint32
	// isService reports whether a service exists; nil if all do.
	isService func(name string) bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[string]*Record{}, byAddress: map[string][]string{}}
}

// RestrictReplacement lets only upstreams of existing services replace others at their addresses.
func (t *Table) RestrictReplacement(isService func(name string) bool) { t.isService = isService }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Revision returns the revision of the latest change.
func (t *Table) Revision() uint64 { return t.revision }

// Record returns the record of an upstream, or nil if there is none.
func (t *Table) Record(id string) *Record { return t.records[id] }

// Apply applies a report and reports whether it is newer than the known state. A
// departure has state Terminated; only its ID and StartedMS need to be set.
func (t *Table) Apply(u Upstream, now time.Time) bool { return t.ApplyReport(u, Coldness{}, now, now) }

// ApplyReport is Apply for a report that was received at time at and states the coldness of the
// process.
func (t *Table) ApplyReport(u Upstream, cold Coldness, at, now time.Time) bool {
	old := t.records[u.ID]
	if old == nil {
		t.store(&Record{Upstream: u, Cold: cold, ReceivedAt: at})
		t.terminateReplaced(u)
		return true
	}
	if !supersedes(&old.Upstream, &u) {
		return false
	}
	next := merge(old, u)
	next.ReceivedAt = at
	next.Cold = cold
	if u.StartedMS == old.StartedMS {
		next.Cold = old.Cold.updated(cold, now)
	}
	if sameExceptSequence(&old.Upstream, &next.Upstream) && !old.Unresponsive && next.Cold == old.Cold {
		old.ReceivedAt, old.Sequence = at, u.Sequence
		return true
	}
	t.store(next)
	t.terminateReplaced(next.Upstream)
	return true
}

// Refresh records that the process of an upstream that started at startedMS reported at time at
// without a change. It is ignored for any other process and if a later report is known.
func (t *Table) Refresh(id string, startedMS int64, at, now time.Time) {
	r := t.records[id]
	if r == nil || r.StartedMS != startedMS || !at.After(r.ReceivedAt) {
		return
	}
	if !r.Unresponsive || now.Sub(at) > HeartbeatTimeout {
		r.ReceivedAt = at
		return
	}
	next := *r
	next.ReceivedAt, next.Unresponsive = at, false
	t.store(&next)
}

// ApplyState applies the state of an upstream as another control host knows it, which does not
// state when the upstream reported. Only a later process, or a later state of a process, is news.
func (t *Table) ApplyState(u Upstream, now time.Time) { t.ApplyStateOf(u, Coldness{}, now) }

// ApplyStateOf is ApplyState with the coldness of the process, of which a later statement is news.
func (t *Table) ApplyStateOf(u Upstream, cold Coldness, now time.Time) {
	old := t.records[u.ID]
	switch {
	case old == nil || u.StartedMS > old.StartedMS:
		u.Sequence = 0
		t.ApplyReport(u, cold, now, now)
	case u.StartedMS == old.StartedMS && (u.State > old.State || cold.Sequence > old.Cold.Sequence):
		next := *old
		next.State = max(u.State, old.State)
		if cold.Sequence > old.Cold.Sequence {
			next.Cold = cold
		}
		t.store(&next)
	}
}

// supersedes reports whether u is newer than old. A departure has no sequence and
// supersedes every report of its process.
func supersedes(old, u *Upstream) bool {
	if u.StartedMS != old.StartedMS {
		return u.StartedMS > old.StartedMS
	}
	if u.State == Terminated {
		return old.State != Terminated
	}
	return u.Sequence > old.Sequence
}

// merge returns old updated by u. Draining and Terminated are final for a process, and a known
// version stays known.
func merge(old *Record, u Upstream) *Record {
	if u.StartedMS != old.StartedMS {
		return &Record{Upstream: u}
	}
	if u.State == Terminated {
		next := *old
		next.State = Terminated
		return &next
	}
	u.State = max(u.State, old.State)
	u.Version = cmp.Or(u.Version, old.Version)
	return &Record{Upstream: u}
}

func sameExceptSequence(a, b *Upstream) bool {
	x, y := *a, *b
	x.Sequence, y.Sequence = 0, 0
	return x == y
}

// terminateReplaced marks earlier processes at the address of u as terminated.
func (t *Table) terminateReplaced(u Upstream) {
	if u.State == Terminated {
		return
	}
	for _, id := range slices.Clone(t.byAddress[u.Address]) {
		r := t.records[id]
		if id != u.ID && r.State != Terminated && r.StartedMS < u.StartedMS {
			if t.isService != nil && !t.isService(u.Service) {
				return
			}
			next := *r
			next.State = Terminated
			t.store(&next)
		}
	}
}

func (t *Table) store(r *Record) {
	old := t.records[r.ID]
	if old == nil || old.Address != r.Address {
		if old != nil {
			t.removeAddress(old)
		}
		t.byAddress[r.Address] = append(t.byAddress[r.Address], r.ID)
	}
	if old != nil {
		t.addDigest(old, -1)
	}
	t.addDigest(r, 1)
	t.revision++
	r.Revision = t.revision
	t.records[r.ID] = r
	t.changes = append(t.changes, r)
	if len(t.changes) > 2*len(t.records)+minOutdatedChanges {
		t.changes = slices.DeleteFunc(t.changes, func(r *Record) bool { return !t.isCurrent(r) })
	}
}

// isCurrent reports whether r is the latest state of its upstream.
func (t *Table) isCurrent(r *Record) bool { return t.records[r.ID] == r }

func (t *Table) remove(r *Record) {
	t.removeAddress(r)
	t.addDigest(r, -1)
	delete(t.records, r.ID)
}

func (t *Table) removeAddress(r *Record) {
	ids := slices.DeleteFunc(t.byAddress[r.Address], func(id string) bool { return id == r.ID })
	if len(ids) == 0 {
		delete(t.byAddress, r.Address)
		return
	}
	t.byAddress[r.Address] = ids
}

// Expire marks upstreams whose heartbeat is overdue as unresponsive and removes the
// records whose retention has expired. It returns the ids of the newly marked ones.
func (t *Table) Expire(now time.Time) []string {
	var unresponsive []string
	for id, r := range t.records {
		age := now.Sub(r.ReceivedAt)
		switch {
		case age > retention:
			t.remove(r)
		case r.State != Terminated && !r.Unresponsive && age > HeartbeatTimeout:
			next := *r
			next.Unresponsive = true
			t.store(&next)
			unresponsive = append(unresponsive, id)
		}
	}
	return unresponsive
}

// ChangedSince returns the records that changed after a revision, in no particular
// order. Its cost grows with the number of these changes, not with the size of the table.
func (t *Table) ChangedSince(revision uint64) []*Record {
	var changed []*Record
	for i := len(t.changes) - 1; i >= 0 && t.changes[i].Revision > revision; i-- {
		if t.isCurrent(t.changes[i]) {
			changed = append(changed, t.changes[i])
		}
	}
	return changed
}

// Set stores a record of another table under the next revision.
func (t *Table) Set(r Record) { t.store(&r) }

// All returns every record, in no particular order.
func (t *Table) All() []*Record { return slices.Collect(maps.Values(t.records)) }
