package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/hostsync"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/telemetry"
	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

const (
	// noUpstreamRetry is the usual time until an upstream has reported again.
	noUpstreamRetry = time.Second
	// fullRetry is the time in which a place becomes free at an upstream that is full.
	fullRetry = 300 * time.Millisecond
	// leastTime is the time below which an upstream can't answer any more.
	leastTime = 5 * time.Millisecond
	// answerLimit bounds the answer of a plain service, in bytes.
	answerLimit = 16 << 20
	// plainQueueFactor and engineQueueFactor are the open requests per slot at
	// which an upstream is full.
	plainQueueFactor  = 3
	engineQueueFactor = 2
)

// maxDials bounds the upstreams that are tried without reaching any.
const maxDials = 4

// The reasons of failed attempts, as counted and logged.
const (
	failureUnreachable = "unreachable"
	failureFull        = "full"
	failureMisdirected = "misdirected"
	failureNoAnswer    = "no_answer"
	failureForeign     = "foreign_answer"
	failureBroken      = "broken_answer"
	failureCallerLeft  = "caller_left"
	failureStatus      = "failure"
)

// step is what follows an attempt.
type step uint8

const (
	// finished: the caller has its answer.
	finished step = iota
	// elsewhere: the request has not run at this upstream.
	elsewhere
	// unknown: it may have run, and the caller has nothing yet.
	unknown
	// cut: the caller has a part of a stream.
	cut
	// failed: the upstream failed a request that it ran; held holds its answer.
	failed
)

// attempt is the exchange with one upstream.
type attempt struct {
	*request
	target *placement.Assignment
	// held is a failure of the upstream that is passed on if there is no other attempt.
	held *heldAnswer
	// retryAfter is the upstream's word on when it has room.
	retryAfter time.Duration
}

type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// dispatch sends the request to upstreams until it is answered.
func (q *request) dispatch(w http.ResponseWriter) *errkind.Error {
	target := q.target
	q.handler.Retries.CountRequest(target, q.arrived)
	for {
		if q.ctx.Err() != nil || q.left() < leastTime {
			return q.giveUp(nil)
		}
		place, refusal := q.choose(target)
		if refusal != nil {
			return q.giveUp(refusal)
		}
		a := &attempt{request: q, target: place}
		next := a.run(w)
		q.handler.Pool.Release(place)
		if next == finished {
			return nil
		}
		if !q.mayRetry(target, next) {
			return a.conclude(w, next)
		}
		telemetry.Retry(q.handler.Scope, q.lastFailure).Inc(1)
		klog.InfoS("request goes to another upstream", append(q.logFields(), "left_ms", q.left().Milliseconds())...)
	}
}

// pickTarget draws the service by the weights of the route.
func (q *request) pickTarget() string {
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

func (q *request) choose(service string) (*placement.Assignment, *errkind.Error) {
	place, refused := q.handler.Pool.Choose(q.placement(service), time.Now())
	if refused == nil {
		return place, nil
	}
	q.backlog, q.pace = refused.LeastBacklog, refused.PrefillRate
	switch refused.Reason {
	case placement.AllFull:
		return nil, errkind.New(errkind.Overloaded, "all upstreams of service %q are full", service).
			WithRetryAfter(max(refused.RetryAfter, fullRetry))
	case placement.NoneReady:
		return nil, errkind.New(errkind.NoUpstream, "no upstream of service %q is known", service).WithRetryAfter(noUpstreamRetry)
	default:
		return nil, errkind.New(errkind.NoUpstream, "each upstream of service %q was tried", service).WithRetryAfter(noUpstreamRetry)
	}
}

// placement describes the request for the choice of an upstream. The last part
// of a prompt is the request's own, unless it is the only one.
func (q *request) placement(service string) *placement.Request {
	r := &placement.Request{
		Service: service, PromptTokens: q.InputTokens, MaxOutputTokens: q.OutputTokens, Exclude: q.exclude, MaxInFlight: q.placeLimit(),
		LatencyObjective: q.route.Objective, Rank: q.rank(),
	}
	if q.service != nil && q.service.Engine != nil {
		r.PrefixTransfer, r.KVCapacity = q.service.Engine.Transfers, q.service.Engine.CacheTokens
	}
	shared := q.Prompt[:max(len(q.Prompt)-1, min(len(q.Prompt), 1))]
	for _, part := range shared {
		r.Prefix, r.HasPrefix = part.Hash, true
		r.PrefixTokens += part.Tokens
	}
	return r
}

func (q *request) placeLimit() func(*placement.Upstream) int {
	engine := (*catalog.Engine)(nil)
	if q.service != nil {
		engine = q.service.Engine
	}
	return func(u *placement.Upstream) int {
		if engine != nil {
			return max(engine.Slots, u.Slots, 1) * engineQueueFactor
		}
		return max(u.Slots, 1) * plainQueueFactor
	}
}

// mayRetry tells whether another upstream may be tried. A request that may have
// run goes on only if it is repeatable.
func (q *request) mayRetry(service string, next step) bool {
	if q.ctx.Err() != nil || q.left() < leastTime {
		return false
	}
	if next != elsewhere && !q.route.Repeatable() {
		return false
	}
	if next == cut && !q.resumable {
		return false
	}
	if q.lastFailure == failureUnreachable {
		return len(q.exclude) < maxDials
	}
	if q.attempts >= max(q.route.MaxAttempts, 1) {
		return false
	}
	return q.handler.Retries.AllowRetry(service, q.view.Hosts, time.Now())
}

// giveUp returns the error with which the request ends when no further attempt is made.
func (q *request) giveUp(refusal *errkind.Error) *errkind.Error {
	switch {
	case q.ran:
		return errkind.New(errkind.OutcomeUnknown, "the deadline passed before an answer came")
	case refusal != nil:
		return refusal
	default:
		return errkind.New(errkind.DeadlineUnmet, "the deadline passed before the request was sent").WithRetryAfter(fullRetry)
	}
}

// conclude answers after the last attempt.
func (a *attempt) conclude(w http.ResponseWriter, next step) *errkind.Error {
	switch next {
	case failed:
		a.deliver(w, a.held)
		return nil
	case elsewhere:
		if !a.ran {
			return errkind.New(errkind.Overloaded, "no upstream took the request: %s", a.lastFailure).
				WithRetryAfter(max(a.retryAfter, fullRetry))
		}
	}
	switch {
	case a.lastFailure == failureCallerLeft:
		return errkind.New(errkind.OutcomeUnknown, "the caller left before the answer had ended")
	case a.left() < leastTime:
		return errkind.New(errkind.OutcomeUnknown, "the deadline passed before an answer came")
	}
	return errkind.New(errkind.UpstreamFailed, "the upstream failed: %s", a.lastFailure)
}

// abort closes the caller's connection, so that a part of an answer does not
// look like the whole.
func (q *request) abort(e *errkind.Error) {
	klog.InfoS("stream cut off", append(q.logFields(), "kind", string(e.Kind), "reason", e.Message, "events", q.events)...)
	panic(http.ErrAbortHandler)
}

// run makes one attempt.
func (a *attempt) run(w http.ResponseWriter) step {
	a.exclude = append(a.exclude, a.target.ID)
	a.backlog, a.pace = a.target.Backlog, a.target.PrefillRate
	answer, err := upstreamhttp.Do(a.ctx, a.target.Address, a.encode())
	var unreachable *upstreamhttp.UnreachableError
	if errors.As(err, &unreachable) {
		if a.ctx.Err() == nil {
			a.observe(placement.Unreachable)
		}
		a.lastFailure = failureUnreachable
		return elsewhere
	}
	a.attempts++
	a.upstream = a.target.ID
	if err != nil {
		a.ran = true
		return a.lost(failureNoAnswer)
	}
	defer answer.Close()
	return a.read(w, answer)
}

func (a *attempt) encode() *upstreamhttp.Request {
	f := &Forwarding{
		Upstream: a.target.ID, Left: a.left(), Rank: a.rank(), CacheSource: a.target.PrefixSource,
		ResumeAfter: a.ResumeAfter, Resumes: a.Resumes,
	}
	if a.organisation != nil {
		f.Organisation = a.organisation.Name
	}
	if a.events > 0 {
		f.ResumeAfter, f.Resumes = a.lastEvent, true
	}
	return &upstreamhttp.Request{
		Method: a.Method, URI: a.URI, Host: a.Authority, Header: a.handler.Dialect.Encode(a.Call, f),
		Body: a.Body, HasBody: a.HasBody,
	}
}

// rank is the organisation's rank if it has one, and else the route's.
func (q *request) rank() int {
	if q.organisation != nil && q.organisation.Rank != nil {
		return *q.organisation.Rank
	}
	return q.route.Rank
}

// brokenStep tells what follows an exchange that broke.
func (a *attempt) brokenStep() step {
	if a.events > 0 {
		return cut
	}
	return unknown
}

func (a *attempt) observe(o placement.Outcome) {
	a.handler.Pool.Observe(a.target, o, time.Now())
}

// lost notes that the exchange broke, and what follows. If the caller has left or the
// time is over, it was broken from here, which says nothing of the upstream.
func (a *attempt) lost(failure string) step {
	a.lastFailure = failure
	if errors.Is(a.ctx.Err(), context.Canceled) {
		a.lastFailure = failureCallerLeft
	}
	if a.ctx.Err() != nil {
		a.observe(placement.Abandoned)
		return a.brokenStep()
	}
	a.observe(placement.Failed)
	crash := controlnode.Crash{Fingerprint: a.fingerprint(), Upstream: a.target.ID}
	go reportCrash(a.handler.Sync, crash, a.target.Address, a.ID)
	return a.brokenStep()
}

// reportCrash tells the control group of a request whose upstream has gone down. One
// that only lost the answer still takes connections.
func reportCrash(sync *hostsync.Client, crash controlnode.Crash, address, requestID string) {
	if upstreamhttp.Reachable(context.Background(), address) {
		return
	}
	klog.InfoS("upstream went down while it ran a request", telemetry.FieldRequestID, requestID,
		"upstream", crash.Upstream, "fingerprint", crash.Fingerprint)
	sync.ReportCrash(crash)
}

// read handles the header of an answer.
func (a *attempt) read(w http.ResponseWriter, answer *upstreamhttp.Answer) step {
	verdict := a.handler.Dialect.Judge(a.Call, answer.Response)
	switch {
	case verdict.OtherProcess:
		a.observe(placement.Misdirected)
		a.lastFailure = failureMisdirected
		return elsewhere
	case verdict.NotRun:
		a.observe(placement.Refused)
		a.lastFailure, a.retryAfter = failureFull, verdict.RetryAfter
		return elsewhere
	case verdict.Foreign:
		a.ran = true
		a.observe(placement.Failed)
		a.lastFailure = failureForeign
		return a.brokenStep()
	}
	a.ran = true
	if a.route.Kind == catalog.Streaming && answer.StatusCode < http.StatusMultipleChoices {
		return a.stream(w, answer)
	}
	return a.whole(w, answer)
}

// whole passes on an answer that is not a stream. It is read to its end first,
// so that the caller never gets a part.
func (a *attempt) whole(w http.ResponseWriter, answer *upstreamhttp.Answer) step {
	a.handler.Pool.MarkPrefilled(a.target, time.Now())
	body, err := answer.ReadBody(answerLimit)
	if err != nil {
		return a.lost(failureBroken)
	}
	held := &heldAnswer{status: answer.StatusCode, header: a.handler.Dialect.AnswerHeader(answer.Header), body: body}
	a.observe(placement.Served)
	if a.events > 0 {
		a.lastFailure = failureStatus
		return cut
	}
	if answer.StatusCode >= http.StatusInternalServerError && a.route.Repeatable() {
		a.lastFailure, a.held = failureStatus, held
		return failed
	}
	a.deliver(w, held)
	return finished
}
