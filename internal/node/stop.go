package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/gateway"
	"github.com/godwitbend/godwitbend/internal/tunnel"
)

const (
	// drainDelay is the time for which a stopping host still accepts requests, while
	// the load balancer detects that it is not ready and directs new connections to
	// other hosts.
	drainDelay = 2500 * time.Millisecond
	// drainSlack is how much later than drainDelay after its signal a process that learns of it late refuses requests.
	drainSlack = 400 * time.Millisecond
	// reserveDivisor sets the part of the stop timeout (1 in N) that may be taken from requests in flight.
	reserveDivisor = 6
	// lastAnswersTime is the part of the stop timeout in which the requests that are still in flight are answered.
	lastAnswersTime = 100 * time.Millisecond
	// passOnTime is the time for what upstreams have made to reach callers.
	passOnTime = 200 * time.Millisecond
	// sessionCloseTime is the part of the stop timeout reserved for the final report to the
	// control group.
	sessionCloseTime = 500 * time.Millisecond
	// maxSignalDelay is how late a process that runs may learn of a signal, and signalDelayDivisor sets the part of the
	// stop timeout (1 in N) that bounds it.
	maxSignalDelay     = time.Second
	signalDelayDivisor = 8
	// quietTime is the time without requests after which a stopping host closes idle connections. Requests on them
	// may have been sent and not read yet.
	quietTime = 500 * time.Millisecond
)

// callerServer is the server for callers of a gateway.
type callerServer struct {
	*http.Server
	handler     *gateway.Handler
	connections atomic.Int64
}

func newCallerServer(handler *gateway.Handler) *callerServer {
	s := &callerServer{handler: handler}
	s.Server = &http.Server{
		Handler: handler, IdleTimeout: callerIdleTimeout, ConnState: s.countConnection,
		ReadHeaderTimeout: callerHeaderTimeout, MaxHeaderBytes: callerHeaderBytes,
	}
	return s
}

func (s *callerServer) countConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.connections.Add(-1)
	}
}

// stopPlan holds the times of the steps of a stop.
type stopPlan struct {
	gateway.StopPlan
	// sentAfter is the earliest time at which the signal may have been sent.
	sentAfter time.Time
	// end is when all connections are closed.
	end time.Time
}

// planStop returns the plan of a stop whose signal was learned of now. The process last ran at ranAt before that, and
// may learn of a signal late even while it runs. It is killed timeout after the signal. The plan ends before that, unless
// requests in flight would have less than their part of the timeout from now on.
func planStop(ranAt, now time.Time, timeout time.Duration) stopPlan {
	delay := min(drainDelay, timeout/3)
	sentAfter := earlier(ranAt, now.Add(-min(maxSignalDelay, timeout/signalDelayDivisor)))
	end := earlier(now.Add(timeout-exitMargin-sessionCloseTime), ranAt.Add(timeout-exitMargin))
	end = earlier(end, sentAfter.Add(timeout))
	latest := now.Add(timeout - exitMargin - sessionCloseTime - lastAnswersTime)
	answer := later(end.Add(-lastAnswersTime), earlier(latest, now.Add(timeout-timeout/reserveDivisor+passOnTime)))
	return stopPlan{
		StopPlan:  gateway.StopPlan{Began: ranAt, Refuse: earlier(now.Add(delay), ranAt.Add(delay+drainSlack)), Answer: answer},
		sentAfter: sentAfter,
		end:       answer.Add(lastAnswersTime),
	}
}

// logFields returns the earliest time at which the signal was sent, and the times of the steps after now.
func (p *stopPlan) logFields(now time.Time) []any {
	return []any{
		"signal_sent_after", p.sentAfter, "refuses_in_ms", p.Refuse.Sub(now).Milliseconds(),
		"answers_in_ms", p.Answer.Sub(now).Milliseconds(), "ends_in_ms", p.end.Sub(now).Milliseconds(),
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
// flight, and for the tunnels of other hosts. What is in flight shortly before the end is answered without its upstream.
// Idle connections stay open until requests on the others are done, as a request may be under way on them. It returns
// the time by which the process must have exited.
func (s *callerServer) stop(timeout time.Duration, stalls *stallDetector, tunnels *tunnel.Server) (exitBy time.Time) {
	now, ranAt := time.Now(), stalls.signalSentAfter()
	plan := planStop(ranAt, now, timeout)
	tunnels.Stop()
	s.handler.BeginStop(plan.StopPlan)
	klog.InfoS("draining", append([]any{
		"in_flight", s.handler.InFlight(), "connections", s.connections.Load(), "stalled_ms", now.Sub(ranAt).Milliseconds(),
	}, plan.logFields(now)...)...)
	time.Sleep(time.Until(plan.Refuse))
	s.logProgress("refusing new requests", plan.Began)
	lastAnswers := time.AfterFunc(time.Until(plan.Answer), s.handler.EndRequests)
	defer lastAnswers.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), plan.end)
	defer cancel()
	inFlight, cancelWait := context.WithDeadline(ctx, plan.Answer)
	defer cancelWait()
	s.handler.AwaitRequests(inFlight, quietTime)
	if err := s.Shutdown(ctx); err != nil {
		klog.InfoS("stop timeout reached with requests in flight", "error", err.Error())
	}
	tunnels.Drain(ctx)
	s.logProgress("drained", plan.Began, "tunnels", tunnels.Open())
	return later(plan.Began.Add(timeout-exitMargin), plan.end)
}

func (s *callerServer) logProgress(message string, began time.Time, more ...any) {
	fields := append(s.handler.StopLogFields(), "connections", s.connections.Load(), "stopping_ms", time.Since(began).Milliseconds())
	klog.InfoS(message, append(fields, more...)...)
}
