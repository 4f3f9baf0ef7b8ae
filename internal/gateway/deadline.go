package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/godwitbend/godwitbend/internal/catalog"
)

// deadlineTolerance is the time for which a stream that has begun goes on after its deadline. Its caller, who leaves by itself, may
// reckon the deadline that much later, by its clock or as it wrote its request late.
const deadlineTolerance = 200 * time.Millisecond

// streamDeadline is the deadline of a stream that has begun: the time of the request counts from the end of its body, as the caller may
// have begun to wait only then.
func (q *request) streamDeadline() time.Time {
	if q.bodyReadAt.IsZero() {
		return q.deadline
	}
	return q.deadline.Add(q.bodyReadAt.Sub(q.arrived))
}

// latestDeadline is the deadline of the request if it is answered in time: streams have until streamDeadline to end.
func (q *request) latestDeadline() time.Time {
	if q.route.Kind == catalog.Streaming {
		return q.streamDeadline()
	}
	return q.deadline
}

// currentDeadline is the deadline that binds the request now.
func (q *request) currentDeadline() time.Time {
	if q.streaming() {
		return q.streamDeadline()
	}
	return q.deadline
}

// streamEnd is when the gateway ends a stream that has begun.
func (q *request) streamEnd() time.Time { return q.streamDeadline().Add(deadlineTolerance) }

func (q *request) timeRemaining() time.Duration { return time.Until(q.currentDeadline()) }

// upstreamTime is the time that an upstream is given now. The end of it is the same at each, so that a stream that goes on at another
// does not outlast its caller.
func (q *request) upstreamTime() time.Duration { return time.Until(q.latestDeadline()) }

// requestContext is the context of a request. Its deadline is later once a stream has begun.
type requestContext struct {
	context.Context
	request *request
}

// Deadline implements context.Context.
func (c requestContext) Deadline() (time.Time, bool) {
	if c.request.streaming() {
		return c.request.streamEnd(), true
	}
	return c.request.deadline, true
}

// Err implements context.Context.
func (c requestContext) Err() error {
	err := c.Context.Err()
	if err != nil && errors.Is(context.Cause(c.Context), errDeadlinePassed) {
		return context.DeadlineExceeded
	}
	return err
}

// bindContext gives the request a context that ends with parent, with its deadline or with the stop of the host. release ends it.
func (q *request) bindContext(parent context.Context) (release func()) {
	ctx, cancel := context.WithCancelCause(parent)
	q.ctx = requestContext{ctx, q}
	unanswered := time.AfterFunc(time.Until(q.deadline), func() {
		q.endUnanswered(func() { cancel(errDeadlinePassed) })
	})
	begun := time.AfterFunc(time.Until(q.streamEnd()), func() { cancel(errDeadlinePassed) })
	leaveStop := q.followStop(func() { cancel(errHostStopped) })
	return func() {
		unanswered.Stop()
		begun.Stop()
		leaveStop()
		cancel(nil)
	}
}
