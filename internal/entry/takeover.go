package entry

import (
	"context"
	"strconv"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// maxGenerations bounds the further records opened to complete a request that was cut off.
const maxGenerations = 16

// takeOver continues a call whose previous owner no longer serves it. It takes
// ownership of the claim on t.
func (x *exchange) takeOver(reply *controlapi.BeginReply, t target) error {
	if !reply.MayHaveRun {
		return x.dispatchWithRetries(t)
	}
	x.h.counters.retry(reasonTakeover)
	earlier, found := x.earlierTarget(reply)
	if !x.repeatable {
		t.release()
		return x.takeOverNonRepeatable(earlier, found)
	}
	if found && x.kind == callChatStream && earlier.servesRequestState && !earlier.terminated() && !x.suspect && earlier.entry.Claim(false) {
		f := x.resumeTakenOver(earlier)
		earlier.release()
		if f == nil {
			t.release()
			return nil
		}
	}
	if found {
		_, _ = x.cancel(earlier)
	}
	return x.dispatchWithRetries(t)
}

// earlierTarget returns the upstream that the earlier attempt was dispatched to, unclaimed.
func (x *exchange) earlierTarget(reply *controlapi.BeginReply) (target, bool) {
	e, found := x.h.Registry.Snapshot().Entries[reply.Upstream]
	if !found {
		return target{}, false
	}
	earlier := newTarget(e, false)
	earlier.incarnation = reply.UpstreamIncarnation
	return earlier, true
}

// resumeTakenOver streams the answer that the earlier attempt's engine still holds, from its start.
func (x *exchange) resumeTakenOver(earlier target) *failure {
	untrack := x.h.crashReporter.track(earlier, x.requestID, x.bodyHash)
	defer untrack()
	defer x.releaseMemory()
	ctx, wd := newWatchdog(x.workCtx, x.timeToDeadline())
	defer wd.stop()
	resp, f := x.resume(ctx, earlier, 0)
	if f != nil {
		return f
	}
	return x.relayStream(ctx, wd, earlier, resp)
}

// takeOverNonRepeatable continues a call that must not run twice: it is sent again
// only if the earlier dispatch provably did not run.
func (x *exchange) takeOverNonRepeatable(earlier target, found bool) error {
	if !found {
		return errkind.New(errkind.OutcomeUnknown, "this host does not know the upstream that the call was sent to; retry with the same key").
			WithRetryAfter(upstreamRetryAfter)
	}
	if err := x.awaitUpstreamOutcome(earlier); err == errAnswered {
		return nil
	} else if err != nil {
		return err
	}
	t, err := x.chooseForRetry()
	if err != nil {
		return err
	}
	return x.dispatchWithRetries(t)
}

// answerSettled answers a call that has run and was charged: from the stored answer,
// by completing a partial run, or by a rerun. It takes ownership of the claim on t.
func (x *exchange) answerSettled(ctx context.Context, reply *controlapi.BeginReply, t target) error {
	if reply.Answer != nil {
		t.release()
		x.write(reply.Answer)
		return nil
	}
	if !x.repeatable {
		t.release()
		return errkind.New(errkind.OutcomeUnknown, "the call ran, but its answer is no longer stored").WithOutcome(errkind.Ran)
	}
	if reply.Partial {
		return x.completePartial(ctx, reply, t)
	}
	return x.rerun(ctx, t)
}

// rerun runs a fully charged, repeatable call once more, under a new record that
// charges nothing.
func (x *exchange) rerun(ctx context.Context, t target) error {
	x.h.counters.event("reruns")
	x.isRerun = true
	x.completes = ""
	x.maxCharge = 0
	return x.beginNewRecord(ctx, newRequestID(), t)
}

// completePartial runs a call that was cut off and partially charged once more from
// its start, under a new record that charges the remainder. The record's id is
// derived from the idempotency key, so that a further retry finds it.
func (x *exchange) completePartial(ctx context.Context, earlier *controlapi.BeginReply, t target) error {
	x.generation++
	if x.generation > maxGenerations {
		t.release()
		return errkind.New(errkind.UpstreamFailed, "the request was cut off %d times; use a new key", maxGenerations).
			WithOutcome(errkind.Ran)
	}
	x.h.counters.event("completions")
	if x.completes == "" {
		x.completes = x.requestID
	}
	x.alreadyCharged += earlier.Charged
	x.maxCharge = max(x.maxCharge-earlier.Charged, 0)
	id := controlapi.RequestIDFor(x.identity.caller.Name, x.idempotencyKey+"\x00"+strconv.Itoa(x.generation))
	return x.beginNewRecord(ctx, id, t)
}

// beginNewRecord opens another record for the call and continues under it.
func (x *exchange) beginNewRecord(ctx context.Context, requestID string, t target) error {
	remove, ok := x.h.inFlight.add(requestID)
	if !ok {
		t.release()
		return errkind.New(errkind.InProgress, "this host is already serving the request").WithRetryAfter(inProgressRetryAfter)
	}
	defer remove()
	x.requestID = requestID
	x.ranUnderEarlierRecord = true
	reply, t, err := x.begin(ctx, t)
	if err != nil {
		return err
	}
	return x.handleBeginReply(ctx, reply, t)
}

// replayStoredAnswer writes the stored answer of a non-repeatable call that has
// run. That needs no upstream, so calls that were not admitted get it too.
func (x *exchange) replayStoredAnswer() bool {
	if x.idempotencyKey == "" || x.repeatable {
		return false
	}
	ctx, cancel := context.WithTimeout(x.ctx, outcomeQueryTimeout)
	defer cancel()
	status, err := x.h.Control.Query(ctx, &controlapi.QueryRequest{Request: x.requestID})
	if err != nil || len(status.Requests) == 0 || status.Requests[0].State != "settled" {
		return false
	}
	reply, err := x.executeBegin(ctx, target{}, 0)
	if err != nil || reply.Answer == nil {
		return false
	}
	x.write(reply.Answer)
	return true
}
