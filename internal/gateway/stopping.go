package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/timing"
)

// stopPollInterval is the interval at which a stop looks for requests being served.
const stopPollInterval = 20 * time.Millisecond

// silentTime is the time without an event from which on the upstream of a stream counts as silent.
const silentTime = 500 * time.Millisecond

// StopPlan holds the times of a shutdown.
type StopPlan struct {
	// Began is the earliest time at which the host was told to stop, if it learned of that at once while it ran.
	Began time.Time
	// Refuse is when new requests are refused, and those whose body has yet to arrive, with the error kind Draining.
	Refuse time.Time
	// Answer is when those in flight are answered without their upstreams, unless their answer has begun.
	Answer time.Time
	// End is when streams that have begun are broken off, if the process still runs.
	End time.Time
	// EarliestKill and LatestKill are the times between which the process is killed.
	EarliestKill, LatestKill time.Time
}

// stop is the record of a shutdown.
type stop struct {
	// plan is nil until it begins.
	plan     atomic.Pointer[StopPlan]
	inFlight atomic.Int64
	// begun is the number of those in flight that are streams whose answer has begun.
	begun    atomic.Int64
	answered stopCounter
	refused  stopCounter
	// brokenOff counts requests whose answer did not reach the caller whole, and brokenOffSilent those of them
	// whose upstream was silent.
	brokenOff       stopCounter
	brokenOffSilent stopCounter
}

// stopCounter counts requests that ended during the shutdown.
type stopCounter struct {
	n       atomic.Int64
	counter tally.Counter
}

func (c *stopCounter) inc() {
	c.n.Add(1)
	c.counter.Inc(1)
}

func newStop(scope tally.Scope) *stop {
	return &stop{
		answered:        stopCounter{counter: scope.Counter("stop_answered")},
		refused:         stopCounter{counter: scope.Counter("stop_refused")},
		brokenOff:       stopCounter{counter: scope.Counter("stop_broken_off")},
		brokenOffSilent: stopCounter{counter: scope.Counter("stop_broken_off_silent")},
	}
}

// BeginStop makes the handler follow the plan. Answers that begin from now on ask callers to leave their
// connections, and requests that end are counted and logged with their times.
func (h *Handler) BeginStop(plan StopPlan) { h.stop.plan.Store(&plan) }

// refuses reports whether new requests are refused. It goes by the clock, as a timer of a stalled process may
// fire after requests that are too late.
func (s *stop) refuses() bool {
	plan := s.plan.Load()
	return plan != nil && !time.Now().Before(plan.Refuse)
}

// maxOverrunShare is the share of recent answers that would take longer than a stop lasts, above which a request is
// refused, as another host answers it whole.
const maxOverrunShare = 0.125

// checkStopTime refuses the request if the host stops, and may do so before the answer ends. A stream is taken only if
// its deadline comes first: one that is broken off costs its caller all of it, and a refusal the way to another host.
func (q *request) checkStopTime() *errkind.Error {
	plan := q.handler.stop.plan.Load()
	if plan == nil || !q.latestDeadline().After(plan.Answer) {
		return nil
	}
	if q.route.Kind != catalog.Streaming && q.handler.workTimes.overrunShare(q.route.Name, time.Until(plan.Answer)) <= maxOverrunShare {
		return nil
	}
	return errkind.New(errkind.Draining, "the host is stopping, and may end before the answer").WithRetryAfter(drainingRetryAfter)
}

// recordWorkTime records how long the answer took once the body was read, or that it did not come in all of the time that
// the request had.
func (q *request) recordWorkTime() {
	if q.lastSentAt.IsZero() || q.route.Kind == catalog.Streaming {
		return
	}
	if q.outcome == gotAnswer || q.timeRemaining() < minAttemptTime {
		q.handler.workTimes.add(q.route.Name, time.Since(q.bodyReadAt))
	}
}

// closeIfStopping asks the caller to send no other request on its connection, if the host stops.
func (h *Handler) closeIfStopping(w http.ResponseWriter) {
	if h.stop.plan.Load() != nil {
		w.Header().Set("Connection", "close")
	}
}

// answerPhase tells whether the deadline or a stop ends a request before its answer begins.
type answerPhase int32

const (
	phaseWaiting answerPhase = iota
	// phaseStreaming: the caller has got the beginning of a stream, and the request goes on until streamEnd or EndStreams.
	phaseStreaming
	// phaseEnded: the deadline or EndRequests came first.
	phaseEnded
)

// followStop calls cancel when the stop ends the request. It no longer does so after release was called.
func (q *request) followStop(cancel context.CancelFunc) (release func()) {
	unanswered := context.AfterFunc(q.handler.requestsEnded, func() { q.endUnanswered(cancel) })
	begun := context.AfterFunc(q.handler.streamsEnded, cancel)
	return func() {
		unanswered()
		begun()
	}
}

// endUnanswered calls cancel unless a stream has begun.
func (q *request) endUnanswered(cancel func()) {
	if q.phase.CompareAndSwap(int32(phaseWaiting), int32(phaseEnded)) {
		cancel()
	}
}

// streaming reports whether the caller has got the beginning of a stream.
func (q *request) streaming() bool { return answerPhase(q.phase.Load()) == phaseStreaming }

// beginStream reports whether the first event may be sent to the caller. The request has to be answered otherwise.
func (q *request) beginStream() bool {
	if q.phase.CompareAndSwap(int32(phaseWaiting), int32(phaseStreaming)) {
		q.handler.stop.begun.Add(1)
		return true
	}
	return q.streaming()
}

// hostStopped reports whether the request has to end because the host stops.
func (q *request) hostStopped() bool {
	ended := q.handler.requestsEnded
	if q.streaming() {
		ended = q.handler.streamsEnded
	}
	return ended != nil && ended.Err() != nil
}

func (s *stop) requestBegan() { s.inFlight.Add(1) }

func (s *stop) requestEnded(begun bool) {
	if begun {
		s.begun.Add(-1) // first, see AwaitAnswers
	}
	s.inFlight.Add(-1)
}

// AwaitRequests waits until no request is being served, or ctx is done.
func (h *Handler) AwaitRequests(ctx context.Context) {
	timing.EveryUntil(ctx, stopPollInterval, func() bool { return h.InFlight() > 0 })
}

// AwaitAnswers waits until only streams that have begun are being served, or ctx is done.
func (h *Handler) AwaitAnswers(ctx context.Context) {
	timing.EveryUntil(ctx, stopPollInterval, func() bool {
		inFlight := h.InFlight() // first, so that a stream that ends meanwhile hides no other request
		return inFlight > h.BegunStreams()
	})
}

// BegunStreams returns the number of streams being served whose answer has begun.
func (h *Handler) BegunStreams() int64 { return h.stop.begun.Load() }

// InFlight returns the number of requests being served.
func (h *Handler) InFlight() int64 { return h.stop.inFlight.Load() }

// StopLogFields returns the numbers of requests that ended since the host stops, and of those being served.
func (h *Handler) StopLogFields() []any {
	return []any{
		"answered", h.stop.answered.n.Load(), "refused", h.stop.refused.n.Load(),
		"broken_off", h.stop.brokenOff.n.Load(), "broken_off_silent", h.stop.brokenOffSilent.n.Load(), "in_flight", h.InFlight(), "begun_streams", h.BegunStreams(),
	}
}

// callerOutcome is what the caller got of an answer.
type callerOutcome uint8

const (
	gotNothing callerOutcome = iota
	gotAnswer
	gotRefusal
)

// countStopped counts a request that ended, if the host stops.
func (q *request) countStopped() {
	s := q.handler.stop
	if s.plan.Load() == nil {
		return
	}
	switch q.outcome {
	case gotAnswer:
		s.answered.inc()
	case gotRefusal:
		s.refused.inc()
	default:
		s.brokenOff.inc()
		if q.eventsSent > 0 && time.Since(q.lastEventAt) >= silentTime {
			s.brokenOffSilent.inc()
		}
	}
}

// stopLogFields returns the times of the request in milliseconds after the stop began, negative if before; none
// unless the host stops.
func (q *request) stopLogFields() []any {
	if q.handler.stop == nil {
		return nil
	}
	plan := q.handler.stop.plan.Load()
	if plan == nil {
		return nil
	}
	fields := []any{"stopping_ms", time.Since(plan.Began).Milliseconds(), "longest_write_ms", q.longestWrite.Milliseconds()}
	for _, step := range []struct {
		name string
		at   time.Time
	}{
		{"head_at_ms", q.arrived}, {"body_at_ms", q.bodyReadAt}, {"sent_at_ms", q.lastSentAt},
		{"last_event_at_ms", q.lastEventAt}, {"deadline_at_ms", q.currentDeadline()},
	} {
		if !step.at.IsZero() {
			fields = append(fields, step.name, step.at.Sub(plan.Began).Milliseconds())
		}
	}
	return fields
}
