package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/gateway"
	"github.com/godwitbend/godwitbend/internal/timing"
	"github.com/godwitbend/godwitbend/internal/tunnel"
)

const (
	// drainDelay is the time for which a stopping host still accepts requests, while
	// the load balancer detects that it is not ready and directs new connections to
	// other hosts.
	drainDelay = 2500 * time.Millisecond
	// drainSlack is how much later than drainDelay after its signal a process that learns of it late refuses requests.
	drainSlack = 400 * time.Millisecond
	// lastAnswersTime is the part of the stop timeout in which the requests that are still in flight are answered.
	lastAnswersTime = 100 * time.Millisecond
	// sessionCloseTime is the part of the stop timeout reserved for the report of what no request has reserved, after which
	// a kill writes off little.
	sessionCloseTime = 500 * time.Millisecond
	// writtenPollInterval is the interval at which a stop looks for answers that are being written.
	writtenPollInterval = 5 * time.Millisecond
	// maxSignalDelay is how late a process that runs may learn of a signal, and signalDelayDivisor sets the part of the
	// stop timeout (1 in N) that bounds it.
	maxSignalDelay     = time.Second
	signalDelayDivisor = 8
	// quietTime is the time without requests after which a stopping host exits. Requests may have been sent and not
	// read yet.
	quietTime = 500 * time.Millisecond
)

// callerServer is the server for callers of a gateway.
type callerServer struct {
	*http.Server
	handler *gateway.Handler

	mu sync.Mutex
	// connections holds the connections of callers, and active is the number of those that carry a request.
	connections map[net.Conn]http.ConnState
	active      int
}

func newCallerServer(handler *gateway.Handler) *callerServer {
	s := &callerServer{handler: handler, connections: map[net.Conn]http.ConnState{}}
	s.Server = &http.Server{
		Handler: handler, IdleTimeout: callerIdleTimeout, ConnState: s.trackConnection,
		ReadHeaderTimeout: callerHeaderTimeout, MaxHeaderBytes: callerHeaderBytes,
	}
	return s
}

func (s *callerServer) trackConnection(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections[c] == http.StateActive {
		s.active--
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.connections, c)
		return
	case http.StateActive:
		s.active++
	}
	s.connections[c] = state
}

func (s *callerServer) openConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// awaitWritten waits until no connection carries a request, as the last bytes of an answer are written after its request
// has ended. It takes lastAnswersTime at most.
func (s *callerServer) awaitWritten() {
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswersTime)
	defer cancel()
	timing.EveryUntil(ctx, writtenPollInterval, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.active > 0
	})
}

// stopPlan holds the times of the steps of a stop.
type stopPlan struct {
	gateway.StopPlan
	// sentAfter is the earliest time at which the signal may have been sent.
	sentAfter time.Time
}

// planStop returns the plan of a stop whose signal was learned of now. The process last ran at ranAt before that, and
// may learn of a signal late even while it runs. It is killed timeout after the signal. Requests without an answer get
// one before that, early enough to report the tokens that are free. Streams that have begun go on for as long as the
// process may run, as a kill costs their callers no more than an orderly end.
func planStop(ranAt, now time.Time, timeout time.Duration) stopPlan {
	delay := min(drainDelay, timeout/3)
	sentAfter := earlier(ranAt, now.Add(-min(maxSignalDelay, timeout/signalDelayDivisor)))
	beforeReport := now.Add(timeout - exitMargin - sessionCloseTime)
	beforeKill := earlier(sentAfter.Add(timeout), ranAt.Add(timeout-exitMargin))
	return stopPlan{
		StopPlan: gateway.StopPlan{
			Began: ranAt, Refuse: earlier(now.Add(delay), ranAt.Add(delay+drainSlack)),
			Answer: later(now, earlier(beforeReport, beforeKill).Add(-lastAnswersTime)), End: now.Add(timeout - exitMargin),
		},
		sentAfter: sentAfter,
	}
}

// logFields returns the earliest time at which the signal was sent, and the times of the steps after now.
func (p *stopPlan) logFields(now time.Time) []any {
	return []any{
		"signal_sent_after", p.sentAfter, "refuses_in_ms", p.Refuse.Sub(now).Milliseconds(),
		"answers_in_ms", p.Answer.Sub(now).Milliseconds(), "ends_in_ms", p.End.Sub(now).Milliseconds(),
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// stop waits until the load balancer directs callers to other hosts, then refuses new requests and waits for those in
// flight, and for the tunnels of other hosts. Requests that come until the process exits are refused, so that none that
// was read ends without an answer: connections stay open. seal is called once no request begins any more. stop returns
// the time by which the process must have exited.
func (s *callerServer) stop(timeout time.Duration, stalls *stallDetector, tunnels *tunnel.Server, seal func()) (exitBy time.Time) {
	now, ranAt := time.Now(), stalls.ranBeforeSignal()
	plan := planStop(ranAt, now, timeout)
	tunnels.Stop()
	s.handler.BeginStop(plan.StopPlan)
	klog.InfoS("draining", append([]any{
		"in_flight", s.handler.InFlight(), "connections", s.openConnections(), "stalled_ms", now.Sub(ranAt).Milliseconds(),
	}, plan.logFields(now)...)...)
	time.Sleep(time.Until(plan.Refuse))
	s.logProgress("refusing new requests", plan.Began)
	ctx, cancel := context.WithDeadline(context.Background(), plan.End)
	defer cancel()
	s.awaitAnswers(ctx, plan, seal)
	tunnels.Drain(ctx)
	s.logProgress("drained", plan.Began, "tunnels", tunnels.Open())
	return later(plan.Began.Add(timeout-exitMargin), plan.End)
}

// awaitAnswers waits until the requests that were taken are answered, and ends them by the plan.
func (s *callerServer) awaitAnswers(ctx context.Context, plan stopPlan, seal func()) {
	beforeAnswer, cancel := context.WithDeadline(ctx, plan.Answer)
	defer cancel()
	s.handler.AwaitRequests(beforeAnswer, quietTime)
	s.handler.EndRequests()
	seal()
	s.handler.AwaitRequests(ctx, 0)
	if ctx.Err() != nil {
		klog.InfoS("stop timeout reached with requests in flight", "in_flight", s.handler.InFlight())
	}
	s.handler.EndStreams()
	settled, cancelSettled := context.WithTimeout(context.Background(), lastAnswersTime)
	defer cancelSettled()
	s.handler.AwaitRequests(settled, 0)
}

func (s *callerServer) logProgress(message string, began time.Time, more ...any) {
	fields := append(s.handler.StopLogFields(), "connections", s.openConnections(), "stopping_ms", time.Since(began).Milliseconds())
	klog.InfoS(message, append(fields, more...)...)
}
