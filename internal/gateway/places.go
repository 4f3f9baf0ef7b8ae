package gateway

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/urgency"
)

// regrantInterval is the interval at which a waiting request looks for a free place of which no event told,
// as that of an upstream whose ejection ended.
const regrantInterval = 100 * time.Millisecond

// minRegrantInterval bounds the processor time spent on reports of other hosts' loads, which arrive up to
// 1,200 times a second in fleets of 24 gateways. A report that is passed over is followed by another.
const minRegrantInterval = 10 * time.Millisecond

// places holds the wait queues of the plain services of a gateway.
type places struct {
	pool     *placement.Pool
	counters admissionCounters

	mu     sync.Mutex
	queues map[string]*waitQueue
	// regrantedAt is when all queues last looked for free places.
	regrantedAt time.Time
}

func newPlaces(pool *placement.Pool, scope tally.Scope) *places {
	return &places{pool: pool, counters: newAdmissionCounters(scope), queues: map[string]*waitQueue{}}
}

// acquire assigns a request of a plain service to an upstream, after a wait if all are full.
func (p *places) acquire(ctx context.Context, service string, w *waiter) waitDecision {
	queue, decision, waits := p.enter(service, w)
	if !waits {
		return decision
	}
	p.counters.waited(w.work.Rank)
	predicted := decision.start
	decision = p.await(ctx, queue, w)
	if decision.assignment != nil {
		p.counters.admitted(w.work.Rank)
		p.counters.observeStart(predicted, time.Since(w.since))
	}
	return decision
}

// enter assigns the request at once, refuses it or lets it wait.
func (p *places) enter(service string, w *waiter) (queue *waitQueue, decision waitDecision, waits bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue = p.queues[service]
	if queue == nil {
		queue = newWaitQueue()
		p.queues[service] = queue
	}
	p.grant(queue, w.since)
	if !queue.blocks() {
		decision = waitDecision{waiter: w}
		decision.assignment, decision.unplaced = w.choose(w.since)
		if decision.assignment != nil {
			queue.begin(w.work, w.since)
		}
		if decision.assignment != nil || decision.unplaced.Reason != placement.AllFull {
			return queue, decision, false
		}
	}
	decision, displaced := queue.add(w, w.since)
	if displaced != nil {
		displaced.decided <- *displaced
	}
	if decision.refusal != mayWait {
		return queue, decision, false
	}
	p.grant(queue, w.since)
	return queue, decision, true
}

// await waits for the decision on a request.
func (p *places) await(ctx context.Context, queue *waitQueue, w *waiter) waitDecision {
	ticker := time.NewTicker(regrantInterval)
	defer ticker.Stop()
	for {
		select {
		case d := <-w.decided:
			return d
		case <-p.pool.LoadsReported():
			p.grantAll(time.Now())
		case now := <-ticker.C:
			p.grantAll(now)
		case <-ctx.Done():
			if d, left := p.leave(ctx, queue, w); left {
				return d
			}
			return <-w.decided
		}
	}
}

// leave removes a request whose caller or time is gone; false if it was decided on before.
func (p *places) leave(ctx context.Context, queue *waitQueue, w *waiter) (waitDecision, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !queue.remove(w) {
		return waitDecision{}, false
	}
	now := time.Now()
	d := waitDecision{waiter: w, refusal: refusedHopeless, start: queue.predictedStart(w.at(now), now)}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		d = queue.refuse(d, now)
	}
	return d, true
}

// release records that a request no longer occupies its place, and gives it to another. took is the time
// to its answer; 0 if none came.
func (p *places) release(service string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if queue := p.queues[service]; queue != nil {
		queue.end(took)
		p.grant(queue, time.Now())
	}
}

// grantAll gives places that became free through an event other than a release.
func (p *places) grantAll(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.regrantedAt) < minRegrantInterval {
		return
	}
	p.regrantedAt = now
	for _, queue := range p.queues {
		p.grant(queue, now)
	}
}

func (p *places) grant(queue *waitQueue, now time.Time) {
	for _, d := range queue.grant(now) {
		d.decided <- d
	}
}

// admissionCounters count by rank what becomes of requests that find too little capacity.
type admissionCounters struct {
	scope      tally.Scope
	startError tally.Histogram
}

// startErrorBuckets are the upper bounds of the histogram of the actual minus the predicted start.
var startErrorBuckets = tally.DurationBuckets{
	-time.Second, -300 * time.Millisecond, -100 * time.Millisecond, -30 * time.Millisecond, 0,
	30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, time.Second,
}

// maxCountedRank is the rank from which ranks are counted together.
const maxCountedRank = 7

func newAdmissionCounters(scope tally.Scope) admissionCounters {
	return admissionCounters{scope: scope, startError: scope.Histogram("admission_start_error", startErrorBuckets)}
}

func (c admissionCounters) count(name string, rank int) {
	tag := strconv.Itoa(min(max(rank, 0), maxCountedRank))
	c.scope.Tagged(map[string]string{"rank": tag}).Counter(name).Inc(1)
}

func (c admissionCounters) waited(rank int)    { c.count("admission_waited", rank) }
func (c admissionCounters) admitted(rank int)  { c.count("admission_admitted", rank) }
func (c admissionCounters) displaced(rank int) { c.count("admission_displaced", rank) }
func (c admissionCounters) refused(rank int)   { c.count("admission_refused", rank) }
func (c admissionCounters) crowded(rank int)   { c.count("admission_crowded", rank) }

// observeStart records by how much a request was served later than predicted.
func (c admissionCounters) observeStart(predicted, actual time.Duration) {
	c.startError.RecordDuration(actual - predicted)
}

// valuation is how a request was valued where capacity was short, for the log.
type valuation struct {
	work  urgency.Work
	share float64
	// start is the predicted time until the request is served, and queued the time that it waited.
	start, queued time.Duration
}

func (v *valuation) logFields() []any {
	return []any{"rank", v.work.Rank, "work_ms", v.work.Cost().Milliseconds(), "slack_ms", v.work.Slack().Milliseconds(), "share", v.share,
		"predicted_start_ms", v.start.Milliseconds(), "queued_ms", v.queued.Milliseconds()}
}
