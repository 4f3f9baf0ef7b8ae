package request

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

// Retention periods of closed records and the timeout of orphans, in milliseconds of
// state time, which is the time of the latest command that the control group has applied.
const (
	// UnkeyedRetentionMS applies to requests without an idempotency key, whose records only
	// their owner refers to.
	UnkeyedRetentionMS = int64(time.Minute / time.Millisecond)
	// RepeatableRetentionMS applies to keyed requests that may be repeated.
	RepeatableRetentionMS = int64(15 * time.Minute / time.Millisecond)
	// NonRepeatableRetentionMS applies to requests that may not be repeated.
	NonRepeatableRetentionMS = int64(24 * time.Hour / time.Millisecond)
	// OrphanTimeoutMS is the time from the end of a session until its open requests are
	// recovered, unless another session takes them over first.
	OrphanTimeoutMS = int64(2 * time.Minute / time.Millisecond)
)

// Limits on the number of records of each retention class. Beyond the limit, the oldest
// unkeyed record is dropped early; of the other classes, new requests are refused instead.
const (
	MaxUnkeyed       = 100_000
	MaxRepeatable    = 500_000
	MaxNonRepeatable = 250_000
)

// expireBatchSize bounds the records of each class that one call of Expire examines.
const expireBatchSize = 32

// retentionClass is a class of records with the same retention period.
type retentionClass int

const (
	unkeyedClass retentionClass = iota
	repeatableClass
	nonRepeatableClass
	retentionClassCount
)

var retentionMS = [retentionClassCount]int64{UnkeyedRetentionMS, RepeatableRetentionMS, NonRepeatableRetentionMS}

var defaultRecordLimits = [retentionClassCount]int{MaxUnkeyed, MaxRepeatable, MaxNonRepeatable}

func (r *Record) retentionClass() retentionClass {
	switch {
	case !r.Repeatable:
		return nonRepeatableClass
	case r.Unkeyed:
		return unkeyedClass
	default:
		return repeatableClass
	}
}

// closeEvent records that a record was closed or its retention restarted.
type closeEvent struct {
	id       string
	sequence uint64
}

// orphan is an attempt whose session ended at state time atMS.
type orphan struct {
	id      string
	attempt uint32
	atMS    int64
}

// Table holds the records of all requests and enforces their retention. Its behaviour
// depends only on the records and the sequence number, so that a table loaded from a
// snapshot behaves exactly like the table that the snapshot was taken from.
type Table struct {
	open map[string]*Record
	// bySession holds the ids of the open records of each session.
	bySession map[string]map[string]struct{}
	closed    map[string]encodedRecord
	// closeEvents holds the close events of each retention class, oldest first. Outdated
	// ones, such as those of reopened records, are skipped.
	closeEvents [retentionClassCount]queue[closeEvent]
	// recordCounts is the number of records of each retention class, including open ones.
	recordCounts [retentionClassCount]int
	// recordLimits bounds recordCounts.
	recordLimits [retentionClassCount]int
	orphans      queue[orphan]
	sequence     uint64
}

// NewTable returns an empty table with the default limits.
func NewTable() *Table {
	return &Table{
		open:         make(map[string]*Record),
		bySession:    make(map[string]map[string]struct{}),
		closed:       make(map[string]encodedRecord),
		recordLimits: defaultRecordLimits,
	}
}

// Sequence returns the sequence number, which is part of a snapshot.
func (t *Table) Sequence() uint64 { return t.sequence }

// Len returns the number of open and closed records.
func (t *Table) Len() int { return len(t.open) + len(t.closed) }

// Get returns the record with the given id, or nil. A closed record is returned as a copy;
// changes to it are stored only by Reopen or Retain.
func (t *Table) Get(id string) *Record {
	if r, ok := t.open[id]; ok {
		return r
	}
	if e, ok := t.closed[id]; ok {
		return e.decode()
	}
	return nil
}

// All iterates over the records, ordered by id. Closed records are decoded one at a time.
func (t *Table) All() iter.Seq[*Record] {
	return func(yield func(*Record) bool) {
		for _, id := range t.ids() {
			if !yield(t.Get(id)) {
				return
			}
		}
	}
}

func (t *Table) ids() []string {
	ids := slices.AppendSeq(make([]string, 0, t.Len()), maps.Keys(t.open))
	ids = slices.AppendSeq(ids, maps.Keys(t.closed))
	slices.Sort(ids)
	return ids
}

// HasOpenInBudget reports whether there is an open record that belongs to the budget.
func (t *Table) HasOpenInBudget(budget string) bool {
	for _, r := range t.open {
		if r.Budget == budget {
			return true
		}
	}
	return false
}

// Full reports whether the number of records in r's retention class has reached its limit
// and none of them may be dropped early.
func (t *Table) Full(r *Record) bool {
	class := r.retentionClass()
	return class != unkeyedClass && t.recordCounts[class] >= t.recordLimits[class]
}

// Add adds a new open record.
func (t *Table) Add(r *Record) {
	t.recordCounts[r.retentionClass()]++
	t.addOpen(r)
}

// Reopen calls change, which must open the closed record r, and moves r to the open records.
func (t *Table) Reopen(r *Record, change func()) {
	delete(t.closed, r.ID)
	change()
	t.addOpen(r)
}

// ChangeOwner calls change, which may change the owner of the open record r, and updates
// the index by session.
func (t *Table) ChangeOwner(r *Record, change func()) {
	t.removeOpen(r)
	change()
	t.addOpen(r)
}

// Close moves r, which was closed at nowMS, from the open to the closed records.
func (t *Table) Close(r *Record, nowMS int64) {
	t.removeOpen(r)
	t.Retain(r, nowMS)
}

// AddClosed adds a new record that was closed at nowMS.
func (t *Table) AddClosed(r *Record, nowMS int64) {
	t.recordCounts[r.retentionClass()]++
	t.Retain(r, nowMS)
}

// Retain stores the closed record r and starts its retention at nowMS. If there are too
// many unkeyed records, it drops the oldest.
func (t *Table) Retain(r *Record, nowMS int64) {
	t.sequence++
	r.ClosedMS = nowMS
	r.CloseSequence = t.sequence
	t.putClosed(r, encodeRecord(r))
	if class := r.retentionClass(); class == unkeyedClass && t.recordCounts[class] > t.recordLimits[class] {
		t.dropOldest(class)
	}
}

func (t *Table) putClosed(r *Record, e encodedRecord) {
	t.closed[r.ID] = e
	t.closeEvents[r.retentionClass()].push(closeEvent{r.ID, r.CloseSequence})
}

// OpenInSession returns the open records of a session, ordered by id.
func (t *Table) OpenInSession(session string) []*Record {
	ids := slices.Sorted(maps.Keys(t.bySession[session]))
	records := make([]*Record, len(ids))
	for i, id := range ids {
		records[i] = t.open[id]
	}
	return records
}

// MarkOrphaned marks an open record whose session ended at nowMS.
func (t *Table) MarkOrphaned(r *Record, nowMS int64) {
	r.Orphaned = true
	r.OrphanedMS = nowMS
	t.orphans.push(orphan{r.ID, r.Attempt, nowMS})
}

// DueOrphans removes from the queue the orphans whose timeout has passed, and returns them
// ordered by the end of their sessions and then by id.
func (t *Table) DueOrphans(nowMS int64) []*Record {
	var due []*Record
	for t.orphans.len() > 0 && t.orphans.first().atMS+OrphanTimeoutMS <= nowMS {
		o := t.orphans.pop()
		if r := t.open[o.id]; r != nil && r.Orphaned && r.Attempt == o.attempt {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, compareOrphans)
	return due
}

func compareOrphans(a, b *Record) int {
	return cmp.Or(cmp.Compare(a.OrphanedMS, b.OrphanedMS), cmp.Compare(a.ID, b.ID))
}

// Expire drops closed records whose retention has ended, up to expireBatchSize of each class.
// Keyed records for which hold returns true are retained for another period; hold may
// be nil.
func (t *Table) Expire(nowMS int64, hold func(*Record) bool) {
	for class := range retentionClassCount {
		for range expireBatchSize {
			id, found := t.oldest(class)
			e := t.closed[id]
			if !found || e.closedMS+retentionMS[class] > nowMS {
				break
			}
			if hold != nil && class != unkeyedClass {
				if r := e.decode(); hold(r) {
					t.Retain(r, nowMS)
					continue
				}
			}
			t.dropOldest(class)
		}
	}
}

// oldest returns the id of the closed record of a class whose retention began first.
func (t *Table) oldest(class retentionClass) (id string, found bool) {
	q := &t.closeEvents[class]
	for q.len() > 0 {
		c := q.first()
		if e, ok := t.closed[c.id]; ok && e.sequence == c.sequence {
			return c.id, true
		}
		q.pop()
	}
	return "", false
}

func (t *Table) dropOldest(class retentionClass) {
	id, _ := t.oldest(class)
	t.closeEvents[class].pop()
	t.recordCounts[class]--
	delete(t.closed, id)
}

func (t *Table) addOpen(r *Record) {
	t.open[r.ID] = r
	ids := t.bySession[r.Session]
	if ids == nil {
		ids = make(map[string]struct{})
		t.bySession[r.Session] = ids
	}
	ids[r.ID] = struct{}{}
}

func (t *Table) removeOpen(r *Record) {
	delete(t.open, r.ID)
	ids := t.bySession[r.Session]
	delete(ids, r.ID)
	if len(ids) == 0 {
		delete(t.bySession, r.Session)
	}
}
