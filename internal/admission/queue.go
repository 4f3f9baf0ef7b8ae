package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// ID names a request in a queue.
type ID uint64

// Verdict is the decision on one request: it has a place if Err is nil.
type Verdict struct {
	ID  ID
	Err *errkind.Error
}

// Settings of a Queue. Zero fields take their defaults.
type Settings struct {
	// Limit bounds the waiting requests of all classes.
	Limit int
	// PassedOverEvery is the number of grants of which one goes to a class that
	// would have to wait for worthier ones.
	PassedOverEvery int
	// ReserveDivisor bounds the part of the capacity, 1/ReserveDivisor, that is
	// kept free for the worthiest class.
	ReserveDivisor int
}

// Defaults of Settings.
const (
	defaultLimit           = 1024
	defaultPassedOverEvery = 8
	defaultReserveDivisor  = 8
	// topMemory is how long a class counts as present after its last arrival.
	topMemory = time.Minute
	// sweepInterval is the time between two searches for hopeless requests.
	sweepInterval = 20 * time.Millisecond
	// marginDivisor sets the part of a request's time that is left for the
	// upstream's first byte.
	marginDivisor = 20
)

func (s Settings) withDefaults() Settings {
	s.Limit = cmp.Or(s.Limit, defaultLimit)
	s.PassedOverEvery = cmp.Or(s.PassedOverEvery, defaultPassedOverEvery)
	s.ReserveDivisor = cmp.Or(s.ReserveDivisor, defaultReserveDivisor)
	return s
}

// request is one waiting request.
type request struct {
	id ID
	Ticket
	// due is the latest time at which a grant is worthwhile.
	due time.Time
}

// lane is the waiting requests of one organisation in one class.
type lane struct {
	organisation string
	requests     []*request
	// turn is the virtual time of the lane's next grant.
	turn  float64
	drain drain
}

// class is the waiting requests of one priority class.
type class struct {
	name  string
	worth int
	limit int
	// lanes are in order of the organisations' names.
	lanes   []*lane
	waiting int
	// clock is the virtual time of the latest grant.
	clock    float64
	arrivals rate
	drain    drain
	// lastTurn is the number of grants at the class's latest grant out of turn.
	lastTurn int
	// patience is the time that the latest request came with.
	patience time.Duration
}

// Queue decides which request of one service gets a place next. It does
// nothing by itself: time and places are passed in.
type Queue struct {
	settings Settings
	// classes are in order of worth, the worthiest first.
	classes   []*class
	waiting   int
	granted   map[ID]time.Time
	grants    int
	service   mean
	reserve   reserve
	lastSweep time.Time
}

// NewQueue returns an empty queue.
func NewQueue(s Settings) *Queue {
	return &Queue{settings: s.withDefaults(), granted: map[ID]time.Time{}}
}

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return q.waiting }

// InFlight returns the number of requests that have a place.
func (q *Queue) InFlight() int { return len(q.granted) }

// Arrive takes a request in and returns the decisions that follow from it. A
// request without a verdict waits.
func (q *Queue) Arrive(id ID, t Ticket, now time.Time, places Places) []Verdict {
	c := q.class(t)
	c.arrivals.add(now)
	r := &request{id: id, Ticket: t, due: t.Deadline.Add(-t.Deadline.Sub(t.Arrived) / marginDivisor)}
	if !now.Before(r.due) {
		return []Verdict{{id, errkind.New(errkind.DeadlineUnmet, "the deadline has passed")}}
	}
	c.push(r, now)
	q.waiting++
	verdicts := q.Step(now, places)
	if slices.ContainsFunc(verdicts, func(v Verdict) bool { return v.ID == id }) {
		return verdicts
	}
	own, _ := c.lane(r.Organisation)
	wait := q.outlookOf(c, now, places).wait(own, len(own.requests)-1)
	if now.Add(wait * cautionPercent / 100).After(r.due) {
		q.remove(c, r)
		late := now.Add(wait).Sub(r.due)
		return append(verdicts, Verdict{id, errkind.New(errkind.DeadlineUnmet,
			"the queue is too long for the deadline").WithRetryAfter(boundRetry(late))})
	}
	return append(verdicts, q.displace(c, r, places)...)
}

// Step grants what the places allow and refuses what has become hopeless.
func (q *Queue) Step(now time.Time, places Places) []Verdict {
	verdicts := q.sweep(now, places)
	for {
		c, l := q.pick(now, places)
		if c == nil {
			return verdicts
		}
		r := l.requests[0]
		l.drain.grant(now)
		c.drain.grant(now)
		q.remove(c, r)
		if !now.Before(r.due) {
			verdicts = append(verdicts, q.expired(r, now, places))
			continue
		}
		c.clock = l.turn
		l.turn++
		q.grants++
		if c == q.topClass(now) {
			q.reserve.observe(now.Sub(r.Arrived), c.patience)
		}
		q.granted[r.id] = now
		verdicts = append(verdicts, Verdict{ID: r.id})
	}
}

// Finish takes note that a request gave its place up.
func (q *Queue) Finish(id ID, now time.Time) {
	if since, found := q.granted[id]; found {
		delete(q.granted, id)
		q.service.add(now.Sub(since))
	}
}

// Abandon removes a waiting request; it returns false if the request does not wait.
func (q *Queue) Abandon(id ID) bool {
	for _, c := range q.classes {
		for _, l := range c.lanes {
			for _, r := range l.requests {
				if r.id == id {
					q.remove(c, r)
					return true
				}
			}
		}
	}
	return false
}

// class returns the class of a ticket, under its present worth and limit.
func (q *Queue) class(t Ticket) *class {
	i := slices.IndexFunc(q.classes, func(c *class) bool { return c.name == t.Class })
	if i < 0 {
		q.classes = append(q.classes, &class{name: t.Class})
		i = len(q.classes) - 1
	}
	c := q.classes[i]
	c.patience = t.Deadline.Sub(t.Arrived)
	c.limit = cmp.Or(t.QueueLimit, q.settings.Limit)
	if c.worth != t.Worth || len(c.lanes) == 0 {
		c.worth = t.Worth
		slices.SortStableFunc(q.classes, func(a, b *class) int {
			return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(a.name, b.name))
		})
	}
	return c
}

// lane returns the lane of an organisation and its place among the lanes.
func (c *class) lane(organisation string) (*lane, int) {
	i, found := slices.BinarySearchFunc(c.lanes, organisation, func(l *lane, o string) int {
		return cmp.Compare(l.organisation, o)
	})
	if !found {
		return nil, i
	}
	return c.lanes[i], i
}

func (c *class) push(r *request, now time.Time) {
	l, i := c.lane(r.Organisation)
	if l == nil {
		l = &lane{organisation: r.Organisation}
		c.lanes = slices.Insert(c.lanes, i, l)
	}
	if len(l.requests) == 0 {
		// A lane that was idle has no claim on the time before.
		l.turn = max(l.turn, c.clock)
	}
	l.requests = append(l.requests, r)
	c.waiting++
	l.drain.begin(now)
	c.drain.begin(now)
}

// remove takes a waiting request out. A lane without requests is kept as long
// as its turn lies ahead, so that an organisation does not gain by a pause.
func (q *Queue) remove(c *class, r *request) {
	l, _ := c.lane(r.Organisation)
	l.requests = slices.DeleteFunc(l.requests, func(other *request) bool { return other == r })
	c.waiting--
	q.waiting--
	if len(l.requests) == 0 {
		l.drain.end()
	}
	if c.waiting == 0 {
		c.drain.end()
	}
	c.lanes = slices.DeleteFunc(c.lanes, func(other *lane) bool {
		return other != l && len(other.requests) == 0 && other.turn <= c.clock
	})
}

// pick returns the lane whose first request is granted next, or nil.
func (q *Queue) pick(now time.Time, places Places) (*class, *lane) {
	own := len(q.granted)
	open := places.Total <= 0
	if q.waiting == 0 || !open && own >= places.limit() {
		return nil, nil
	}
	top := q.topClass(now)
	reserved := q.reserve.of(places.Total, q.settings.ReserveDivisor)
	lowerMayGo := open || own < places.limitLess(reserved)
	if (q.grants+1)%q.settings.PassedOverEvery == 0 && lowerMayGo {
		return q.passedOver()
	}
	for _, c := range q.classes {
		if c.waiting > 0 && (lowerMayGo || c == top) {
			return c, c.next()
		}
	}
	return nil, nil
}

// topClass returns the worthiest class with a recent arrival.
func (q *Queue) topClass(now time.Time) *class {
	for _, c := range q.classes {
		if c.waiting > 0 || now.Sub(c.arrivals.last) < topMemory {
			return c
		}
	}
	return nil
}

// next returns the lane with the earliest turn.
func (c *class) next() *lane {
	var best *lane
	for _, l := range c.lanes {
		if len(l.requests) > 0 && (best == nil || l.turn < best.turn) {
			best = l
		}
	}
	return best
}

// passedOver returns the lane that goes next out of turn: that of the waiting
// class, beside the worthiest one that waits, which has gone longest without.
func (q *Queue) passedOver() (*class, *lane) {
	var first, best *class
	for _, c := range q.classes {
		switch {
		case c.waiting == 0:
		case first == nil:
			first = c
		case best == nil || c.lastTurn < best.lastTurn:
			best = c
		}
	}
	if best == nil {
		best = first
	}
	best.lastTurn = q.grants
	return best, best.next()
}
