package admission

import (
	"math"
	"time"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

const (
	// rateTimeConstant is the time constant of arrival rates.
	rateTimeConstant = 5 * time.Second
	// meanSampleWeight is the weight of a new sample in an exponentially weighted mean.
	meanSampleWeight = 0.05
	// minRetryAfter and maxRetryAfter bound the retry delays returned to callers;
	// defaultRetryAfter applies while no estimate exists.
	minRetryAfter     = 100 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
	defaultRetryAfter = time.Second
	// Estimates vary, so a new request is refused only if admitWaitPercent of its
	// estimated wait exceeds its remaining time, and a waiting one only if its estimated
	// wait exceeds dropWaitPercent of its remaining time.
	admitWaitPercent = 130
	dropWaitPercent  = 300
	// maxWaitEstimate bounds an estimated wait.
	maxWaitEstimate = time.Hour
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
	return r.sum * math.Exp(-now.Sub(r.last).Seconds()/rateTimeConstant.Seconds())
}

func (r *rate) perSecond(now time.Time) float64 { return r.decayed(now) / rateTimeConstant.Seconds() }

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
	m.seconds += meanSampleWeight * (d.Seconds() - m.seconds)
}

// waitEstimator estimates the waits in one class.
type waitEstimator struct {
	class *class
	now   time.Time
	// higherWaiting is the number of waiting requests in classes of higher worth.
	higherWaiting int
	// totalRate is the grants per second of all classes; 0 if unknown.
	totalRate float64
	// classRate is the grants per second left for the class.
	classRate float64
}

// waitEstimatorFor returns the estimator for class c. The grant rate left for the class
// is the total rate minus the arrivals of higher classes, but at least the rate of
// out-of-order grants.
func (q *Queue) waitEstimatorFor(c *class, now time.Time, slots Slots) waitEstimator {
	e := waitEstimator{class: c, now: now, totalRate: q.slotGrantRate(slots)}
	higherArrivals := 0.0
	for _, other := range q.classes {
		if other == c {
			break
		}
		e.higherWaiting += other.waiting
		higherArrivals += other.arrivalRate.perSecond(now)
	}
	e.classRate = max(e.totalRate-higherArrivals, e.totalRate/float64(q.settings.LowerClassInterval))
	return e
}

// wait returns the estimated wait of the request at the given position of flow f. It is
// based on the measured grant rate of the flow, else on that of the class, else on
// the rate that the slots allow. It is 0 while nothing is known.
func (e waitEstimator) wait(f *flow, position int) time.Duration {
	if rate, known := f.grantRate.perSecond(e.now); known {
		return seconds(float64(position+1) / rate)
	}
	before := float64(e.class.grantedBefore(f, position))
	if rate, known := e.class.grantRate.perSecond(e.now); known {
		return seconds(before / rate)
	}
	if e.totalRate <= 0 {
		return 0
	}
	return seconds(float64(e.higherWaiting)/e.totalRate + before/e.classRate)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWaitEstimate.Seconds()) * float64(time.Second))
}

// slotGrantRate returns the grants per second that the slots allow; 0 if unknown.
func (q *Queue) slotGrantRate(slots Slots) float64 {
	if !q.serviceTime.known || q.serviceTime.seconds <= 0 || slots.hostLimit() <= 0 {
		return 0
	}
	return float64(slots.hostLimit()) / q.serviceTime.seconds
}

// grantedBefore returns the number of requests of the class that are granted before
// the one at the given position of flow target, as flows take turns.
func (c *class) grantedBefore(target *flow, position int) int {
	n := position
	for _, f := range c.flows {
		if f != target {
			n += min(len(f.requests), position+1)
		}
	}
	return n
}

// sweep refuses requests whose deadline has passed or is expected to be missed.
func (q *Queue) sweep(now time.Time, slots Slots) []Decision {
	if now.Sub(q.lastSweep) < sweepInterval {
		return nil
	}
	q.lastSweep = now
	var decisions []Decision
	for _, c := range q.classes {
		for _, r := range c.unservable(q, now, slots) {
			q.remove(c, r)
			decisions = append(decisions, q.deadlineUnmet(r, now, slots))
		}
	}
	return decisions
}

// unservable returns the requests of the class that cannot be granted in time.
func (c *class) unservable(q *Queue, now time.Time, slots Slots) []*request {
	var unservable []*request
	e := q.waitEstimatorFor(c, now, slots)
	for _, f := range c.flows {
		for i, r := range f.requests {
			remaining := r.grantBy.Sub(now)
			if remaining <= 0 || e.wait(f, i) > remaining*dropWaitPercent/100 {
				unservable = append(unservable, r)
			}
		}
	}
	return unservable
}

func (q *Queue) deadlineUnmet(r *request, now time.Time, slots Slots) Decision {
	return Decision{r.id, errkind.New(errkind.DeadlineUnmet, "no capacity became available within the deadline").
		WithRetryAfter(q.retryAfter(slots))}
}

// retryAfter returns the time in which the queue is expected to drain.
func (q *Queue) retryAfter(slots Slots) time.Duration {
	rate := q.slotGrantRate(slots)
	if rate <= 0 {
		return defaultRetryAfter
	}
	return clampRetryAfter(time.Duration(float64(q.waiting) / rate * float64(time.Second)))
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }
