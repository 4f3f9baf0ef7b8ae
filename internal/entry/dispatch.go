package entry

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/routing"
	"github.com/godwitbend/godwitbend/internal/telemetry"
	"github.com/godwitbend/godwitbend/internal/timing"
)

// errAnswered tells that a failed try was answered to its end, or that nobody waits for an answer.
var errAnswered = eris.New("the call is answered")

// upstreamRetry is the time after which a caller is told to come back when upstreams failed.
const upstreamRetry = time.Second

// proceed goes on from the state of the record. It owns the place at t.
func (x *exchange) proceed(ctx context.Context, reply *controlapi.BeginReply, t target) error {
	x.h.budgets.earn(x.id.caller.Class)
	switch reply.Status {
	case controlapi.BeginStarted:
		return x.run(t)
	case controlapi.BeginTakenOver:
		return x.takeOver(reply, t)
	case controlapi.BeginSettled:
		return x.repeatSettled(ctx, reply, t)
	default:
		t.leave()
		return errkind.New(errkind.InProgress, "another host is serving the request").WithRetryAfter(inProgressRetry)
	}
}

// run sends the call to t, and after failures to further upstreams.
func (x *exchange) run(t target) error {
	t, err := x.prepare(t)
	if err != nil {
		return err
	}
	for tries := 1; ; tries++ {
		if err := x.recheck(t); err != nil {
			t.leave()
			return err
		}
		f := x.try(t)
		if f == nil {
			t.leave()
			return nil
		}
		err := x.afterFailure(f, t, tries)
		t.leave()
		if err == errAnswered {
			return nil
		}
		if err != nil {
			return err
		}
		if t, err = x.next(f, t, tries); err != nil {
			return err
		}
	}
}

// prepare commits the first dispatch, and finds an idle upstream for a suspect.
// On an error it has given up the place at t.
func (x *exchange) prepare(t target) (target, error) {
	if t.entry == nil {
		var err error
		if t, err = x.choose(); err != nil {
			return target{}, err
		}
	}
	if x.suspect && !t.alone {
		t.leave()
		x.h.counters.retry(reasonSuspect)
		var err error
		if t, err = x.chooseAgain(); err != nil {
			return target{}, err
		}
	}
	return x.dispatchTo(t)
}

// dispatchTo commits the dispatch to t, or to another upstream where the body
// of t may run. On an error it has given up its place.
func (x *exchange) dispatchTo(t target) (target, error) {
	ctx, cancel := context.WithDeadline(x.work, x.deadline)
	defer cancel()
	for wait := recordPollFirst; ; wait = min(2*wait, recordPollLast) {
		err := x.ensureDispatch(t)
		if err == nil {
			return t, nil
		}
		t.leave()
		if !errkind.Is(err, errkind.SuspectBusy) || !timing.Sleep(ctx, wait) {
			return target{}, err
		}
		if t, err = x.chooseAgain(); err != nil {
			return target{}, err
		}
	}
}

// try sends the call to t once and delivers the answer. It returns nil if the
// caller got an answer, or has gone.
func (x *exchange) try(t target) *failure {
	leave := x.h.crashes.enter(t, x.requestID, x.bodyHash)
	defer leave()
	x.tried, x.firstByte = x.h.Now(), 0
	f := x.send(t)
	if f != nil && f.broken {
		f.stop = x.reportCrash(t)
	}
	x.report(f, t)
	return f
}

// report tells the router how the call fared at t.
func (x *exchange) report(f *failure, t target) {
	if f != nil && (f.callerGone || f.reason == reasonRefused) {
		return
	}
	failed := x.brokenOff || f != nil && f.final == nil
	x.h.Router.Report(t.entry, routing.Result{Service: x.service, Failed: failed, TimeToFirstByte: x.firstByte}, x.h.Now())
}

// send sends the call to t in the form of its kind.
func (x *exchange) send(t target) *failure {
	switch x.kind {
	case callChatStream:
		return x.tryStream(t)
	case callChatWhole:
		return x.tryWhole(t)
	default:
		return x.tryPlain(t)
	}
}

// afterFailure decides whether another upstream may be tried. It returns the
// final answer if not.
func (x *exchange) afterFailure(f *failure, t target, tries int) error {
	x.mayHaveRun = x.mayHaveRun || !f.notRun
	x.noteRun(f, t)
	x.h.Log.Info("try failed", telemetry.FieldRequestID, x.requestID, telemetry.FieldOrganisation, x.id.caller.Organisation,
		telemetry.FieldUpstream, t.entry.ID, "reason", f.reason, "detail", f.text)
	if f.callerGone {
		x.callerLeft(t, 0)
		return errAnswered
	}
	if f.final != nil {
		return f.final
	}
	x.failed[t.entry.ID] = true
	var err error
	switch {
	case x.repeatable:
		err = x.mayRetry(f, t, tries)
	case !f.notRun:
		err = x.learnFate(t)
	case tries >= maxTries:
		err = notTaken(f)
	}
	if err == nil && f.stop != nil {
		return f.stop
	}
	return err
}

// noteRun takes note of whether t may have run the call.
func (x *exchange) noteRun(f *failure, t target) {
	instance := controlapi.Instance{Upstream: t.entry.ID, Incarnation: t.incarnation}
	switch {
	case !f.notRun:
		x.ran = append(x.ran, instance)
		x.notRun = slices.DeleteFunc(x.notRun, func(i controlapi.Instance) bool { return i == instance })
	case !slices.Contains(x.ran, instance):
		x.notRun = append(x.notRun, instance)
	}
}

// mayRetry returns nil if a repeatable call may be sent again.
func (x *exchange) mayRetry(f *failure, t target, tries int) error {
	refusal := errkind.New(errkind.UpstreamFailed, "the upstream failed: %s", f.reason).WithRetryAfter(upstreamRetry)
	if f.notRun {
		refusal = notTaken(f)
	}
	switch {
	case !f.notRun && !x.h.budgets.spend(x.id.caller.Class):
		x.h.counters.event("retry_budget_exhausted")
	case tries >= maxTries:
	case !x.h.Now().Before(x.deadline):
		refusal = errkind.New(errkind.DeadlineUnmet, "no answer began within the deadline").WithRetryAfter(upstreamRetry)
	default:
		return nil
	}
	x.cancelLater(f, t)
	return refusal
}

// notTaken returns the refusal of a call that no upstream ran.
func notTaken(f *failure) *errkind.Error {
	return errkind.New(errkind.UpstreamRefused, "no upstream took the request: %s", f.reason).WithRetryAfter(upstreamRetry)
}

// cancelLater ends what may still run at an upstream that failed.
func (x *exchange) cancelLater(f *failure, t target) {
	if !f.notRun && x.repeatable {
		x.h.inBackground(func() { _, _ = x.cancel(t) })
	}
}

// next waits the backoff, claims a place at another upstream and commits the dispatch.
func (x *exchange) next(f *failure, last target, tries int) (target, error) {
	x.h.counters.retry(f.reason)
	ctx, cancel := context.WithDeadline(x.work, x.deadline)
	defer cancel()
	if tries > 1 || !f.notRun {
		timing.Sleep(ctx, x.h.backoff(tries))
	}
	t, err := x.chooseAgain()
	if err != nil {
		return target{}, err
	}
	if t.entry != last.entry {
		x.cancelLater(f, last)
	}
	x.dispatched = target{}
	return x.dispatchTo(t)
}
