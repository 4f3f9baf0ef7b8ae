package admission

import (
	"math"
	"time"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

const (
	// rateWindow is the time constant of arrival rates.
	rateWindow = 5 * time.Second
	// meanWeight is the weight of a new sample in a mean.
	meanWeight = 0.05
	// retryMin and retryMax bound the times to come back that callers are told.
	retryMin     = 100 * time.Millisecond
	retryMax     = 30 * time.Second
	retryUnknown = time.Second
	// cautionPercent is the part of the estimated wait that must fit into the time
	// of a new request, and hopelessPercent the part of its time that the wait of
	// a waiting one must exceed before it is refused, as estimates vary.
	cautionPercent  = 130
	hopelessPercent = 300
	// maxWait bounds an estimate.
	maxWait = time.Hour
)

// rate is an exponentially decaying estimate of events per second.
type rate struct {
	sum  float64
	last time.Time
}

func (r *rate) add(now time.Time) {
	r.sum = r.decayed(now) + 1
	r.last = now
}

func (r *rate) decayed(now time.Time) float64 {
	if r.last.IsZero() {
		return 0
	}
	return r.sum * math.Exp(-now.Sub(r.last).Seconds()/rateWindow.Seconds())
}

func (r *rate) perSecond(now time.Time) float64 { return r.decayed(now) / rateWindow.Seconds() }

// mean is an exponentially weighted mean of durations.
type mean struct {
	seconds float64
	known   bool
}

func (m *mean) add(d time.Duration) {
	if !m.known {
		m.seconds, m.known = d.Seconds(), true
		return
	}
	m.seconds += meanWeight * (d.Seconds() - m.seconds)
}

// outlook is what the wait in one class depends on.
type outlook struct {
	class *class
	now   time.Time
	// worthier is the number of waiting requests of worthier classes.
	worthier int
	// full is the grants per second of all classes; 0 if unknown.
	full float64
	// share is the grants per second that are left for the class.
	share float64
}

// outlookOf returns the outlook of class c.
func (q *Queue) outlookOf(c *class, now time.Time, places Places) outlook {
	o := outlook{class: c, now: now, full: q.drain(places)}
	arriving := 0.0
	for _, other := range q.classes {
		if other == c {
			break
		}
		o.worthier += other.waiting
		arriving += other.arrivals.perSecond(now)
	}
	o.share = max(o.full-arriving, o.full/float64(q.settings.PassedOverEvery))
	return o
}

// wait returns how long the request at position in lane l is likely to wait: by
// the measured grants of the lane or else of the class, or while there are too
// few of them by what the places allow. It is 0 while nothing is known.
func (o outlook) wait(l *lane, position int) time.Duration {
	if rate, known := l.drain.perSecond(o.now); known {
		return seconds(float64(position+1) / rate)
	}
	ahead := float64(o.class.ahead(l, position))
	if rate, known := o.class.drain.perSecond(o.now); known {
		return seconds(ahead / rate)
	}
	if o.full <= 0 {
		return 0
	}
	return seconds(float64(o.worthier)/o.full + ahead/o.share)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}

// drain returns the grants per second that the places allow; 0 if unknown.
func (q *Queue) drain(places Places) float64 {
	if !q.service.known || q.service.seconds <= 0 || places.limit() <= 0 {
		return 0
	}
	return float64(places.limit()) / q.service.seconds
}

// ahead returns the number of requests of the class that are granted before
// the one at position in lane own, as the organisations take turns.
func (c *class) ahead(own *lane, position int) int {
	n := position
	for _, l := range c.lanes {
		if l != own {
			n += min(len(l.requests), position+1)
		}
	}
	return n
}

// sweep refuses requests whose time has passed, or whose place in the queue
// leaves them no hope.
func (q *Queue) sweep(now time.Time, places Places) []Verdict {
	if now.Sub(q.lastSweep) < sweepInterval {
		return nil
	}
	q.lastSweep = now
	var verdicts []Verdict
	for _, c := range q.classes {
		for _, r := range c.lost(q, now, places) {
			q.remove(c, r)
			verdicts = append(verdicts, q.expired(r, now, places))
		}
	}
	return verdicts
}

// lost returns the requests of the class that can't be granted in time.
func (c *class) lost(q *Queue, now time.Time, places Places) []*request {
	var lost []*request
	o := q.outlookOf(c, now, places)
	for _, l := range c.lanes {
		for i, r := range l.requests {
			left := r.due.Sub(now)
			if left <= 0 || o.wait(l, i) > left*hopelessPercent/100 {
				lost = append(lost, r)
			}
		}
	}
	return lost
}

func (q *Queue) expired(r *request, now time.Time, places Places) Verdict {
	return Verdict{r.id, errkind.New(errkind.DeadlineUnmet, "no place became free within the deadline").
		WithRetryAfter(q.retryAfter(places))}
}

// retryAfter returns the time in which the present queue is likely to drain.
func (q *Queue) retryAfter(places Places) time.Duration {
	full := q.drain(places)
	if full <= 0 {
		return retryUnknown
	}
	return boundRetry(time.Duration(float64(q.waiting) / full * float64(time.Second)))
}

func boundRetry(d time.Duration) time.Duration { return min(max(d, retryMin), retryMax) }
