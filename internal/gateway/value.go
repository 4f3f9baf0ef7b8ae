package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/urgency"
)

// retryJitterDivisor sets the random part of a retry delay by which callers that were refused together are
// spread, 1/retryJitterDivisor of the delay.
const retryJitterDivisor = 4

// waitsForPlace reports whether the request may wait for a place at an upstream: it is of a plain service,
// and the gateway admits by value.
func (q *request) waitsForPlace() bool {
	return q.handler.places != nil && (q.service == nil || q.service.Engine == nil)
}

// awaitPlace chooses an upstream of a plain service, after a wait if all are full.
func (q *request) awaitPlace(service string) (*placement.Assignment, *errkind.Error) {
	req := q.placementRequest(service)
	work := req.Work()
	work.Bytes = int64(len(q.Body))
	d := q.handler.places.acquire(q.ctx, service, &waiter{
		work: work, since: time.Now(), restricted: len(req.Exclude) > 0 || req.Resumes, decided: make(chan waitDecision, 1),
		choose: func(now time.Time) (*placement.Assignment, *placement.Refusal) {
			return q.handler.Pool.Choose(req, now)
		},
	})
	if queued := time.Since(d.since); d.assignment == nil || queued >= time.Millisecond {
		q.valuation = &valuation{work: work, share: work.Share(), start: d.start, queued: queued}
	}
	switch {
	case d.assignment != nil:
		return d.assignment, nil
	case d.unplaced != nil:
		return nil, q.placementRefusal(service, d.unplaced)
	}
	return nil, q.waitRefusal(service, d)
}

// waitRefusal returns the error for a request that does not wait for a place, or no longer does.
func (q *request) waitRefusal(service string, d waitDecision) *errkind.Error {
	counters := q.handler.places.counters
	if d.refusal == refusedDisplaced {
		counters.displaced(d.work.Rank)
	} else {
		counters.refused(d.work.Rank)
	}
	var e *errkind.Error
	switch d.refusal {
	case refusedHopeless:
		e = errkind.New(errkind.DeadlineUnmet, "no upstream of service %q has room before the deadline", service)
	case refusedDisplaced:
		e = errkind.New(errkind.Displaced, "displaced from the queue of service %q by a more urgent request", service)
	case refusedFull:
		e = errkind.New(errkind.Overloaded, "all upstreams of service %q are full, and the queue is too", service)
	default:
		e = errkind.New(errkind.Overloaded, "all upstreams of service %q are full, and the answer would be late", service)
	}
	return e.WithRetryAfter(jitter(max(d.work.RetryAfter(max(d.start, fullRetryAfter)), fullRetryAfter)))
}

// engineRefusal records how a request was valued that no engine may accept, and returns the time after
// which it should come back.
func (q *request) engineRefusal(refused *placement.Refusal, work urgency.Work) time.Duration {
	q.handler.places.counters.refused(work.Rank)
	q.valuation = &valuation{work: work, share: refused.Share, start: refused.PredictedStart}
	return jitter(max(refused.RetryAfter, fullRetryAfter))
}

// jitter returns a time that is at least wait and little longer, so that callers who were refused together
// do not return together.
func jitter(wait time.Duration) time.Duration { return wait + rand.N(wait/retryJitterDivisor+1) }

// releasePlace records that the attempt at an upstream has ended.
func (a *attempt) releasePlace(result attemptResult) {
	if a.released {
		return
	}
	a.released = true
	a.handler.Pool.Release(a.target)
	if !a.waitsForPlace() {
		return
	}
	took := time.Duration(0)
	if result == resultAnswered {
		took = time.Since(a.sentAt)
	}
	a.handler.places.release(a.serviceName, took)
}

// recordStart records by how much the answer of an engine began later than predicted.
func (a *attempt) recordStart() {
	if a.handler.places != nil && a.target.Backlog > 0 && a.target.PrefillRate > 0 {
		predicted := time.Duration(float64(a.target.Backlog) / a.target.PrefillRate * float64(time.Millisecond))
		a.handler.places.counters.observeStart(predicted, time.Since(a.sentAt))
	}
}
