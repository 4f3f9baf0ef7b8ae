package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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
	// waits is the time until the first event, obeys makes it end streams at the deadline that it is sent, and breaksAfter the number of events after
	// which it ends each.
	waits       time.Duration
	obeys       bool
	breaksAfter int
	// given holds the times that it was sent, and left receives an element when the connection of a stream is closed.
	given []time.Duration
	left  chan time.Time
}

func (u *streamUpstream) Encode(_ *Call, m *UpstreamMetadata) http.Header {
	u.given = append(u.given, m.TimeRemaining)
	return http.Header{}
}

func (*streamUpstream) ClassifyAnswer(*Call, *http.Response) AnswerClass { return AnswerClass{} }
func (*streamUpstream) AnswerHeader(h http.Header) http.Header           { return h.Clone() }

func (u *streamUpstream) dial(context.Context, string) (io.ReadWriteCloser, error) {
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
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for i := 1; !u.obeys || time.Now().Before(deadline); i++ {
		if u.breaksAfter > 0 && i > u.breaksAfter {
			return
		}
		event := fmt.Sprintf("id: %d\ndata: token\n\n", i)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
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

// play sends the stream through the handler. A caller that leaves does so when its time is up.
func (c streamCall) play(t *testing.T, h *Handler, leaves bool) *streamResult {
	q := &request{
		handler: h, arrived: time.Now(), serviceName: "s", view: &hostsync.View{Index: catalog.NewIndex(&catalog.Document{}), Hosts: 1},
		Call:  &Call{ID: "call", Method: http.MethodPost, URI: "/", Authority: "s", CallerTimeout: c.timeout},
		route: &catalog.Route{Name: "r", Kind: catalog.Streaming, Timeout: c.routeTimeout, MaxAttempts: 2, Resumable: true},
	}
	q.setDeadline()
	time.Sleep(c.body)
	q.bodyReadAt = time.Now()
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
