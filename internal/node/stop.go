package node

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/gateway"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// drainDelay is the time for which a stopping host still accepts requests, while
	// the load balancer detects that it is not ready and directs new connections to
	// other hosts.
	drainDelay = 2500 * time.Millisecond
	// drainSlack is how much later than drainDelay after its signal a process that learns of it late refuses requests.
	drainSlack = 400 * time.Millisecond
	// lastParts is the number of parts of the stop timeout of which the last may not be left to requests in flight.
	lastParts = 6
	// lastAnswersTime is the part of the stop timeout in which the requests that are still in flight are answered.
	lastAnswersTime = 200 * time.Millisecond
	// passOnTime is the time for what upstreams have made to reach callers.
	passOnTime = 200 * time.Millisecond
	// sessionCloseTime is the part of the stop timeout reserved for the final report to the
	// control group.
	sessionCloseTime = 500 * time.Millisecond
	// quietTime is the time without requests after which a stopping host closes idle connections. Requests on them
	// may have been sent and not read yet.
	quietTime = 500 * time.Millisecond
	// relayPollInterval is the interval at which a stop looks for connections that it carries for other hosts.
	relayPollInterval = 20 * time.Millisecond
	// pulseInterval is the interval at which a process notes that it runs.
	pulseInterval = 50 * time.Millisecond
	// catchUpTime is the time in which a process that runs again learns of the signals that were sent while it did not.
	catchUpTime = time.Second
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
	// end is when all connections are closed.
	end time.Time
}

// planStop returns the plan of a stop whose signal was learned of now, and sent after sentAfter. The process is killed
// timeout after it was sent, which it forestalls unless requests in flight had less than their part of the timeout then.
func planStop(sentAfter, now time.Time, timeout time.Duration) stopPlan {
	delay := min(drainDelay, timeout/3)
	latest := now.Add(timeout - exitMargin - sessionCloseTime - lastAnswersTime)
	answer := earlier(latest, later(sentAfter.Add(timeout-exitMargin-lastAnswersTime), now.Add(timeout-timeout/lastParts+passOnTime)))
	return stopPlan{
		StopPlan: gateway.StopPlan{Began: sentAfter, Refuse: earlier(now.Add(delay), sentAfter.Add(delay+drainSlack)), Answer: answer},
		end:      answer.Add(lastAnswersTime),
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

// stop waits until the load balancer directs callers to other hosts, then
// refuses new requests and waits for those in flight. What is in flight shortly before the stop
// timeout is answered without its upstream, as the connections are closed then. Answers ask callers to leave their
// connections; those that are idle stay open until the others are done, so that requests on them are answered too.
// Connections to upstreams that the host carries for others have until the end as well.
func (s *callerServer) stop(timeout time.Duration, pulse *pulse, relay *relay) {
	now, sentAfter := time.Now(), pulse.signalSentAfter()
	plan := planStop(sentAfter, now, timeout)
	s.handler.BeginStop(plan.StopPlan)
	klog.InfoS("draining", "in_flight", s.handler.InFlight(), "connections", s.connections.Load(), "not_run_ms", now.Sub(sentAfter).Milliseconds())
	time.Sleep(time.Until(plan.Refuse))
	s.logProgress("refusing new requests", sentAfter)
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
	timing.EveryUntil(ctx, relayPollInterval, func() bool { return relay.Open() > 0 })
	s.logProgress("drained", sentAfter, "carried_for_others", relay.Open())
}

func (s *callerServer) logProgress(message string, began time.Time, more ...any) {
	fields := append(s.handler.StopLogFields(), "connections", s.connections.Load(), "stopping_ms", time.Since(began).Milliseconds())
	klog.InfoS(message, append(fields, more...)...)
}

// pulse notes when the process runs, to tell how late it may have learned of a signal.
type pulse struct {
	mu   sync.Mutex
	last time.Time
	// holdUps are those that ended within catchUpTime.
	holdUps []holdUp
}

// holdUp is a time in which the process did not run.
type holdUp struct{ from, to time.Time }

func newPulse() *pulse { return &pulse{last: time.Now()} }

func (p *pulse) run(ctx context.Context) { timing.Every(ctx, pulseInterval, p.beat) }

func (p *pulse) beat() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.forget(now)
	if now.Sub(p.last) > 2*pulseInterval {
		p.holdUps = append(p.holdUps, holdUp{from: p.last, to: now})
	}
	p.last = now
}

// signalSentAfter returns the time after which a signal was sent that the process learns of now.
func (p *pulse) signalSentAfter() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(time.Now())
	if len(p.holdUps) > 0 {
		return p.holdUps[0].from
	}
	return p.last
}

// forget removes the hold-ups after which the process has had the time to learn of all signals. The caller holds p.mu.
func (p *pulse) forget(now time.Time) {
	p.holdUps = slices.DeleteFunc(p.holdUps, func(h holdUp) bool { return now.Sub(h.to) >= catchUpTime })
}
