package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/telemetry"
	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

// endReason tells who ended a stream that had begun, before it was complete. Its values are used in metrics and logs.
type endReason string

const (
	endedByCaller   endReason = "caller"
	endedByDeadline endReason = "deadline"
	endedByHostStop endReason = "host_stop"
	// endedByUpstream: the upstream broke off, or another at which the stream was to go on failed.
	endedByUpstream endReason = "upstream"
	// endedByUnacknowledged: this host gave up the connection, as the upstream acknowledged nothing for a time.
	endedByUnacknowledged endReason = "unacknowledged"
	// endedByUpstreamDeadline: the upstream broke off once the time that it was sent was up.
	endedByUpstreamDeadline endReason = "upstream_deadline"
	// endedByLink: this host has lost its link to the upstream.
	endedByLink endReason = "link"
	// endedByOtherHost: the connection through another host broke, there or behind it.
	endedByOtherHost endReason = "other_host"
	// endedByInvalidAnswer: the upstream sent what is no answer to the request, or too much.
	endedByInvalidAnswer endReason = "invalid_answer"
)

// Causes of the end of a request's context. Without one of them the caller has left.
var (
	errDeadlinePassed = errors.New("the deadline has passed")
	errHostStopped    = errors.New("the host stops")
)

// contextEnd returns who ended the context of a request; empty if it has not ended.
func contextEnd(ctx context.Context) endReason {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return ""
	case errors.Is(cause, errHostStopped):
		return endedByHostStop
	case errors.Is(cause, errDeadlinePassed):
		return endedByDeadline
	}
	return endedByCaller
}

// exchangeEnd returns who ended an exchange that failed with err.
func (a *attempt) exchangeEnd(err error) endReason {
	if end := contextEnd(a.ctx); end != "" {
		return end
	}
	switch {
	case a.upstreamTimeIsUp():
		return endedByUpstreamDeadline
	case a.via != "":
		return endedByOtherHost
	case err != nil && !brokenOff(err):
		return endedByInvalidAnswer
	case a.handler.Paths.Lost(a.target.Address):
		return endedByLink
	case errors.Is(err, syscall.ETIMEDOUT) || a.substitute.Load() != nil:
		return endedByUnacknowledged
	}
	return endedByUpstream
}

// upstreamTimeIsUp reports whether the time that was sent to the upstream of a stream has passed.
func (a *attempt) upstreamTimeIsUp() bool {
	return a.route.Kind == catalog.Streaming && a.upstreamTime() < minAttemptTime
}

// brokenOff reports whether err means that the connection to the upstream ended before the answer did.
func brokenOff(err error) bool {
	var netErr net.Error
	var errno syscall.Errno
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) ||
		errors.Is(err, net.ErrClosed) || errors.Is(err, upstreamhttp.ErrTruncatedEvent) ||
		errors.As(err, &netErr) || errors.As(err, &errno)
}

// writeEnd returns who ended a stream whose next event could not be written.
func (q *request) writeEnd() endReason {
	if q.hostStopped() {
		return endedByHostStop
	}
	return endedByCaller
}

// noteContextEnd records who ended the context of the request, if that is why no further upstream is tried.
func (q *request) noteContextEnd() {
	if end := contextEnd(q.ctx); end != "" {
		q.endedBy = end
	}
}

// countEndedEarly counts a stream that had begun and was not delivered whole, and returns the fields that tell who ended it.
func (q *request) countEndedEarly() []any {
	telemetry.StreamEndedEarly(q.handler.Scope, string(q.endedBy), q.handler.stop.plan.Load() != nil).Inc(1)
	return []any{"ended_by", string(q.endedBy), "events", q.eventsSent, "silent_ms", time.Since(q.lastEventAt).Milliseconds()}
}

// timeLogFields returns the time that the body took to arrive, and what was left of the deadline; negative if it has passed.
func (q *request) timeLogFields() []any {
	var fields []any
	if !q.deadline.IsZero() {
		fields = append(fields, "deadline_left_ms", q.timeRemaining().Milliseconds())
	}
	if !q.bodyReadAt.IsZero() {
		fields = append(fields, "body_ms", q.bodyReadAt.Sub(q.arrived).Milliseconds())
	}
	return fields
}
