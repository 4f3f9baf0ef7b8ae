package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
	"github.com/godwitbend/godwitbend/internal/upstreampath"
)

// errUnframed stands for an error of the parser of answers.
var errUnframed = errors.New("malformed chunked encoding")

// Guards against lines of cut streams that don't tell who cut them.
func TestBrokenStreamTellsWhoEndedIt(t *testing.T) {
	const left = time.Second
	for name, test := range map[string]struct {
		cause error
		after time.Duration
		err   error
		via   string
		want  endReason
	}{
		"caller":                                  {cause: context.Canceled, err: io.ErrClosedPipe, want: endedByCaller},
		"caller, at the deadline":                 {cause: context.Canceled, after: left, err: io.ErrClosedPipe, want: endedByCaller},
		"deadline":                                {cause: errDeadlinePassed, after: left, err: io.ErrClosedPipe, want: endedByDeadline},
		"stop":                                    {cause: errHostStopped, err: io.ErrClosedPipe, want: endedByHostStop},
		"stop, through another host":              {cause: errHostStopped, err: io.ErrClosedPipe, via: "b", want: endedByHostStop},
		"upstream closes":                         {err: io.ErrUnexpectedEOF, want: endedByUpstream},
		"upstream resets":                         {err: syscall.ECONNRESET, want: endedByUpstream},
		"upstream acknowledges nothing":           {err: &net.OpError{Op: "read", Err: syscall.ETIMEDOUT}, want: endedByUnacknowledged},
		"upstream closes inside an event":         {err: upstreamhttp.ErrTruncatedEvent, want: endedByUpstream},
		"upstream closes once its time is up":     {after: left, err: io.ErrUnexpectedEOF, want: endedByUpstreamDeadline},
		"other host breaks":                       {err: io.ErrUnexpectedEOF, via: "b", want: endedByOtherHost},
		"upstream sends what can't be understood": {err: errUnframed, want: endedByInvalidAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				scope := tally.NewTestScope("", nil)
				h := &Handler{stop: newStop(tally.NoopScope), Options: Options{
					Scope: scope, Pool: placement.NewPool("a"), Paths: upstreampath.NewDialer(upstreampath.Options{Scope: tally.NoopScope}),
				}}
				ctx, cancel := context.WithCancelCause(t.Context())
				q := &request{
					handler: h, Call: &Call{}, ctx: ctx, arrived: time.Now(), bodyReadAt: time.Now(), deadline: time.Now().Add(left),
					route: &catalog.Route{Kind: catalog.Streaming}, eventsSent: 2, lastEventAt: time.Now(), via: test.via,
				}
				time.Sleep(test.after)
				if test.cause != nil {
					cancel(test.cause)
				}
				defer cancel(nil)
				a := &attempt{request: q, target: &placement.Assignment{Upstream: &placement.Upstream{}}}
				q.endedBy = a.exchangeEnd(test.err)
				g.Expect(q.endedBy).To(Equal(test.want))
				g.Expect(q.countEndedEarly()).To(ContainElements("ended_by", string(test.want), "silent_ms", test.after.Milliseconds()))
				g.Expect(q.logFields()).To(ContainElements("deadline_left_ms", (left - test.after).Milliseconds(), "body_ms", int64(0)))
				g.Expect(scope.Snapshot().Counters()).To(HaveKey("streams_ended_early+ended_by=" + string(test.want) + ",stopping=false"))
			})
		})
	}
}

// Guards against streams that wait for another upstream as their time runs out, and are said to have been ended by the one before.
func TestStreamThatEndsBetweenTwoUpstreamsTellsWhoEndedIt(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(errDeadlinePassed)
	q := &request{handler: &Handler{}, ctx: ctx, mayHaveRun: true, eventsSent: 2, endedBy: endedByUpstream}
	g.Expect(q.finalError(nil)).To(HaveOccurred())
	g.Expect(q.endedBy).To(Equal(endedByDeadline))
}

// Guards against streams counted as left by their callers whose connections the stop of the host closed.
func TestFailedWriteTellsWhetherTheHostStopped(t *testing.T) {
	g := NewWithT(t)
	h := &Handler{}
	h.streamsEnded, h.endStreams = context.WithCancel(t.Context())
	q := &request{handler: h}
	q.phase.Store(int32(phaseStreaming))
	g.Expect(q.writeEnd()).To(Equal(endedByCaller))
	h.EndStreams()
	g.Expect(q.writeEnd()).To(Equal(endedByHostStop))
}
