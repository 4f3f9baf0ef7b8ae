package gateway

import (
	"slices"
	"time"

	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/urgency"
)

const (
	// maxWaiting bounds the requests that wait for an upstream of one service, and maxWaitingBytes their
	// bodies: a gateway has 88 MB of memory.
	maxWaiting      = 64
	maxWaitingBytes = 1 << 20
	// serviceTimeWeight is the weight of a new sample in the mean time to an answer, and
	// initialServiceTime the time assumed until samples exist.
	serviceTimeWeight  = 0.05
	initialServiceTime = 50 * time.Millisecond
)

// waiter is a request that waits for a place at an upstream of a plain service.
type waiter struct {
	work  urgency.Work
	since time.Time
	// choose assigns the request to an upstream if one has room. restricted reports that it excludes
	// upstreams, so that others may find room where it does not.
	choose     func(now time.Time) (*placement.Assignment, *placement.Refusal)
	restricted bool
	// starved reports that the request is valued like one of the highest rank.
	starved bool
	// decided receives the decision, at most once; its buffer holds it.
	decided chan waitDecision
}

// waitDecision ends the wait of a request: it has an assignment, or refusal or unplaced says why not.
type waitDecision struct {
	*waiter
	assignment *placement.Assignment
	refusal    waitRefusal
	// unplaced is the reason for which no upstream can be chosen whatever the load; usually nil.
	unplaced *placement.Refusal
	// start is the time after which the request would have got a place.
	start time.Duration
}

// at returns the work as it is to be valued now.
func (w *waiter) at(now time.Time) urgency.Work {
	work, waited := w.work, now.Sub(w.since)
	work.Waited += waited
	work.Left -= waited
	if w.starved {
		work.Rank = 0
	}
	return work
}

// waitQueue holds the requests that found every upstream of one plain service full, and decides which gets
// the next free place and which is refused. It addresses bursts and short losses of capacity, which a
// refusal at once answers worse than a short wait. The time is passed in; it is not safe for concurrent use.
type waitQueue struct {
	waiting []*waiter
	bytes   int64
	history *urgency.History
	// inFlight is the number of requests of this host at the upstreams, and serviceTime their mean time
	// until the answer.
	inFlight    int
	serviceTime time.Duration
}

func newWaitQueue() *waitQueue {
	return &waitQueue{history: urgency.NewHistory(), serviceTime: initialServiceTime}
}

// begin records that a request was sent to an upstream, and end that its answer came after took; 0 if none
// came.
func (q *waitQueue) begin(w urgency.Work, now time.Time) {
	q.inFlight++
	q.history.Count(w, false, now)
}

func (q *waitQueue) end(took time.Duration) {
	q.inFlight--
	if took > 0 {
		q.serviceTime += time.Duration(serviceTimeWeight * float64(took-q.serviceTime))
	}
}

// predictedStart returns the time after which a request gets a place: those before it go first, and the
// requests in flight free their places evenly over the mean time to an answer.
func (q *waitQueue) predictedStart(w urgency.Work, now time.Time) time.Duration {
	before := 0
	for _, other := range q.waiting {
		if other.at(now).Compare(w, q.serviceTime) <= 0 {
			before++
		}
	}
	if q.inFlight == 0 {
		return 0 // other hosts hold the places, and nothing is known of when they become free
	}
	return time.Duration(before+1) * q.serviceTime / time.Duration(q.inFlight)
}

// waitRefusal is the reason for which a request does not wait, or no longer does.
type waitRefusal uint8

const (
	// mayWait: the request waits.
	mayWait waitRefusal = iota
	// refusedHopeless: the answer cannot begin before the deadline.
	refusedHopeless
	// refusedLate: the answer would be late, and others are refused already.
	refusedLate
	// refusedFull: the queue is full of more urgent requests.
	refusedFull
	// refusedDisplaced: a more urgent request took the place in the full queue.
	refusedDisplaced
)

// add lets a request wait, or refuses it; decided tells which. A starved request is valued like one of the
// highest rank. displaced is the request that it replaces in a full queue, if any.
func (q *waitQueue) add(w *waiter, now time.Time) (decision waitDecision, displaced *waitDecision) {
	w.starved = q.history.Starved(w.work, now)
	work := w.at(now)
	start := q.predictedStart(work, now)
	decision = waitDecision{waiter: w, refusal: q.judge(work, start, now), start: start}
	if decision.refusal != mayWait {
		return q.refuse(decision, now), nil
	}
	if !q.hasRoom(w.work.Bytes) {
		last := q.leastUrgent(now)
		if last == nil || work.Compare(last.at(now), q.serviceTime) >= 0 || q.bytes-last.work.Bytes+w.work.Bytes > maxWaitingBytes {
			decision.refusal = refusedFull
			return q.refuse(decision, now), nil
		}
		q.remove(last)
		refused := q.refuse(waitDecision{waiter: last, refusal: refusedDisplaced, start: q.predictedStart(last.at(now), now)}, now)
		displaced = &refused
	}
	q.waiting = append(q.waiting, w)
	q.bytes += w.work.Bytes
	return decision, displaced
}

// blocks reports whether a request waits that could use any free place, so that a new one must not get
// ahead of it.
func (q *waitQueue) blocks() bool {
	return slices.ContainsFunc(q.waiting, func(w *waiter) bool { return !w.restricted })
}

func (q *waitQueue) hasRoom(bytes int64) bool {
	return len(q.waiting) < maxWaiting && q.bytes+bytes <= maxWaitingBytes
}

// refuse counts a refusal and returns it.
func (q *waitQueue) refuse(d waitDecision, now time.Time) waitDecision {
	q.history.Count(d.work, true, now)
	return d
}

// judge decides by the predicted start whether a request may wait.
func (q *waitQueue) judge(w urgency.Work, start time.Duration, now time.Time) waitRefusal {
	switch w.Outlook(start + q.serviceTime) {
	case urgency.Hopeless:
		return refusedHopeless
	case urgency.Late:
		if q.history.Short(w, now) {
			return refusedLate
		}
	}
	return mayWait
}

// grant gives free places to the waiting requests, the most urgent first, and refuses those that are no
// longer worth waiting for. It removes the requests on which it decides.
func (q *waitQueue) grant(now time.Time) (decisions []waitDecision) {
	full := false
	for _, v := range q.byUrgency(now) {
		d := waitDecision{waiter: v.waiter, refusal: q.judge(v.Work, 0, now), start: q.predictedStart(v.Work, now)}
		if d.refusal == mayWait {
			if full {
				continue
			}
			d.assignment, d.unplaced = v.choose(now)
			if d.assignment == nil && d.unplaced.Reason == placement.AllFull {
				full = full || !v.restricted
				continue
			}
		}
		if d.assignment != nil {
			q.begin(v.work, now)
		} else {
			d = q.refuse(d, now)
		}
		q.remove(v.waiter)
		decisions = append(decisions, d)
	}
	return decisions
}

// valuedWaiter is a waiting request with its value at a time.
type valuedWaiter struct {
	*waiter
	urgency.Work
}

// byUrgency returns the waiting requests, the most urgent first.
func (q *waitQueue) byUrgency(now time.Time) []valuedWaiter {
	list := make([]valuedWaiter, len(q.waiting))
	for i, w := range q.waiting {
		list[i] = valuedWaiter{w, w.at(now)}
	}
	slices.SortStableFunc(list, func(a, b valuedWaiter) int { return a.Compare(b.Work, q.serviceTime) })
	return list
}

func (q *waitQueue) leastUrgent(now time.Time) *waiter {
	if len(q.waiting) == 0 {
		return nil
	}
	return slices.MaxFunc(q.waiting, func(a, b *waiter) int { return a.at(now).Compare(b.at(now), q.serviceTime) })
}

// remove removes a request and reports whether it was waiting.
func (q *waitQueue) remove(w *waiter) bool {
	i := slices.Index(q.waiting, w)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.bytes -= w.work.Bytes
	return true
}
