package gateway

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/telemetry"
	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

const (
	// noUpstreamRetryAfter is the usual time until an upstream reports again.
	noUpstreamRetryAfter = time.Second
	// fullRetryAfter is the time in which a full upstream usually completes a request.
	fullRetryAfter = 300 * time.Millisecond
	// minAttemptTime is the remaining time below which no attempt is made, as no upstream
	// can answer in it.
	minAttemptTime = 5 * time.Millisecond
	// maxBufferedAnswerBytes bounds the body of an answer that is not streamed.
	maxBufferedAnswerBytes = 4 << 20
	// plainInFlightPerSlot and engineInFlightPerSlot are the numbers of in-flight
	// requests per slot at which an upstream is full.
	plainInFlightPerSlot  = 3
	engineInFlightPerSlot = 2
)

// maxUnreachableUpstreams bounds the upstreams that are tried while each is unreachable.
const maxUnreachableUpstreams = 4

// Reasons of failed attempts, as used in metrics and logs.
const (
	failureUnreachable        = "unreachable"
	failureWithdrawn          = "left_meanwhile"
	failureCold               = "cold_meanwhile"
	failureFull               = "full"
	failureMisdirected        = "misdirected"
	failureNoAnswer           = "no_answer"
	failureMismatched         = "foreign_answer"
	failureBroken             = "broken_answer"
	failureCallerDisconnected = "caller_left"
	failureHostStopped        = "host_stopped"
	failureStatus             = "failure"
)

// attemptResult is the result of an attempt, which decides whether another may follow.
type attemptResult uint8

const (
	// resultAnswered: the caller has received the answer or has disconnected.
	resultAnswered attemptResult = iota
	// resultNotRun: the upstream has not run the request.
	resultNotRun
	// resultUnknown: the request may have run, and the caller has received nothing.
	resultUnknown
	// resultStreamInterrupted: the caller has received only the first events of a stream.
	resultStreamInterrupted
	// resultUpstreamError: the upstream ran the request and answered with a server error,
	// which bufferedFailure holds.
	resultUpstreamError
	// resultMoved: the caller has received only the first events of a stream, whose run has stopped and can go on elsewhere
	// by the attempt's move.
	resultMoved
)

// attempt is one exchange of the request with one upstream.
type attempt struct {
	*request
	target *placement.Assignment
	// bufferedFailure is the upstream's error answer, which is forwarded if this is the
	// last attempt.
	bufferedFailure *bufferedAnswer
	sentAt          time.Time
	// begun reports whether the upstream has begun to answer.
	begun bool
	// version is the software version of the process that the connection leads to; empty if it is unknown.
	version string
	// move is how the run has been moved; nil unless the result is resultMoved.
	move *runMove
	// runCopy is the copy of a run with which the upstream goes on, and continued the attempt that ran it before; both nil if it
	// is to begin a run.
	runCopy   *RunCopy
	continued *attempt
	// released reports that the attempt no longer occupies its place.
	released bool
	// movable is the run of the stream, if that may be moved.
	movable *movableRun
	// carrier is the connection if it is through another host; nil if it is not.
	carrier StoppingCarrier
	// recorded reports that the upstream sent the first event of the stream, and that its version is recorded.
	recorded bool
}

type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// dispatch sends the request to one upstream after another until it is answered or no
// further attempt may be made.
func (q *request) dispatch(w http.ResponseWriter) *errkind.Error {
	service := q.serviceName
	q.handler.Retries.CountRequest(service, q.arrived)
	defer q.releaseSubstitute()
	for {
		if q.ctx.Err() != nil || q.timeRemaining() < minAttemptTime {
			return q.finalError(nil)
		}
		if refusal := q.checkQuarantine(); refusal != nil {
			return q.finalError(refusal)
		}
		if q.goesOn() {
			q.handler.Sync.AwaitCurrentTable(q.ctx) // the choice fails if it does not become current
		}
		assignment, refusal := q.chooseUpstream(service)
		if refusal != nil {
			return q.finalError(refusal)
		}
		a := &attempt{request: q, target: assignment}
		if refusal := q.checkStopTime(); refusal != nil && !q.mayHaveRun { // it may have waited since it was admitted
			a.reportOutcome(placement.Abandoned)
			a.releasePlace(resultNotRun)
			return refusal
		}
		result := a.run(w)
		if result == resultMoved {
			a, result = a.goOnElsewhere(w)
		}
		a.releasePlace(result)
		if result == resultAnswered {
			return nil
		}
		if !q.mayRetry(service, result) {
			return a.finish(w, result)
		}
		telemetry.Retry(q.handler.Scope, q.lastFailure).Inc(1)
		klog.InfoS("retrying on another upstream", append(q.logFields(), "left_ms", q.timeRemaining().Milliseconds())...)
	}
}

// pickService selects a service of the route at random, by weight.
func (q *request) pickService() string {
	targets := q.route.Targets
	if len(targets) == 1 {
		return targets[0].Service
	}
	sum := 0
	for _, t := range targets {
		sum += t.Weight
	}
	draw := rand.IntN(sum)
	for _, t := range targets {
		if draw -= t.Weight; draw < 0 {
			return t.Service
		}
	}
	return targets[len(targets)-1].Service
}

// checkUpstreams refuses a request whose service has no ready upstream before it waits for
// tokens.
func (q *request) checkUpstreams() *errkind.Error {
	if q.handler.Pool.HasReady(q.serviceName, time.Now()) {
		return nil
	}
	return q.noReadyUpstream(q.serviceName)
}

func (q *request) noReadyUpstream(service string) *errkind.Error {
	where := ""
	if q.handler.Pool.Evacuations().Zones > 0 {
		where = " outside the evacuated zones"
	}
	return errkind.New(errkind.NoUpstream, "service %q has no ready upstream%s", service, where).WithRetryAfter(noUpstreamRetryAfter)
}

func (q *request) chooseUpstream(service string) (*placement.Assignment, *errkind.Error) {
	if s := q.substitute.Swap(nil); s != nil {
		return s.target, nil
	}
	if q.waitsForPlace() {
		return q.awaitPlace(service)
	}
	assignment, refused := q.handler.Pool.Choose(q.placementRequest(service), time.Now())
	if refused != nil {
		return nil, q.placementRefusal(service, refused)
	}
	if assignment.Crowded && q.handler.places != nil {
		q.handler.places.counters.crowded(q.rank())
	}
	return assignment, nil
}

// placementRefusal returns the error for a request for which no upstream was chosen.
func (q *request) placementRefusal(service string, refused *placement.Refusal) *errkind.Error {
	q.backlog, q.prefillRate = refused.MinBacklog, refused.PrefillRate
	switch refused.Reason {
	case placement.AllFull:
		retryAfter := max(refused.RetryAfter, fullRetryAfter)
		if q.handler.places != nil {
			retryAfter = q.engineRefusal(refused, q.placementRequest(service).Work())
		}
		return errkind.New(errkind.Overloaded, "all upstreams of service %q are full", service).WithRetryAfter(retryAfter)
	case placement.AllLimited:
		q.handler.limitRefusals.Inc(1)
		if refused.WarmUp {
			q.handler.warmUpRefusals.Inc(1)
			return errkind.New(errkind.Overloaded, "upstreams of service %q are cold, and all limit their requests or asked to wait", service).
				WithRetryAfter(spread(refused.RetryAfter))
		}
		return errkind.New(errkind.Overloaded, "all upstreams of service %q limit their requests or asked to wait", service).
			WithRetryAfter(spread(refused.RetryAfter))
	case placement.NoneReady:
		return q.noReadyUpstream(service)
	case placement.NoneOfVersion:
		return q.notResumable(reasonNoneOfVersion, fmt.Sprintf("service %q has no ready upstream of software version %q, which began the stream", service, q.streamVersion))
	case placement.VersionUnconfirmed:
		return q.notResumable(reasonVersionUnconfirmed, fmt.Sprintf("each upstream of software version %q in service %q may have "+
			"restarted with another one, as far as this host knows", q.streamVersion, service)).WithRetryAfter(refused.RetryAfter)
	default:
		return errkind.New(errkind.NoUpstream, "all upstreams of service %q were tried", service).WithRetryAfter(noUpstreamRetryAfter)
	}
}

// placementRequest describes the request for the choice of an upstream. The shared prompt
// prefix consists of all segments but the last, or of the only one.
func (q *request) placementRequest(service string) *placement.Request {
	return q.placementRequestFor(service, q.goesOn(), q.streamVersion)
}

// placementRequestFor describes a request that may go on with a stream that the software version began.
func (q *request) placementRequestFor(service string, goesOn bool, version string) *placement.Request {
	r := &placement.Request{
		Service: service, PromptTokens: q.InputTokens, MaxOutputTokens: q.OutputTokens, Exclude: q.excludedUpstreams, MaxInFlight: q.inFlightLimit(),
		LatencyObjective: q.route.LatencyObjective, Rank: q.rank(), Resumes: goesOn, Version: version,
		Waited: time.Since(q.arrived), TimeLeft: q.timeRemaining(),
	}
	if q.organisation != nil {
		r.Organisation = q.organisation.Name
	}
	if q.service != nil && q.service.Engine != nil {
		r.PrefixTransfer, r.KVCapacity, r.Slots = q.service.Engine.PrefixTransfer, q.service.Engine.KVCapacity, q.service.Engine.Slots
	}
	shared := q.Prompt[:max(len(q.Prompt)-1, min(len(q.Prompt), 1))]
	for _, segment := range shared {
		r.Prefix, r.HasPrefix = segment.Hash, true
		r.PrefixTokens += segment.Tokens
	}
	return r
}

func (q *request) inFlightLimit() func(*placement.Upstream) int {
	engine := (*catalog.Engine)(nil)
	if q.service != nil {
		engine = q.service.Engine
	}
	return func(u *placement.Upstream) int {
		if engine != nil {
			return max(engine.Slots, u.Slots, 1) * engineInFlightPerSlot
		}
		return max(u.Slots, 1) * plainInFlightPerSlot
	}
}

// mayRetry reports whether another upstream may be tried. A request that may have run is
// retried only if its route is repeatable, and an interrupted stream only if it is resumable.
func (q *request) mayRetry(service string, result attemptResult) bool {
	if q.ctx.Err() != nil || q.timeRemaining() < minAttemptTime {
		return false
	}
	if result != resultNotRun && !q.route.Repeatable() {
		return false
	}
	if result == resultStreamInterrupted && !q.resumable {
		return false
	}
	if q.lastFailure == failureUnreachable || q.lastFailure == failureWithdrawn || q.lastFailure == failureCold {
		return len(q.excludedUpstreams) < maxUnreachableUpstreams
	}
	if q.attempts >= max(q.route.MaxAttempts, 1) {
		return false
	}
	return q.substitute.Load() != nil || q.handler.Retries.AllowRetry(service, q.view.Hosts, time.Now())
}

// run sends the request to the upstream and handles its answer.
func (a *attempt) run(w http.ResponseWriter) attemptResult {
	a.excludedUpstreams = append(a.excludedUpstreams, a.target.ID)
	a.backlog, a.prefillRate = a.target.Backlog, a.target.PrefillRate
	a.sentAt = time.Now()
	a.lastSentAt = a.sentAt
	answer, err := a.handler.upstreams.Do(withCarrier(withVia(a.ctx, &a.via), &a.carrier), a.target.Address, a.prepareRequest)
	if errors.Is(err, upstreamhttp.ErrWithdrawn) {
		a.lastFailure = failureWithdrawn
		if a.handler.Pool.WarmsUp(a.target, time.Now()) {
			a.lastFailure = failureCold
		}
		a.reportOutcome(placement.Abandoned)
		return resultNotRun
	}
	var unreachable *upstreamhttp.UnreachableError
	if errors.As(err, &unreachable) {
		if a.ctx.Err() == nil {
			a.reportOutcome(placement.Unreachable)
		}
		a.lastFailure = failureUnreachable
		klog.InfoS("no connection to an upstream", append(a.logFields(), "target", a.target.ID, "address", a.target.Address,
			"dial_ms", time.Since(a.sentAt).Milliseconds(), "error", err.Error())...)
		return resultNotRun
	}
	a.attempts++
	a.upstreamID, a.upstreamVersion = a.target.ID, a.target.Version
	if err != nil {
		a.mayHaveRun = true
		a.mayHaveBegun = a.mayHaveBegun || !errors.Is(err, upstreamhttp.ErrNotBegun)
		return a.exchangeBroken(failureNoAnswer, err)
	}
	defer answer.Close()
	return a.handleAnswer(w, answer)
}

// prepareRequest returns the request as it is to be sent now, or nil if the caller has left, its time is up or the
// upstream has ceased to take requests while the connection was established.
func (a *attempt) prepareRequest() *upstreamhttp.Request {
	if a.ctx.Err() != nil || a.upstreamTime() <= 0 || !a.handler.Pool.Takes(a.target, time.Now()) {
		return nil
	}
	a.version = a.handler.Pool.VersionAt(a.target, time.Now())
	metadata := &UpstreamMetadata{
		Upstream: a.target.ID, TimeRemaining: a.upstreamTime(), Rank: a.rank(), CacheSource: a.target.PrefixSource,
		ResumeAfter: a.ResumeAfter, Resumes: a.Resumes, RunCopy: a.runCopy,
	}
	if a.organisation != nil {
		metadata.Organisation = a.organisation.Name
	}
	if a.eventsSent > 0 {
		metadata.ResumeAfter, metadata.Resumes = a.lastEventID, true
	}
	return &upstreamhttp.Request{
		Method: a.Method, URI: a.URI, Host: a.Authority, Header: a.handler.Dialect.Encode(a.Call, metadata),
		Body: a.Body, HasBody: a.HasBody, ReportsWithdrawal: a.reservedTokens > 0,
		KeepsOpen: a.isLast(),
	}
}

// isLast reports whether no other attempt may follow this one, which has not been counted yet, once an upstream has it.
func (a *attempt) isLast() bool {
	return !a.route.Repeatable() || a.attempts+1 >= max(a.route.MaxAttempts, 1)
}

// rank returns the organisation's rank if it is set, and the route's rank otherwise.
func (q *request) rank() int {
	if q.organisation != nil && q.organisation.Rank != nil {
		return *q.organisation.Rank
	}
	return q.route.Rank
}

// brokenResult returns the result of an exchange that broke after the request was sent.
func (a *attempt) brokenResult() attemptResult {
	if a.eventsSent > 0 {
		return resultStreamInterrupted
	}
	return resultUnknown
}

func (a *attempt) reportOutcome(o placement.Outcome) {
	a.handler.Pool.Observe(a.target, o, time.Now())
}

// exchangeBroken records that the exchange with the upstream broke with err, and returns the
// result. If the caller has disconnected or the deadline has passed, the gateway itself
// ended the exchange, and if it has lost its link to the upstream that did, so that it does not count
// as a failure of the upstream, nor does the end of a stream whose time is up.
func (a *attempt) exchangeBroken(failure string, err error) attemptResult {
	a.reviewOrigin()
	a.lastFailure, a.endedBy = failure, a.exchangeEnd(err)
	switch a.endedBy {
	case endedByHostStop:
		a.lastFailure = failureHostStopped
	case endedByCaller:
		a.lastFailure = failureCallerDisconnected
	}
	abandoned := a.ctx.Err() != nil || a.endedBy == endedByUpstreamDeadline
	switch {
	case abandoned:
		a.reportOutcome(placement.Abandoned)
	case a.handler.Paths.Lost(a.target.Address):
		a.reportOutcome(placement.LinkLost)
	default:
		a.reportOutcome(placement.Failed)
	}
	if !abandoned {
		go a.reportCrash(time.Now())
	}
	return a.brokenResult()
}

// handleAnswer classifies the answer by its header, and forwards it if it is valid.
func (a *attempt) handleAnswer(w http.ResponseWriter, answer *upstreamhttp.Answer) attemptResult {
	class := a.handler.Dialect.ClassifyAnswer(a.Call, answer.Response)
	if !class.OtherProcess {
		a.handler.notices.count(a.handler.Pool.ObserveNotice(a.target, class.Notice, a.ID, time.Now()))
	}
	switch {
	case class.OtherProcess:
		a.reportOutcome(placement.Misdirected)
		a.lastFailure = failureMisdirected
		return resultNotRun
	case class.NotRun:
		a.reportOutcome(placement.Refused)
		a.lastFailure = failureFull
		return resultNotRun
	case class.Mismatched:
		a.mayHaveRun, a.mayHaveBegun = true, true
		a.reportOutcome(placement.Failed)
		a.lastFailure, a.endedBy = failureMismatched, endedByInvalidAnswer
		return a.brokenResult()
	}
	a.mayHaveRun, a.mayHaveBegun = true, true
	if a.route.Kind == catalog.Streaming && answer.StatusCode < http.StatusMultipleChoices {
		return a.streamAnswer(w, answer)
	}
	return a.bufferAnswer(w, answer)
}

// bufferAnswer forwards an answer that is not streamed. It reads the whole answer first,
// so that the caller never receives a truncated one.
func (a *attempt) bufferAnswer(w http.ResponseWriter, answer *upstreamhttp.Answer) attemptResult {
	a.handler.Pool.MarkPrefilled(a.target, time.Now())
	body, err := answer.ReadBody(maxBufferedAnswerBytes)
	if err != nil {
		return a.exchangeBroken(failureBroken, err)
	}
	buffered := &bufferedAnswer{status: answer.StatusCode, header: a.handler.Dialect.AnswerHeader(answer.Header), body: body}
	a.reportOutcome(placement.Served)
	if answer.StatusCode < http.StatusInternalServerError {
		a.recordBegun()
		a.recordComplete()
	}
	if a.eventsSent > 0 {
		a.lastFailure, a.endedBy = failureStatus, endedByUpstream
		return resultStreamInterrupted
	}
	if answer.StatusCode >= http.StatusInternalServerError && a.route.Repeatable() {
		a.lastFailure, a.bufferedFailure = failureStatus, buffered
		return resultUpstreamError
	}
	a.writeAnswer(w, buffered)
	return resultAnswered
}
