package node

import (
	"context"
	"net"
	"net/http"
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
	// lastAnswersTime is the part of the stop timeout in which the requests that are still in flight are answered.
	lastAnswersTime = 200 * time.Millisecond
	// sessionCloseTime is the part of the stop timeout reserved for the final report to the
	// control group.
	sessionCloseTime = 500 * time.Millisecond
	// pulseInterval is the interval at which a process notes that it runs.
	pulseInterval = 50 * time.Millisecond
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

// stop waits until the load balancer directs callers to other hosts, then
// refuses new requests and waits for those in flight. What is in flight shortly before the stop
// timeout is answered without its upstream, as the connections are closed then.
func (s *callerServer) stop(timeout time.Duration, pulse *pulse) {
	began := time.Now()
	s.handler.BeginStop(began)
	klog.InfoS("draining", "in_flight", s.handler.InFlight(), "connections", s.connections.Load(),
		"not_run_ms", began.Sub(pulse.ranAt()).Milliseconds())
	stopBy := began.Add(timeout - exitMargin - sessionCloseTime)
	time.Sleep(min(drainDelay, timeout/3))
	klog.InfoS("refusing new requests", append(s.handler.StopLogFields(), "connections", s.connections.Load(), "after_ms", time.Since(began).Milliseconds())...)
	s.handler.Close()
	lastAnswers := time.AfterFunc(time.Until(stopBy)-lastAnswersTime, s.handler.EndRequests)
	defer lastAnswers.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), stopBy)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		klog.InfoS("stop timeout reached with requests in flight", "error", err.Error())
	}
	klog.InfoS("drained", append(s.handler.StopLogFields(), "connections", s.connections.Load(), "after_ms", time.Since(began).Milliseconds())...)
}

// pulse notes when the process runs, to tell how late it may have learned of a signal.
type pulse struct {
	mu           sync.Mutex
	last, before time.Time
}

func newPulse() *pulse { return &pulse{last: time.Now(), before: time.Now()} }

func (p *pulse) run(ctx context.Context) { timing.Every(ctx, pulseInterval, p.beat) }

func (p *pulse) beat() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.before, p.last = p.last, time.Now()
}

// ranAt returns a time at which the process ran and had no signal that it learns of now. The latest beat may come
// after that signal, if both waited until the process ran again.
func (p *pulse) ranAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.before
}
