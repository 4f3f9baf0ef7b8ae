package request

import (
	"cmp"
	"iter"
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
	open map[string]*Record
	// bySession holds the ids of open records by session.
	bySession map[string]map[string]struct{}
	closed    map[string]packed
	// closings holds the closings of each retention class, oldest first. Those
	// of records that were opened again are skipped.
	closings [retentions]queue[closing]
	// count is the number of records of each retention class, open ones included.
	count [retentions]int
	// most bounds count.
	most     [retentions]int
	orphans  queue[orphan]
	sequence uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		open:      make(map[string]*Record),
		bySession: make(map[string]map[string]struct{}),
		closed:    make(map[string]packed),
		most:      maxRecords,
	}
}

// Sequence returns the sequence number that a snapshot keeps.
func (t *Table) Sequence() uint64 { return t.sequence }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.open) + len(t.closed) }

// Get returns a record, or nil. A closed one is a copy: it is changed by
// Reopen or Renew only.
func (t *Table) Get(id string) *Record {
	if r, ok := t.open[id]; ok {
		return r
	}
	if p, ok := t.closed[id]; ok {
		return p.unpack()
	}
	return nil
}

// All iterates over the records in the order of their ids. Closed ones are
// decoded one by one.
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

// HasOpen tells whether an open record reserves tokens of the budget.
func (t *Table) HasOpen(budget string) bool {
	for _, r := range t.open {
		if r.Budget == budget {
			return true
		}
	}
	return false
}

// Full tells whether the records of r's retention class have reached their
// bound, and none of them may be dropped early.
func (t *Table) Full(r *Record) bool {
	class := r.retention()
	return class != unkeyed && t.count[class] >= t.most[class]
}

// Add takes in a new record that is open.
func (t *Table) Add(r *Record) {
	t.count[r.retention()]++
	t.addOpen(r)
}

// Reopen opens the closed record r by change.
func (t *Table) Reopen(r *Record, change func()) {
	delete(t.closed, r.ID)
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
	t.count[r.retention()]++
	t.Renew(r, nowMS)
}

// Renew keeps the closed record r and starts its retention at nowMS.
func (t *Table) Renew(r *Record, nowMS int64) {
	t.sequence++
	r.ClosedMS = nowMS
	r.CloseSequence = t.sequence
	t.keep(r, pack(r))
	if class := r.retention(); class == unkeyed && t.count[class] > t.most[class] {
		t.dropOldest(class)
	}
}

func (t *Table) keep(r *Record, p packed) {
	t.closed[r.ID] = p
	t.closings[r.retention()].push(closing{r.ID, r.CloseSequence})
}

// OpenOf returns the open records of a session in the order of their ids.
func (t *Table) OpenOf(session string) []*Record {
	ids := slices.Sorted(maps.Keys(t.bySession[session]))
	records := make([]*Record, len(ids))
	for i, id := range ids {
		records[i] = t.open[id]
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

// Expire drops closed records past their retention, a bounded number at a
// time. Keyed records for which hold is true are kept for a further period; a
// nil hold holds none.
func (t *Table) Expire(nowMS int64, hold func(*Record) bool) {
	for class := range retentions {
		for range expireBatch {
			id, found := t.oldest(class)
			p := t.closed[id]
			if !found || p.closedMS+retentionMS[class] > nowMS {
				break
			}
			if hold != nil && class != unkeyed {
				if r := p.unpack(); hold(r) {
					t.Renew(r, nowMS)
					continue
				}
			}
			t.dropOldest(class)
		}
	}
}

// oldest returns the closed record of a class that was closed first.
func (t *Table) oldest(class retention) (id string, found bool) {
	q := &t.closings[class]
	for q.len() > 0 {
		c := q.first()
		if p, ok := t.closed[c.id]; ok && p.sequence == c.sequence {
			return c.id, true
		}
		q.pop()
	}
	return "", false
}

func (t *Table) dropOldest(class retention) {
	id, _ := t.oldest(class)
	t.closings[class].pop()
	t.count[class]--
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
