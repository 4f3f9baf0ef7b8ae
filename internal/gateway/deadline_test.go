package gateway

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/hostsync"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/presence"
	"github.com/godwitbend/godwitbend/internal/retrylimit"
	"github.com/godwitbend/godwitbend/internal/upstreampath"
)

// eventInterval is the time between the events of a test upstream.
const eventInterval = 50 * time.Millisecond

// streamUpstream is an upstream of streams without end.
type streamUpstream struct {
	Dialect
	// waits is the time until the first event, and obeys makes it end streams at the deadline that it is sent. unframed makes the end of the
	// connection that of the stream.
	waits    time.Duration
	obeys    bool
	unframed bool
	// given holds the times that it was sent, dials is the number of connections, and left receives the time when that of a stream is closed.
	given []time.Duration
	dials atomic.Int32
	left  chan time.Time
}

func (u *streamUpstream) Encode(_ *Call, m *UpstreamMetadata) http.Header {
	u.given = append(u.given, m.TimeRemaining)
	return http.Header{}
}

func (*streamUpstream) ClassifyAnswer(*Call, *http.Response) AnswerClass { return AnswerClass{} }
func (*streamUpstream) AnswerHeader(h http.Header) http.Header           { return h.Clone() }

func (u *streamUpstream) dial(context.Context, string) (io.ReadWriteCloser, error) {
	u.dials.Add(1)
	conn, end := net.Pipe()
	go u.serve(end)
	return conn, nil
}

func (u *streamUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	deadline := time.Now().Add(u.given[len(u.given)-1])
	time.Sleep(u.waits)
	framing := "Transfer-Encoding: chunked\r\n"
	if u.unframed {
		framing = ""
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+framing+"\r\n")
	for i := 1; !u.obeys || time.Now().Before(deadline); i++ {
		event := fmt.Sprintf("id: %d\ndata: token\n\n", i)
		if !u.unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(conn, event); err != nil {
			u.left <- time.Now()
			return
		}
		time.Sleep(min(eventInterval, max(time.Until(deadline), time.Millisecond)))
	}
}

// newStreamHandler returns a handler with upstreams at which u answers.
func newStreamHandler(u *streamUpstream, upstreams ...string) *Handler {
	u.left = make(chan time.Time, 10)
	pool := placement.NewPool("a")
	var records []presence.Record
	for _, id := range upstreams {
		records = append(records, presence.Record{Upstream: presence.Upstream{ID: id, Address: id, Service: "s", Zone: "a", State: presence.Ready, StartedMS: 1, Slots: 4}})
	}
	pool.Update(records)
	return NewHandler(Options{
		Dialect: u, Pool: pool, Sync: hostsync.New(hostsync.Options{Pool: pool, Seeds: func() []string { return nil }, Clock: func() int64 { return 0 }}),
		Retries: retrylimit.New(retrylimit.Settings{Window: time.Second, Ratio: 1, Slack: 10}, time.Now()),
		Paths: upstreampath.NewDialer(upstreampath.Options{
			Direct: u.dial, Hosts: func() []string { return nil }, CutOff: func() {}, Scope: tally.NoopScope,
		}),
		Scope: tally.NewTestScope("", nil), Clock: func() int64 { return 0 },
	})
}

// streamCall is a stream as its caller sees it.
type streamCall struct {
	// timeout is how long the caller waits, and routeTimeout that of the route.
	timeout, routeTimeout time.Duration
	// kind is the kind of the route if it is not that of streams.
	kind catalog.Kind
	// body is the time that the body takes, and clock how late the caller's reckoning is, which counts from the end of the body.
	body, clock time.Duration
}

// streamResult is what became of a streamCall.
type streamResult struct {
	*request
	refusal *errkind.Error
	// early is how much earlier than the caller's time was up the gateway ended the stream; negative if it was later.
	early time.Duration
}

// request returns the request at the end of its body.
func (c streamCall) request(h *Handler) *request {
	q := &request{
		handler: h, arrived: time.Now(), serviceName: "s", view: &hostsync.View{Index: catalog.NewIndex(&catalog.Document{}), Hosts: 1},
		Call:  &Call{ID: "call", Method: http.MethodPost, URI: "/", Authority: "s", CallerTimeout: c.timeout},
		route: &catalog.Route{Name: "r", Kind: cmp.Or(c.kind, catalog.Streaming), Timeout: c.routeTimeout, MaxAttempts: 2, Resumable: true},
	}
	q.setDeadline()
	time.Sleep(c.body)
	q.bodyReadAt = time.Now()
	return q
}

// play sends the stream through the handler. A caller that leaves does so when its time is up.
func (c streamCall) play(t *testing.T, h *Handler, leaves bool) *streamResult {
	q := c.request(h)
	callersDeadline := time.Now().Add(min(c.timeout, c.routeTimeout) + c.clock)
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	if leaves {
		defer time.AfterFunc(time.Until(callersDeadline), leave).Stop()
	}
	r := httptest.NewRequest(http.MethodPost, "/", nil).WithContext(ctx)
	result := &streamResult{request: q, refusal: q.serve(httptest.NewRecorder(), r), early: time.Until(callersDeadline)}
	time.Sleep(2 * eventInterval) // the upstream notices that its connection is closed
	return result
}

// Guards against streams that the gateway cuts at their deadline while their callers, who reckon it from the end of the body or by a clock that is a little late, wait on.
func TestBegunStreamIsNotEndedBeforeItsCallersTimeIsUp(t *testing.T) {
	const timeout = time.Second
	for name, test := range map[string]struct {
		call     streamCall
		obeys    bool
		stopping bool
	}{
		"late body":                                 {call: streamCall{timeout: timeout, routeTimeout: timeout, body: 300 * time.Millisecond}},
		"late body, upstream obeys the deadline":    {call: streamCall{timeout: timeout, routeTimeout: timeout, body: 300 * time.Millisecond}, obeys: true},
		"late body in a stop":                       {call: streamCall{timeout: timeout, routeTimeout: timeout, body: 300 * time.Millisecond}, stopping: true},
		"late body, timeout of the route first":     {call: streamCall{timeout: 2 * timeout, routeTimeout: timeout, body: 300 * time.Millisecond}},
		"clock 100 ms late":                         {call: streamCall{timeout: timeout, routeTimeout: timeout, clock: 100 * time.Millisecond}},
		"clock 150 ms late in a stop":               {call: streamCall{timeout: timeout, routeTimeout: timeout, clock: 150 * time.Millisecond}, stopping: true},
		"late body and clock 150 ms late":           {call: streamCall{timeout: timeout, routeTimeout: timeout, body: 300 * time.Millisecond, clock: 150 * time.Millisecond}},
		"late body and clock 150 ms late in a stop": {call: streamCall{timeout: timeout, routeTimeout: timeout, body: 300 * time.Millisecond, clock: 150 * time.Millisecond}, stopping: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				upstream := &streamUpstream{obeys: test.obeys}
				h := newStreamHandler(upstream, "u")
				if test.stopping {
					h.BeginStop(StopPlan{Began: time.Now(), Refuse: time.Now().Add(2 * time.Second), Answer: time.Now().Add(6 * time.Second), End: time.Now().Add(7 * time.Second)})
				}
				result := test.call.play(t, h, true)
				g.Expect(result.eventsSent).To(BeNumerically(">", 10))
				g.Expect(result.early).To(BeNumerically("<=", 0), "ended by %s", result.endedBy)
			})
		})
	}
}

// Guards against upstreams that stop work on a stream while its caller, who reckons from the end of the body, waits on.
func TestUpstreamOfAStreamIsSentTheTimeLeftFromTheEndOfTheBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		upstream := &streamUpstream{}
		streamCall{timeout: time.Second, routeTimeout: time.Second, body: 300 * time.Millisecond}.play(t, newStreamHandler(upstream, "u"), true)
		g.Expect(upstream.given).To(Equal([]time.Duration{time.Second}))
	})
}

// Guards against streams without end whose callers do not leave, and against upstreams that work on for them.
func TestBegunStreamOfACallerWhoStaysEndsShortlyAfterItsDeadline(t *testing.T) {
	for name, call := range map[string]streamCall{
		"prompt":                     {timeout: time.Second, routeTimeout: 2 * time.Second},
		"late body":                  {timeout: time.Second, routeTimeout: time.Second, body: 300 * time.Millisecond},
		"timeout of the route first": {timeout: time.Minute, routeTimeout: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				upstream := &streamUpstream{}
				result := call.play(t, newStreamHandler(upstream, "u"), false)
				g.Expect(result.early).To(Equal(-deadlineTolerance))
				g.Expect(result.endedBy).To(Equal(endedByDeadline))
				g.Expect(result.refusal.Kind).To(Equal(errkind.OutcomeUnknown))
				g.Expect(<-upstream.left).To(BeTemporally("~", result.arrived.Add(call.body+time.Second+deadlineTolerance), eventInterval))
				g.Expect(upstream.dials.Load()).To(BeEquivalentTo(1))
			})
		})
	}
}

// Guards against streams of callers who state no deadline that are cut before the timeout of their route.
func TestStreamWithoutAStatedDeadlineLastsForTheTimeoutOfItsRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		upstream := &streamUpstream{}
		result := streamCall{routeTimeout: time.Second, body: 300 * time.Millisecond}.play(t, newStreamHandler(upstream, "u"), false)
		g.Expect(time.Until(result.arrived.Add(1300*time.Millisecond + deadlineTolerance))).To(Equal(-2 * eventInterval))
		g.Expect(upstream.given).To(Equal([]time.Duration{time.Second}))
	})
}

// Guards against requests without an answer that are held longer than the deadline from their head.
func TestRequestWithoutAnAnswerIsAnsweredAtItsDeadline(t *testing.T) {
	for name, test := range map[string]struct {
		kind  catalog.Kind
		given time.Duration
	}{
		"stream":              {catalog.Streaming, time.Second},
		"answer in one piece": {catalog.NonIdempotent, 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				upstream := &streamUpstream{waits: 2 * time.Second}
				call := streamCall{timeout: time.Second, routeTimeout: time.Second, kind: test.kind, body: 300 * time.Millisecond}
				result := call.play(t, newStreamHandler(upstream, "u"), false)
				g.Expect(result.early).To(Equal(300 * time.Millisecond))
				g.Expect(result.refusal.Kind).To(Equal(errkind.OutcomeUnknown))
				g.Expect(result.eventsSent).To(BeZero())
				g.Expect(upstream.given).To(Equal([]time.Duration{test.given}))
				time.Sleep(upstream.waits)
			})
		})
	}
}

// Guards against an answer whose body is still arriving at the deadline, and that is held longer than one that has not begun.
func TestAnswerInOnePieceThatIsStillArrivingEndsAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		call := streamCall{timeout: time.Second, routeTimeout: time.Second, kind: catalog.NonIdempotent, body: 300 * time.Millisecond}
		result := call.play(t, newStreamHandler(&streamUpstream{}, "u"), false)
		g.Expect(result.early).To(Equal(300 * time.Millisecond))
		g.Expect(result.refusal.Kind).To(Equal(errkind.OutcomeUnknown))
	})
}

// Guards against streams whose first event comes at the deadline, and that are both refused and begun.
func TestFirstEventAtTheDeadlineBeginsAStreamOrComesTooLate(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h := newStreamHandler(&streamUpstream{waits: time.Second}, "u")
			result := streamCall{timeout: time.Second, routeTimeout: time.Second}.play(t, h, false)
			if result.eventsSent == 0 {
				g.Expect(result.early).To(BeZero())
				g.Expect(result.refusal.Message).To(ContainSubstring("before an answer arrived"))
				return
			}
			g.Expect(result.early).To(Equal(-deadlineTolerance))
		})
	}
}

// Guards against streams that end with their connection at the deadline, and reach their callers as complete.
func TestUnframedStreamThatEndsAtItsDeadlineIsNotComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newStreamHandler(&streamUpstream{obeys: true, unframed: true}, "u")
		result := streamCall{timeout: time.Second, routeTimeout: time.Second}.play(t, h, false)
		g.Expect(result.refusal).NotTo(BeNil())
		g.Expect(result.endedBy).To(Equal(endedByUpstreamDeadline))
		g.Expect(result.outcome).To(Equal(gotNothing))
	})
}

// Guards against upstreams that are ejected or taken to have crashed as they end streams at the deadline that they were sent.
func TestUpstreamThatEndsAStreamAtItsDeadlineHasNotFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		upstream := &streamUpstream{obeys: true}
		h := newStreamHandler(upstream, "u")
		const streams = 10
		for range streams {
			result := streamCall{timeout: time.Second, routeTimeout: time.Second}.play(t, h, false)
			g.Expect(result.endedBy).To(Equal(endedByUpstreamDeadline))
			g.Expect(result.attempts).To(Equal(1))
		}
		g.Expect(upstream.dials.Load()).To(BeEquivalentTo(streams), "none to see whether it has crashed")
		g.Expect(h.Pool.HasReady("s", time.Now())).To(BeTrue())
	})
}

// Guards against streams that go on at another upstream for longer than at the first, or not at all after the deadline from the head.
func TestStreamThatGoesOnElsewhereEndsWhenItWouldHave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		upstream := &streamUpstream{}
		h := newStreamHandler(upstream, "u")
		q := streamCall{timeout: time.Second, routeTimeout: time.Second, body: 300 * time.Millisecond}.request(h)
		defer q.bindContext(t.Context())()
		target, refused := h.Pool.Choose(&placement.Request{Service: "s"}, time.Now())
		g.Expect(refused).To(BeNil())
		a := &attempt{request: q, target: target}
		a.prepareRequest()
		g.Expect(q.beginStream()).To(BeTrue())
		q.eventsSent, q.resumable = 1, true
		for range 2 {
			time.Sleep(400 * time.Millisecond)
			g.Expect(q.mayRetry("s", resultStreamInterrupted)).To(BeTrue())
			a.prepareRequest()
		}
		g.Expect(upstream.given).To(Equal([]time.Duration{time.Second, 600 * time.Millisecond, 200 * time.Millisecond}))
		time.Sleep(200 * time.Millisecond)
		g.Expect(q.mayRetry("s", resultStreamInterrupted)).To(BeFalse(), "its caller's time is up")
		g.Expect(a.prepareRequest()).To(BeNil(), "connecting has taken too long")
	})
}

// Guards against streams that their callers can't take up in the time that they have left from the end of the body.
func TestOriginOfAStreamIsKeptUntilItsCallersTimeIsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		q := streamCall{timeout: 8 * time.Second, routeTimeout: 8 * time.Second, body: 3 * time.Second}.request(newStreamHandler(&streamUpstream{}, "u"))
		time.Sleep(time.Second)
		g.Expect(q.originLifetime()).To(Equal(7*time.Second + originSlack))
	})
}

// Guards against dials that are counted as failed as their caller has left, and not counted as the deadline passed.
func TestContextOfARequestTellsItsDeadlineFromItsCallersLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newStreamHandler(&streamUpstream{}, "u")
		begin := func(parent context.Context) *request {
			q := &request{handler: h, arrived: time.Now(), deadline: time.Now().Add(time.Second)}
			t.Cleanup(q.bindContext(parent))
			return q
		}
		parent, leave := context.WithCancel(t.Context())
		late, begun, left, stopped := begin(t.Context()), begin(t.Context()), begin(parent), begin(t.Context())
		g.Expect(begun.beginStream()).To(BeTrue())
		leave()
		g.Expect(left.ctx.Err()).To(MatchError(context.Canceled))
		g.Expect(stopped.beginStream()).To(BeTrue())
		time.Sleep(time.Second)
		synctest.Wait()
		g.Expect(withVia(late.ctx, new(string)).Err()).To(MatchError(context.DeadlineExceeded))
		g.Expect(late.beginStream()).To(BeFalse())
		g.Expect(begun.ctx.Err()).NotTo(HaveOccurred())
		deadline, _ := begun.ctx.Deadline()
		g.Expect(time.Until(deadline)).To(Equal(deadlineTolerance))
		h.EndStreams()
		synctest.Wait()
		g.Expect(stopped.ctx.Err()).To(MatchError(context.Canceled))
		g.Expect(contextEnd(stopped.ctx)).To(Equal(endedByHostStop))
		g.Expect(contextEnd(late.ctx)).To(Equal(endedByDeadline))
		g.Expect(contextEnd(left.ctx)).To(Equal(endedByCaller))
	})
}

// Guards against streams with a late body that a stopping gateway takes though they may outlast the stop.
func TestStoppingGatewayReckonsTheDeadlineOfAStreamFromTheEndOfItsBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newStreamHandler(&streamUpstream{}, "u")
		h.BeginStop(StopPlan{Began: time.Now(), Refuse: time.Now().Add(time.Second), Answer: time.Now().Add(time.Second)})
		q := &request{handler: h, route: &catalog.Route{Kind: catalog.Streaming}, arrived: time.Now(), deadline: time.Now().Add(900 * time.Millisecond)}
		q.bodyReadAt = q.arrived.Add(100 * time.Millisecond)
		g.Expect(q.checkStopTime()).To(BeNil())
		q.bodyReadAt = q.arrived.Add(101 * time.Millisecond)
		g.Expect(q.checkStopTime()).To(HaveField("Kind", errkind.Draining))
	})
}
