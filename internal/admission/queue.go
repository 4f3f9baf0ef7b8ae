package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// ID identifies a request in a queue.
type ID uint64

// Decision is the decision on one request: a slot is granted if Err is nil.
type Decision struct {
	ID  ID
	Err *errkind.Error
}

// Settings configures a Queue. Zero fields take their defaults.
type Settings struct {
	// MaxWaiting bounds the waiting requests of all classes together.
	MaxWaiting int
	// LowerClassInterval is the number of grants of which one goes, out of order, to a
	// lower class, which would otherwise starve.
	LowerClassInterval int
	// ReserveDivisor bounds the reserve for the top class to 1/ReserveDivisor of the
	// capacity.
	ReserveDivisor int
}

// Defaults of Settings, and fixed parameters of a Queue.
const (
	defaultMaxWaiting         = 1024
	defaultLowerClassInterval = 8
	defaultReserveDivisor     = 8
	// topClassRetention is how long after its last arrival a class remains the top class.
	topClassRetention = time.Minute
	// sweepInterval is the interval of searches for requests that cannot meet their
	// deadline.
	sweepInterval = 20 * time.Millisecond
	// firstByteMarginDivisor sets the margin, 1/firstByteMarginDivisor of a request's
	// time to its deadline, that is left for the upstream's first byte.
	firstByteMarginDivisor = 20
)

func (s Settings) withDefaults() Settings {
	s.MaxWaiting = cmp.Or(s.MaxWaiting, defaultMaxWaiting)
	s.LowerClassInterval = cmp.Or(s.LowerClassInterval, defaultLowerClassInterval)
	s.ReserveDivisor = cmp.Or(s.ReserveDivisor, defaultReserveDivisor)
	return s
}

// request is a waiting request.
type request struct {
	id ID
	Ticket
	// grantBy is the latest time at which a grant can still meet the deadline.
	grantBy time.Time
}

// flow holds the waiting requests of one organisation in one class.
type flow struct {
	organisation string
	requests     []*request
	// virtualTime is the virtual time of the flow's next grant, for fair queueing.
	virtualTime float64
	grantRate   grantRate
}

// class holds the waiting requests of one priority class.
type class struct {
	name       string
	worth      int
	maxWaiting int
	// flows are sorted by organisation.
	flows   []*flow
	waiting int
	// virtualTime is the virtual time of the latest grant.
	virtualTime float64
	arrivalRate rate
	grantRate   grantRate
	// lastOutOfOrder is the value of Queue.grantCount at the latest out-of-order grant.
	lastOutOfOrder int
	// timeout is the time from arrival to deadline of the latest request.
	timeout time.Duration
}

// Queue decides which request of one service gets a slot next. It has no clock and no
// goroutines: the time and the available slots are passed in.
type Queue struct {
	settings Settings
	// classes are sorted by descending worth.
	classes     []*class
	waiting     int
	inFlight    map[ID]time.Time
	grantCount  int
	serviceTime mean
	reserve     reserve
	lastSweep   time.Time
}

// NewQueue returns an empty queue.
func NewQueue(s Settings) *Queue {
	return &Queue{settings: s.withDefaults(), inFlight: map[ID]time.Time{}}
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// InFlight returns the number of requests that hold a slot.
func (q *Queue) InFlight() int { return len(q.inFlight) }

// Enqueue adds a request and returns the resulting decisions. The request waits if none
// of them concerns it.
func (q *Queue) Enqueue(id ID, t Ticket, now time.Time, slots Slots) []Decision {
	c := q.classFor(t)
	c.arrivalRate.add(now)
	r := &request{id: id, Ticket: t, grantBy: t.Deadline.Add(-t.Deadline.Sub(t.Arrived) / firstByteMarginDivisor)}
	if !now.Before(r.grantBy) {
		return []Decision{{id, errkind.New(errkind.DeadlineUnmet, "the deadline has passed")}}
	}
	c.push(r, now)
	q.waiting++
	decisions := q.Dispatch(now, slots)
	if slices.ContainsFunc(decisions, func(d Decision) bool { return d.ID == id }) {
		return decisions
	}
	f, _ := c.flow(r.Organisation)
	wait := q.waitEstimatorFor(c, now, slots).wait(f, len(f.requests)-1)
	if now.Add(wait * admitWaitPercent / 100).After(r.grantBy) {
		q.remove(c, r)
		overrun := now.Add(wait).Sub(r.grantBy)
		return append(decisions, Decision{id, errkind.New(errkind.DeadlineUnmet,
			"the queue is too long for the deadline").WithRetryAfter(clampRetryAfter(overrun))})
	}
	return append(decisions, q.displace(c, r, slots)...)
}

// Dispatch grants the available slots and refuses requests that cannot meet their
// deadline.
func (q *Queue) Dispatch(now time.Time, slots Slots) []Decision {
	decisions := q.sweep(now, slots)
	for {
		c, f := q.nextGrant(now, slots)
		if c == nil {
			return decisions
		}
		r := f.requests[0]
		f.grantRate.record(now)
		c.grantRate.record(now)
		q.remove(c, r)
		if !now.Before(r.grantBy) {
			decisions = append(decisions, q.deadlineUnmet(r, now, slots))
			continue
		}
		c.virtualTime = f.virtualTime
		f.virtualTime++
		q.grantCount++
		if c == q.topClass(now) {
			q.reserve.observe(now.Sub(r.Arrived), c.timeout)
		}
		q.inFlight[r.id] = now
		decisions = append(decisions, Decision{ID: r.id})
	}
}

// Release frees the slot of a request and records its service time.
func (q *Queue) Release(id ID, now time.Time) {
	if since, found := q.inFlight[id]; found {
		delete(q.inFlight, id)
		q.serviceTime.add(now.Sub(since))
	}
}

// Cancel removes a waiting request; it returns false if the request is not waiting.
func (q *Queue) Cancel(id ID) bool {
	for _, c := range q.classes {
		for _, f := range c.flows {
			for _, r := range f.requests {
				if r.id == id {
					q.remove(c, r)
					return true
				}
			}
		}
	}
	return false
}

// classFor returns the class of a ticket, updated with the ticket's worth and limit.
func (q *Queue) classFor(t Ticket) *class {
	i := slices.IndexFunc(q.classes, func(c *class) bool { return c.name == t.Class })
	if i < 0 {
		q.classes = append(q.classes, &class{name: t.Class})
		i = len(q.classes) - 1
	}
	c := q.classes[i]
	c.timeout = t.Deadline.Sub(t.Arrived)
	c.maxWaiting = cmp.Or(t.QueueLimit, q.settings.MaxWaiting)
	if c.worth != t.Worth || len(c.flows) == 0 {
		c.worth = t.Worth
		slices.SortStableFunc(q.classes, func(a, b *class) int {
			return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(a.name, b.name))
		})
	}
	return c
}

// flow returns the flow of an organisation, or nil, and its index in c.flows.
func (c *class) flow(organisation string) (*flow, int) {
	i, found := slices.BinarySearchFunc(c.flows, organisation, func(f *flow, o string) int {
		return cmp.Compare(f.organisation, o)
	})
	if !found {
		return nil, i
	}
	return c.flows[i], i
}

func (c *class) push(r *request, now time.Time) {
	f, i := c.flow(r.Organisation)
	if f == nil {
		f = &flow{organisation: r.Organisation}
		c.flows = slices.Insert(c.flows, i, f)
	}
	if len(f.requests) == 0 {
		// An idle flow gets no credit for the time it was idle.
		f.virtualTime = max(f.virtualTime, c.virtualTime)
	}
	f.requests = append(f.requests, r)
	c.waiting++
	f.grantRate.start(now)
	c.grantRate.start(now)
}

// remove removes a waiting request. An empty flow is kept while its virtual time is
// ahead of the class, so that an organisation gains nothing by pausing.
func (q *Queue) remove(c *class, r *request) {
	f, _ := c.flow(r.Organisation)
	f.requests = slices.DeleteFunc(f.requests, func(other *request) bool { return other == r })
	c.waiting--
	q.waiting--
	if len(f.requests) == 0 {
		f.grantRate.stop()
	}
	if c.waiting == 0 {
		c.grantRate.stop()
	}
	c.flows = slices.DeleteFunc(c.flows, func(other *flow) bool {
		return other != f && len(other.requests) == 0 && other.virtualTime <= c.virtualTime
	})
}

// nextGrant returns the flow whose first request is granted next, or nil.
func (q *Queue) nextGrant(now time.Time, slots Slots) (*class, *flow) {
	inFlight := len(q.inFlight)
	unlimited := slots.Total <= 0
	if q.waiting == 0 || !unlimited && inFlight >= slots.hostLimit() {
		return nil, nil
	}
	top := q.topClass(now)
	reserved := q.reserve.reservedOf(slots.Total, q.settings.ReserveDivisor)
	lowerAllowed := unlimited || inFlight < slots.hostLimitBesideReserve(reserved)
	if (q.grantCount+1)%q.settings.LowerClassInterval == 0 && lowerAllowed {
		return q.outOfOrderGrant()
	}
	for _, c := range q.classes {
		if c.waiting > 0 && (lowerAllowed || c == top) {
			return c, c.nextFlow()
		}
	}
	return nil, nil
}

// topClass returns the class of highest worth that has a waiting request or a recent
// arrival.
func (q *Queue) topClass(now time.Time) *class {
	for _, c := range q.classes {
		if c.waiting > 0 || now.Sub(c.arrivalRate.last) < topClassRetention {
			return c
		}
	}
	return nil
}

// nextFlow returns the flow with the earliest virtual time.
func (c *class) nextFlow() *flow {
	var earliest *flow
	for _, f := range c.flows {
		if len(f.requests) > 0 && (earliest == nil || f.virtualTime < earliest.virtualTime) {
			earliest = f
		}
	}
	return earliest
}

// outOfOrderGrant returns the flow that gets an out-of-order grant: that of the waiting
// class, other than the highest one that waits, whose last such grant is longest ago.
func (q *Queue) outOfOrderGrant() (*class, *flow) {
	var first, oldest *class
	for _, c := range q.classes {
		switch {
		case c.waiting == 0:
		case first == nil:
			first = c
		case oldest == nil || c.lastOutOfOrder < oldest.lastOutOfOrder:
			oldest = c
		}
	}
	if oldest == nil {
		oldest = first
	}
	oldest.lastOutOfOrder = q.grantCount
	return oldest, oldest.nextFlow()
}
