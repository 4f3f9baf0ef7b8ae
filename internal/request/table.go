package request

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Retention of closed records, in milliseconds of state time.
const (
	// UnkeyedRetentionMS keeps the records that only their owner can name.
	UnkeyedRetentionMS = int64(time.Minute / time.Millisecond)
	// RepeatableRetentionMS keeps the records of keyed requests that may be repeated.
	RepeatableRetentionMS = int64(15 * time.Minute / time.Millisecond)
	// NonRepeatableRetentionMS keeps the records of requests that may not be repeated.
	NonRepeatableRetentionMS = int64(24 * time.Hour / time.Millisecond)
	// OrphanTimeoutMS is the time from the end of a session to the recovery of
	// its open requests that nobody took over.
	OrphanTimeoutMS = int64(2 * time.Minute / time.Millisecond)
)

// Bounds on the number of records. A new request is refused rather than a
// keyed record dropped before its time.
const (
	MaxUnkeyed       = 100_000
	MaxRepeatable    = 500_000
	MaxNonRepeatable = 250_000
)

// expireBatch bounds the records that one call of Expire looks at.
const expireBatch = 32

// retention is a class of records that are kept equally long.
type retention int

const (
	unkeyed retention = iota
	repeatable
	nonRepeatable
	retentions
)

var retentionMS = [retentions]int64{UnkeyedRetentionMS, RepeatableRetentionMS, NonRepeatableRetentionMS}

var maxRecords = [retentions]int{MaxUnkeyed, MaxRepeatable, MaxNonRepeatable}

func (r *Record) retention() retention {
	switch {
	case !r.Repeatable:
		return nonRepeatable
	case r.Unkeyed:
		return unkeyed
	default:
		return repeatable
	}
}

// closing is one passage of a record from Open to a closed state.
type closing struct {
	id       string
	sequence uint64
}

// orphan is an attempt whose session has ended.
type orphan struct {
	id      string
	attempt uint32
	atMS    int64
}

// Table holds the records of all requests with their retention. What it does
// depends on the records and the sequence number only, so a table loaded from
// a snapshot goes on as the one that the snapshot was taken of.
type Table struct {
	records map[string]*Record
	// open holds the ids of open records by session.
	open map[string]map[string]struct{}
	// closed holds the closings of each retention class, oldest first. Those
	// of records that were opened again are skipped.
	closed [retentions]queue[closing]
	// count is the number of records of each retention class, open ones included.
	count    [retentions]int
	orphans  queue[orphan]
	sequence uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[string]*Record), open: make(map[string]map[string]struct{})}
}

// Load fills an empty table from a snapshot's records and sequence number.
func (t *Table) Load(records []*Record, sequence uint64) {
	t.sequence = sequence
	var closed, orphans []*Record
	for _, r := range records {
		t.insert(r)
		if r.State != Open {
			closed = append(closed, r)
			continue
		}
		t.addOpen(r)
		if r.Orphaned {
			orphans = append(orphans, r)
		}
	}
	slices.SortFunc(closed, func(a, b *Record) int { return cmp.Compare(a.CloseSequence, b.CloseSequence) })
	for _, r := range closed {
		t.enqueue(r)
	}
	slices.SortFunc(orphans, compareOrphans)
	for _, r := range orphans {
		t.orphans.push(orphan{r.ID, r.Attempt, r.OrphanedMS})
	}
}

// Sequence returns the sequence number that a snapshot keeps.
func (t *Table) Sequence() uint64 { return t.sequence }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Get returns a record, or nil.
func (t *Table) Get(id string) *Record { return t.records[id] }

// Sorted returns all records in the order of their ids.
func (t *Table) Sorted() []*Record {
	return slices.SortedFunc(maps.Values(t.records), func(a, b *Record) int { return cmp.Compare(a.ID, b.ID) })
}

// All calls visit with each record, in no particular order.
func (t *Table) All(visit func(*Record)) {
	for _, r := range t.records {
		visit(r)
	}
}

// Full tells whether the records of r's retention class have reached their
// bound, and none of them may be dropped early.
func (t *Table) Full(r *Record) bool {
	class := r.retention()
	return class != unkeyed && t.count[class] >= maxRecords[class]
}

// Add takes in a new record that is open.
func (t *Table) Add(r *Record) {
	t.insert(r)
	t.addOpen(r)
}

func (t *Table) insert(r *Record) {
	t.records[r.ID] = r
	t.count[r.retention()]++
}

// Reopen opens the closed record r by change.
func (t *Table) Reopen(r *Record, change func()) {
	change()
	t.addOpen(r)
}

// Move changes the owner of the open record r by change.
func (t *Table) Move(r *Record, change func()) {
	t.removeOpen(r)
	change()
	t.addOpen(r)
}

// Close takes note that r, which was open, was closed at nowMS.
func (t *Table) Close(r *Record, nowMS int64) {
	t.removeOpen(r)
	t.Renew(r, nowMS)
}

// AddClosed takes in a new record that was closed at nowMS.
func (t *Table) AddClosed(r *Record, nowMS int64) {
	t.insert(r)
	t.Renew(r, nowMS)
}

// Renew starts the retention of a closed record at nowMS.
func (t *Table) Renew(r *Record, nowMS int64) {
	t.sequence++
	r.ClosedMS = nowMS
	r.CloseSequence = t.sequence
	t.enqueue(r)
	if class := r.retention(); class == unkeyed && t.count[class] > maxRecords[class] {
		t.dropOldest(class)
	}
}

func (t *Table) enqueue(r *Record) {
	t.closed[r.retention()].push(closing{r.ID, r.CloseSequence})
}

// OpenOf returns the open records of a session in the order of their ids.
func (t *Table) OpenOf(session string) []*Record {
	ids := slices.Sorted(maps.Keys(t.open[session]))
	records := make([]*Record, len(ids))
	for i, id := range ids {
		records[i] = t.records[id]
	}
	return records
}

// Orphan marks an open record whose session has ended.
func (t *Table) Orphan(r *Record, nowMS int64) {
	r.Orphaned = true
	r.OrphanedMS = nowMS
	t.orphans.push(orphan{r.ID, r.Attempt, nowMS})
}

// DueOrphans returns the orphans whose time to be taken over has passed, in
// the order of the ends of their sessions and then of their ids.
func (t *Table) DueOrphans(nowMS int64) []*Record {
	var due []*Record
	for t.orphans.len() > 0 && t.orphans.first().atMS+OrphanTimeoutMS <= nowMS {
		o := t.orphans.pop()
		r := t.records[o.id]
		if r != nil && r.State == Open && r.Orphaned && r.Attempt == o.attempt {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, compareOrphans)
	return due
}

func compareOrphans(a, b *Record) int {
	return cmp.Or(cmp.Compare(a.OrphanedMS, b.OrphanedMS), cmp.Compare(a.ID, b.ID))
}

// Expire drops closed records past their retention, a bounded number at a
// time. Keyed records for which hold is true are kept for a further period.
func (t *Table) Expire(nowMS int64, hold func(*Record) bool) {
	for class := range retentions {
		for range expireBatch {
			r := t.oldest(class)
			if r == nil || r.ClosedMS+retentionMS[class] > nowMS {
				break
			}
			if class != unkeyed && hold(r) {
				t.Renew(r, nowMS)
				continue
			}
			t.dropOldest(class)
		}
	}
}

// oldest returns the closed record of a class that was closed first, or nil.
func (t *Table) oldest(class retention) *Record {
	q := &t.closed[class]
	for q.len() > 0 {
		c := q.first()
		r := t.records[c.id]
		if r != nil && r.State != Open && r.CloseSequence == c.sequence {
			return r
		}
		q.pop()
	}
	return nil
}

func (t *Table) dropOldest(class retention) {
	r := t.oldest(class)
	t.closed[class].pop()
	t.count[class]--
	delete(t.records, r.ID)
}

func (t *Table) addOpen(r *Record) {
	ids := t.open[r.Session]
	if ids == nil {
		ids = make(map[string]struct{})
		t.open[r.Session] = ids
	}
	ids[r.ID] = struct{}{}
}

func (t *Table) removeOpen(r *Record) {
	ids := t.open[r.Session]
	delete(ids, r.ID)
	if len(ids) == 0 {
		delete(t.open, r.Session)
	}
}
