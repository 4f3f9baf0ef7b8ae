package entry

import (
	"context"
	"strconv"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// maxGenerations bounds how often a request that was cut off is completed.
const maxGenerations = 16

// takeOver goes on with a call whose earlier owner is gone. It owns the place at t.
func (x *exchange) takeOver(reply *controlapi.BeginReply, t target) error {
	if !reply.MayHaveRun {
		return x.run(t)
	}
	x.h.counters.retry(reasonTakeover)
	earlier, found := x.earlierTarget(reply)
	if !x.repeatable {
		t.leave()
		return x.takeOverOnce(earlier, found)
	}
	if found && x.kind == callChatStream && earlier.asks && !earlier.gone() && !x.suspect && earlier.entry.Claim(false) {
		f := x.resumeTakenOver(earlier)
		earlier.leave()
		if f == nil {
			t.leave()
			return nil
		}
	}
	if found {
		_, _ = x.cancel(earlier)
	}
	return x.run(t)
}

// earlierTarget returns where the earlier attempt was dispatched.
func (x *exchange) earlierTarget(reply *controlapi.BeginReply) (target, bool) {
	e, found := x.h.Registry.Snapshot().Entries[reply.Upstream]
	if !found {
		return target{}, false
	}
	earlier := newTarget(e, false)
	earlier.incarnation = reply.UpstreamIncarnation
	return earlier, true
}

// resumeTakenOver streams from its start what the earlier attempt's engine still has.
func (x *exchange) resumeTakenOver(earlier target) *failure {
	leave := x.h.crashes.enter(earlier, x.requestID, x.bodyHash)
	defer leave()
	ctx, watch := newWatch(x.work, x.untilDeadline())
	defer watch.stop()
	resp, f := x.resume(ctx, earlier, 0)
	if f != nil {
		return f
	}
	return x.relayAll(ctx, watch, earlier, resp)
}

// takeOverOnce goes on with a call that may not be repeated: only when the
// earlier dispatch provably did not run it is sent.
func (x *exchange) takeOverOnce(earlier target, found bool) error {
	if !found {
		return errkind.New(errkind.OutcomeUnknown, "the upstream that the call was sent to is not known here; ask again with the same key").
			WithRetryAfter(upstreamRetry)
	}
	if err := x.learnFate(earlier); err == errAnswered {
		return nil
	} else if err != nil {
		return err
	}
	t, err := x.chooseAgain()
	if err != nil {
		return err
	}
	return x.run(t)
}

// repeatSettled answers a call that has run and is charged. It owns the place at t.
func (x *exchange) repeatSettled(ctx context.Context, reply *controlapi.BeginReply, t target) error {
	if reply.Answer != nil {
		t.leave()
		x.write(reply.Answer)
		return nil
	}
	if !x.repeatable {
		t.leave()
		return errkind.New(errkind.OutcomeUnknown, "the call ran; its answer is no longer kept").WithOutcome(errkind.Ran)
	}
	if reply.Partial {
		return x.complete(ctx, reply, t)
	}
	return x.rerun(ctx, t)
}

// rerun runs a repeatable call that is charged already once more, under a
// record of its own that charges nothing.
func (x *exchange) rerun(ctx context.Context, t target) error {
	x.h.counters.event("reruns")
	x.isRerun = true
	x.completes = ""
	x.worst = 0
	return x.beginAnew(ctx, newRequestID(), t)
}

// complete runs a call whose earlier run was charged in part, because it was
// cut off, once more from its start, under a record of its own that charges the
// rest. Its id follows from the key, so that a further try finds that record.
func (x *exchange) complete(ctx context.Context, earlier *controlapi.BeginReply, t target) error {
	x.generation++
	if x.generation > maxGenerations {
		t.leave()
		return errkind.New(errkind.UpstreamFailed, "the request was cut off %d times; use a new key", maxGenerations).
			WithOutcome(errkind.Ran)
	}
	x.h.counters.event("completions")
	if x.completes == "" {
		x.completes = x.requestID
	}
	x.paid += earlier.Charged
	x.worst = max(x.worst-earlier.Charged, 0)
	id := controlapi.RequestIDFor(x.id.caller.Name, x.key+"\x00"+strconv.Itoa(x.generation))
	return x.beginAnew(ctx, id, t)
}

// beginAnew opens a further record for the call and goes on with that.
func (x *exchange) beginAnew(ctx context.Context, requestID string, t target) error {
	leave, ok := x.h.open.enter(requestID)
	if !ok {
		t.leave()
		return errkind.New(errkind.InProgress, "the request is being served").WithRetryAfter(inProgressRetry)
	}
	defer leave()
	x.requestID = requestID
	x.ranBefore = true
	reply, t, err := x.begin(ctx, t)
	if err != nil {
		return err
	}
	return x.proceed(ctx, reply, t)
}

// giveStoredAnswer gives the answer that the record keeps of a call that may not
// be repeated and has run. That takes no place at an upstream, so a call that
// was not admitted gets it too.
func (x *exchange) giveStoredAnswer() bool {
	if x.key == "" || x.repeatable {
		return false
	}
	ctx, cancel := context.WithTimeout(x.ctx, outcomeTimeout)
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
