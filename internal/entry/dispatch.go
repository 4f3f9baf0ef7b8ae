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

// errAnswered reports that no response is left to write: the answer was delivered
// after a failed dispatch, or the caller has disconnected.
var errAnswered = eris.New("call already answered")

// upstreamRetryAfter is the Retry-After value of upstream failures.
const upstreamRetryAfter = time.Second

// handleBeginReply continues according to the state of the record. It takes ownership of the claim on t.
func (x *exchange) handleBeginReply(ctx context.Context, reply *controlapi.BeginReply, t target) error {
	x.h.retryBudgets.deposit(x.identity.caller.Class)
	switch reply.Status {
	case controlapi.BeginStarted:
		return x.dispatchWithRetries(t)
	case controlapi.BeginTakenOver:
		return x.takeOver(reply, t)
	case controlapi.BeginSettled:
		return x.answerSettled(ctx, reply, t)
	default:
		t.release()
		return errkind.New(errkind.InProgress, "another host is serving the request").WithRetryAfter(inProgressRetryAfter)
	}
}

// dispatchWithRetries sends the call to t and, after failures, to other upstreams. It
// takes ownership of the claim on t.
func (x *exchange) dispatchWithRetries(t target) error {
	t, err := x.prepareDispatch(t)
	if err != nil {
		return err
	}
	for dispatches := 1; ; dispatches++ {
		if err := x.recheckConfiguration(t); err != nil {
			t.release()
			return err
		}
		if err := x.checkPrefix(); err != nil {
			t.release()
			return err
		}
		f := x.dispatch(t)
		if f == nil {
			t.release()
			return nil
		}
		err := x.handleFailure(f, t, dispatches)
		t.release()
		if err == errAnswered {
			return nil
		}
		if err != nil {
			return err
		}
		if t, err = x.nextTarget(f, t, dispatches); err != nil {
			return err
		}
	}
}

// prepareDispatch commits the first dispatch. It claims an upstream if t is the zero
// target, and an exclusive one for a suspect whose t is shared. On an error the
// claim on t is released.
func (x *exchange) prepareDispatch(t target) (target, error) {
	if t.entry == nil {
		var err error
		if t, err = x.choose(); err != nil {
			return target{}, err
		}
	}
	if x.suspect && !t.exclusive {
		t.release()
		x.h.counters.retry(reasonSuspect)
		var err error
		if t, err = x.chooseForRetry(); err != nil {
			return target{}, err
		}
	}
	return x.dispatchTo(t)
}

// dispatchTo commits the dispatch to t, or to another upstream if containment does
// not let the body run on t. On an error the claim is released.
func (x *exchange) dispatchTo(t target) (target, error) {
	ctx, cancel := context.WithDeadline(x.workCtx, x.deadline)
	defer cancel()
	for wait := recordPollMin; ; wait = min(2*wait, recordPollMax) {
		err := x.recordDispatch(t)
		if err == nil {
			return t, nil
		}
		t.release()
		if !errkind.Is(err, errkind.SuspectBusy) || !timing.Sleep(ctx, wait) {
			return target{}, err
		}
		if t, err = x.chooseForRetry(); err != nil {
			return target{}, err
		}
	}
}

// dispatch sends the call to t once and delivers the answer. It returns nil if
// the caller received an answer or disconnected during it.
func (x *exchange) dispatch(t target) *failure {
	untrack := x.h.crashReporter.track(t, x.requestID, x.bodyHash)
	defer untrack()
	defer x.releaseMemory()
	x.dispatchedAt, x.timeToFirstEvent, x.begun = x.h.Now(), 0, false
	f := x.send(t)
	if f != nil && f.connectionBroken {
		f.resendError = x.reportCrash(t)
	}
	if f == nil && !x.aborted && x.timeToFirstEvent > 0 {
		x.recordBegun()
		x.recordComplete()
	}
	x.reportResult(f, t)
	return f
}

// reportResult reports the result of the dispatch to the router. Disconnected callers, refusals and the end of the
// host don't count.
func (x *exchange) reportResult(f *failure, t target) {
	if f != nil && (f.callerDisconnected || f.reason == reasonRefused || f.reason == reasonStopped) {
		return
	}
	failed := x.aborted || f != nil && f.finalError == nil
	x.h.Router.Report(t.entry, routing.Result{Service: x.service, Failed: failed, TimeToFirstByte: x.timeToFirstEvent}, x.h.Now())
}

// send sends the call to t according to its kind.
func (x *exchange) send(t target) *failure {
	switch x.kind {
	case callChatStream:
		return x.dispatchStream(t)
	case callChatNonStreaming:
		return x.dispatchNonStreaming(t)
	default:
		return x.dispatchPlain(t)
	}
}

// handleFailure returns nil if the call may be sent to another upstream, and
// the error to answer with otherwise.
func (x *exchange) handleFailure(f *failure, t target, dispatches int) error {
	x.mayHaveRun = x.mayHaveRun || !f.notRun
	x.recordRunState(f, t)
	x.h.Log.Info("dispatch failed", telemetry.FieldRequestID, x.requestID, telemetry.FieldOrganisation, x.identity.caller.Organisation,
		telemetry.FieldUpstream, t.entry.ID, "reason", f.reason, "detail", f.detail)
	if f.callerDisconnected {
		x.handleCallerDisconnect(t, 0)
		return errAnswered
	}
	if f.finalError != nil {
		return f.finalError
	}
	if f.reason == reasonStopped {
		x.cancelInBackground(f, t)
		return errHostStopped()
	}
	x.failedUpstreams[t.entry.ID] = true
	var err error
	switch {
	case x.repeatable:
		err = x.checkRetry(f, t, dispatches)
	case !f.notRun:
		err = x.awaitUpstreamOutcome(t)
	case dispatches >= maxDispatches:
		err = upstreamRefusedError(f)
	}
	if err == nil && f.resendError != nil {
		return f.resendError
	}
	return err
}

// errHostStopped returns the error for a call that an upstream may be running when the host stops.
func errHostStopped() *errkind.Error {
	return errkind.New(errkind.OutcomeUnknown, "the host stopped before the answer arrived; retry with the same key").
		WithRetryAfter(upstreamRetryAfter)
}

// recordRunState records whether t may have run the call.
func (x *exchange) recordRunState(f *failure, t target) {
	instance := controlapi.Instance{Upstream: t.entry.ID, Incarnation: t.incarnation}
	switch {
	case !f.notRun:
		x.mayHaveRunOn = append(x.mayHaveRunOn, instance)
		x.notRunOn = slices.DeleteFunc(x.notRunOn, func(i controlapi.Instance) bool { return i == instance })
	case !slices.Contains(x.mayHaveRunOn, instance):
		x.notRunOn = append(x.notRunOn, instance)
	}
}

// checkRetry returns nil if a repeatable call may be sent again.
func (x *exchange) checkRetry(f *failure, t target, dispatches int) error {
	refusal := errkind.New(errkind.UpstreamFailed, "the upstream failed: %s", f.reason).WithRetryAfter(upstreamRetryAfter)
	if f.notRun {
		refusal = upstreamRefusedError(f)
	}
	switch {
	case !f.notRun && !x.h.retryBudgets.tryWithdraw(x.identity.caller.Class):
		x.h.counters.event("retry_budget_exhausted")
	case dispatches >= maxDispatches:
	case !x.h.Now().Before(x.deadline):
		refusal = errkind.New(errkind.DeadlineUnmet, "the answer did not begin within the deadline").WithRetryAfter(upstreamRetryAfter)
	default:
		return nil
	}
	x.cancelInBackground(f, t)
	return refusal
}

// upstreamRefusedError returns the error for a call that no upstream ran.
func upstreamRefusedError(f *failure) *errkind.Error {
	return errkind.New(errkind.UpstreamRefused, "no upstream accepted the request: %s", f.reason).WithRetryAfter(upstreamRetryAfter)
}

// cancelInBackground cancels a repeatable call that may still run on an upstream after a failure.
func (x *exchange) cancelInBackground(f *failure, t target) {
	if !f.notRun && x.repeatable {
		x.h.runInBackground(func() { _, _ = x.cancel(t) })
	}
}

// nextTarget waits for the backoff, claims another upstream and commits the dispatch.
func (x *exchange) nextTarget(f *failure, last target, dispatches int) (target, error) {
	x.h.counters.retry(f.reason)
	ctx, cancel := context.WithDeadline(x.workCtx, x.deadline)
	defer cancel()
	if dispatches > 1 || !f.notRun {
		timing.Sleep(ctx, x.h.backoff(dispatches))
	}
	t, err := x.chooseForRetry()
	if err != nil {
		return target{}, err
	}
	if t.entry != last.entry {
		x.cancelInBackground(f, last)
	}
	x.recordedTarget = target{}
	return x.dispatchTo(t)
}
