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
	// lastReportTime is the time reserved for a report to the control group. It takes part of the stop timeout before the
	// requests without an answer are answered, and after that; a kill writes off little then.
	lastReportTime = 500 * time.Millisecond
	// unhurriedCloseTime is the time in which a process that is not killed closes its session.
	unhurriedCloseTime = time.Second
	// tokenWaitTime is the time in which most requests that were taken before others are refused have reserved their tokens.
	tokenWaitTime = time.Second
	// closeMargin is the part of the stop timeout that is left when the closing of the session is given up, or the process
	// exits though requests still come.
	closeMargin = 150 * time.Millisecond
	// killDelay is how long after the stop timeout a process that is not killed ends the streams that have begun.
	killDelay = 500 * time.Millisecond
	// writtenPollInterval is the interval at which a stop looks for answers that are being written.
	writtenPollInterval = 5 * time.Millisecond
	// maxSignalDelay is how late a process that runs may learn of a signal, and signalDelayDivisor sets the part of the
	// stop timeout (1 in N) that bounds it.
	maxSignalDelay     = time.Second
	signalDelayDivisor = 8
	// quietTime is the time without requests on kept connections after which a stopping host exits. Requests may have been
	// sent and not read yet.
	quietTime = 500 * time.Millisecond
	// quietPollInterval is the interval at which a stop looks for such requests.
	quietPollInterval = 20 * time.Millisecond
	// newConnectionTime is how long a host that refuses connections waits for the requests of those that it has accepted.
	newConnectionTime = 500 * time.Millisecond
)

// callerServer is the server for callers of a gateway.
type callerServer struct {
	*http.Server
	handler *gateway.Handler
	// listener accepts the connections of callers until the end of a stop; refuse closes it.
	listener net.Listener
	refuse   sync.Once

	mu sync.Mutex
	// connections holds the connections of callers, and active is the number of those that carry a request.
	connections map[net.Conn]http.ConnState
	active      int
	// lastKept is when a request last came on a connection that had carried another, or was answered on one that was kept.
	lastKept time.Time
}

func newCallerServer(handler *gateway.Handler) *callerServer {
	s := &callerServer{handler: handler, connections: map[net.Conn]http.ConnState{}}
	s.Server = &http.Server{
		Handler: handler, ConnState: s.trackConnection,
	}
	return s
}

// serve serves callers on listener until the end of a stop.
func (s *callerServer) serve(listener net.Listener) {
	s.listener = listener
	serveOn(listener, s.Server)
}

func (s *callerServer) trackConnection(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.connections[c]
	if before == http.StateActive {
		s.active--
	}
	if before == http.StateIdle && state == http.StateActive || state == http.StateIdle {
		s.lastKept = time.Now()
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
	// learned is when the process learned of the signal, and sentAfter the earliest time at which that may have been sent.
	learned, sentAfter time.Time
	// directed is when the load balancer directs callers to other hosts, if the signal was sent as late as it may have been.
	directed time.Time
	// lastReport is when the open streams are reported once more, shortly before the kill.
	lastReport time.Time
}

// planStop returns the plan of a stop whose signal was learned of now. The process last ran at ranAt before that, and
// may learn of a signal late even while it runs. It is killed timeout after the signal. Requests without an answer get
// one before that, early enough to report the tokens that are free. Streams that have begun go on until the kill, as
// that costs their callers no more than an orderly end, and comes no sooner.
func planStop(ranAt, now time.Time, timeout time.Duration) stopPlan {
	delay := min(drainDelay, timeout/3)
	sentAfter := earlier(ranAt, now.Add(-min(maxSignalDelay, timeout/signalDelayDivisor)))
	beforeReport := now.Add(timeout - exitMargin - lastReportTime)
	beforeKill := earlier(sentAfter.Add(timeout), ranAt.Add(timeout-exitMargin))
	answer := later(now, earlier(beforeReport, beforeKill).Add(-lastAnswersTime))
	return stopPlan{
		StopPlan: gateway.StopPlan{
			Began: ranAt, Refuse: earlier(now.Add(delay), ranAt.Add(delay+drainSlack)), Answer: answer, End: now.Add(timeout + killDelay),
			EarliestKill: sentAfter.Add(timeout), LatestKill: now.Add(timeout),
		},
		learned: now, sentAfter: sentAfter, directed: earlier(now.Add(delay), answer), lastReport: now.Add(timeout - exitMargin),
	}
}

// endTimes returns the times by which the process should have closed its session, and have exited, once no streams are left. reported
// tells that the control group knows the last use.
func (p *stopPlan) endTimes(now time.Time, timeout time.Duration, reported bool) (closeBy, exitBy time.Time) {
	closeBy, exitBy = p.Began.Add(timeout-closeMargin), p.Began.Add(timeout-closeMargin)
	switch {
	case !now.Before(p.End): // no kill is to come
		closeBy = now.Add(unhurriedCloseTime)
		exitBy = closeBy.Add(quietTime + newConnectionTime)
	case reported: // an open session costs nothing more
		closeBy = p.sentAfter.Add(timeout - closeMargin)
	}
	return closeBy, exitBy
}

// refuseConnectionsAt returns when new connections are refused though streams go on: what comes on those before is answered before the
// earliest kill, also by a process that stands still for a while.
func (p *stopPlan) refuseConnectionsAt(timeout time.Duration) time.Time {
	return later(p.Refuse, p.Answer.Add(-min(maxSignalDelay, timeout/signalDelayDivisor)))
}

// sealAt returns when spending ends, after the last requests that wait for tokens. It leaves time for a report that a slow control
// group acknowledges before the kill.
func (p *stopPlan) sealAt() time.Time {
	return later(p.Refuse, earlier(p.Refuse.Add(tokenWaitTime), p.Answer.Add(-lastReportTime)))
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

// session is the session of this host with the control group.
type session interface {
	// Seal ends all spending, but for requests that have reserved their tokens.
	Seal()
	// ReportLastUse returns once the control group knows that the session is sealed, and what it may still use at most.
	ReportLastUse(ctx context.Context) error
}

// stop waits until the load balancer directs callers to other hosts, then refuses new requests and waits for those in
// flight, and for the tunnels of other hosts. Requests that come until the process exits are refused, so that none that
// was read ends without an answer: connections stay open. All that a kill would lose is done before it may come; only
// streams that have begun, of this host or in tunnels, go on until then. A process that has stalled, and refuses early as its signal may be old,
// goes on refusing until callers are directed elsewhere. stop returns the times by which the process
// should have closed its session, and have exited.
func (s *callerServer) stop(timeout time.Duration, stalls *stallDetector, tunnels *tunnel.Server, session session) (closeBy, exitBy time.Time) {
	now, ranAt := stalls.signalTimes()
	plan := planStop(ranAt, now, timeout)
	tunnels.Stop()
	tunnels.TellOfKill(plan.EarliestKill, plan.LatestKill)
	s.handler.BeginStop(plan.StopPlan)
	go s.handler.MoveSilentRuns()
	time.AfterFunc(time.Until(plan.refuseConnectionsAt(timeout)), s.refuseConnections)
	klog.InfoS("draining", append([]any{
		"in_flight", s.handler.InFlight(), "connections", s.openConnections(), "stalled_ms", now.Sub(ranAt).Milliseconds(),
	}, plan.logFields(now)...)...)
	time.Sleep(time.Until(plan.Refuse))
	s.logProgress("refusing new requests", plan.Began)
	s.awaitAnswers(plan, session)
	time.Sleep(time.Until(plan.directed))
	s.logProgress("drained", plan.Began, "tunnels", tunnels.Open())
	reported := s.finish(plan, tunnels, session)
	return plan.endTimes(time.Now(), timeout, reported)
}

// awaitAnswers waits until the requests that were taken are answered, and ends those whose answer has not begun by the plan.
func (s *callerServer) awaitAnswers(plan stopPlan, session session) {
	beforeAnswer, cancel := context.WithDeadline(context.Background(), plan.Answer)
	defer cancel()
	sealing := time.AfterFunc(time.Until(plan.sealAt()), session.Seal)
	defer sealing.Stop()
	s.handler.AwaitRequests(beforeAnswer)
	s.handler.EndRequests()
	session.Seal()
	answered, cancelAnswered := context.WithTimeout(context.Background(), lastAnswersTime)
	defer cancelAnswered()
	s.handler.AwaitAnswers(answered)
}

// finish does what a kill would lose while the streams that have begun go on, and waits for their end. It returns whether the
// last use is reported.
func (s *callerServer) finish(plan stopPlan, tunnels *tunnel.Server, session session) (reported bool) {
	until, cancel := context.WithDeadline(context.Background(), plan.End)
	defer cancel()
	signal := gateway.SignalTimes{Learned: plan.learned, SentAfter: plan.sentAfter}
	s.handler.ReportOpenStreams(signal)
	again := time.AfterFunc(time.Until(plan.lastReport), func() { s.handler.ReportOpenStreams(signal) })
	defer again.Stop()
	var reporting sync.WaitGroup
	reporting.Go(func() { reported = s.reportLastUse(until, plan, session) })
	giveUp := time.Now().Add(lastReportTime)
	s.awaitStreams(until, plan, tunnels)
	late := time.AfterFunc(time.Until(giveUp), cancel)
	defer late.Stop()
	s.handler.ReportOpenStreams(signal) // it arrives while the session is closed
	reporting.Wait()
	return reported
}

// refuseConnections refuses new connections, so that their callers turn to other hosts at once.
func (s *callerServer) refuseConnections() {
	s.refuse.Do(func() {
		klog.InfoS("refusing new connections", "connections", s.openConnections())
		if err := s.listener.Close(); err != nil {
			klog.ErrorS(err, "still accepting connections of callers")
		}
	})
}

// endConnections waits until no requests come on kept connections, as one that crosses their end gets no answer, and then until
// those on new ones are answered. New ones are refused only then: where most hosts stop at once the load balancer has no others
// for them.
func (s *callerServer) endConnections(exitBy time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), exitBy)
	defer cancel()
	s.awaitQuiet(ctx)
	s.refuseConnections()
	last, cancelLast := context.WithTimeout(ctx, newConnectionTime)
	defer cancelLast()
	if timing.Sleep(last, lastAnswersTime) { // a process that has not run reads what was sent meanwhile
		if err := s.Shutdown(last); err != nil {
			klog.InfoS("exiting with connections on which a request was awaited or is being answered", "error", err.Error())
		}
	}
	s.awaitWritten()
}

// awaitQuiet waits until kept connections have carried no request for quietTime, or ctx is done. New connections do not count,
// as none is kept in a stop.
func (s *callerServer) awaitQuiet(ctx context.Context) {
	timing.EveryUntil(ctx, quietPollInterval, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return time.Since(s.lastKept) < quietTime
	})
}

// reportLastUse reports the last use. If the process is killed while streams that have begun go on, it is charged for what
// was reported and for the most that these may use; what they use until then is reported as they end.
func (s *callerServer) reportLastUse(ctx context.Context, plan stopPlan, session session) (reported bool) {
	if err := session.ReportLastUse(ctx); err != nil {
		klog.InfoS("last use not reported", "error", err.Error())
		return false
	}
	s.logProgress("last use reported", plan.Began)
	return true
}

// awaitStreams waits until all streams and tunnels have ended. It ends those that go on though the process was not killed.
func (s *callerServer) awaitStreams(ctx context.Context, plan stopPlan, tunnels *tunnel.Server) {
	s.handler.AwaitRequests(ctx)
	if ctx.Err() != nil {
		klog.InfoS("not killed at the stop timeout: ending streams", "begun_streams", s.handler.BegunStreams())
	}
	s.handler.EndStreams()
	settled, cancel := context.WithTimeout(context.Background(), lastAnswersTime)
	defer cancel()
	s.handler.AwaitRequests(settled)
	tunnels.Drain(ctx)
	s.logProgress("streams ended", plan.Began, "tunnels", tunnels.Open())
}

func (s *callerServer) logProgress(message string, began time.Time, more ...any) {
	fields := append(s.handler.StopLogFields(), "connections", s.openConnections(), "stopping_ms", time.Since(began).Milliseconds())
	klog.InfoS(message, append(fields, more...)...)
}
