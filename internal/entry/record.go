package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// recordTimeout bounds the time for closing a record, retries included.
	recordTimeout = 30 * time.Second
	// recordRetryDelay is the delay before a command without a reply is sent again.
	recordRetryDelay = 100 * time.Millisecond
	// releaseWaitLimit is how long a refusal is delayed while its reservation is released.
	releaseWaitLimit = 300 * time.Millisecond
	// recordPollMin and recordPollMax bound the delay before the retry of a command
	// that waits for reserved budget to be released or for other suspects to finish.
	recordPollMin = 50 * time.Millisecond
	recordPollMax = 400 * time.Millisecond
)

// setRequestID sets the response's request id for a call with an idempotency key.
func setRequestID(w http.ResponseWriter, caller, key string) {
	w.Header().Set(announce.HeaderRequestID, controlapi.RequestIDFor(caller, key))
}

// begin opens the record of the call with t as its first upstream, and returns the
// upstream that the record finally names. If the budget does not suffice, it retries
// with an exact prompt count, then waits for reservations to be released; a suspect
// waits for its turn. On an error the claim on t is released.
func (x *exchange) begin(ctx context.Context, t target) (*controlapi.BeginReply, target, error) {
	tightened := false
	for wait := recordPollMin; ; wait = min(2*wait, recordPollMax) {
		reply, err := x.beginOrTakeOver(ctx, t)
		if err == nil {
			return reply, t, nil
		}
		insufficient := errkind.Is(err, errkind.BudgetExhausted) || errkind.Is(err, errkind.BudgetReserved)
		if insufficient && !tightened && x.tightenReservation(ctx, t) {
			tightened = true
			continue
		}
		suspect := errkind.Is(err, errkind.SuspectBusy)
		if !suspect && !errkind.Is(err, errkind.BudgetReserved) || !timing.Sleep(ctx, wait) {
			t.release()
			return nil, target{}, err
		}
		if !suspect {
			continue
		}
		t.release()
		if t, err = x.chooseForRetry(); err != nil {
			return nil, target{}, err
		}
	}
}

func (x *exchange) beginOrTakeOver(ctx context.Context, t target) (*controlapi.BeginReply, error) {
	reply, err := x.executeBegin(ctx, t, 0)
	if err == nil && reply.Status == controlapi.BeginInProgress && x.ownerStoppedServing(ctx, reply.Owner) {
		return x.executeBegin(ctx, t, reply.Attempt)
	}
	return reply, err
}

// executeBegin opens the record. If superseded is not 0, it takes the record over
// from the owner of that attempt.
func (x *exchange) executeBegin(ctx context.Context, t target, superseded uint32) (*controlapi.BeginReply, error) {
	cmd := &controlapi.Command{Begin: &controlapi.BeginRequest{
		RequestID:           x.requestID,
		Organisation:        x.identity.caller.Organisation,
		Caller:              x.identity.caller.Name,
		Budget:              x.identity.caller.Budget,
		Service:             x.service,
		BodyHash:            x.bodyHash,
		Repeatable:          x.repeatable,
		Tokens:              x.maxCharge,
		Session:             x.session,
		Upstream:            t.upstreamID(),
		UpstreamIncarnation: t.incarnation,
		Takeover:            superseded != 0,
		Supersedes:          superseded,
		BeginSequence:       x.h.beginSequence.Add(1),
		Unkeyed:             x.idempotencyKey == "" || x.isRerun,
		Completes:           x.completes,
	}}
	res, err := x.h.Control.Execute(ctx, cmd)
	if err != nil {
		x.h.runInBackground(func() { x.h.releaseUnansweredBegin(cmd) })
		return nil, errkind.New(errkind.ControlUnavailable, "the control group did not confirm the opening of the record").WithRetryAfter(controlRetryAfter)
	}
	x.applyContainment(res)
	if res.Err != nil {
		return nil, res.Err
	}
	x.recordKnown = true
	x.journalsAwaited = res.JournalsAwaited
	x.applyBeginReply(res.Begin, t)
	return res.Begin, nil
}

func (x *exchange) applyBeginReply(reply *controlapi.BeginReply, t target) {
	x.attempt = reply.Attempt
	x.suspect = x.suspect || reply.Suspect
	x.ownsRecord = reply.Status == controlapi.BeginStarted || reply.Status == controlapi.BeginTakenOver
	x.mayHaveRun = reply.Status != controlapi.BeginStarted && (reply.MayHaveRun || reply.Status != controlapi.BeginTakenOver)
	// The record of a repeatable request is also released after runs that delivered nothing.
	x.earlierAttemptMayHaveRun = x.earlierAttemptMayHaveRun || x.ownsRecord && x.repeatable && reply.Attempt > 1
	if x.ownsRecord && !reply.MayHaveRun && t.entry != nil {
		x.recordedTarget = t
	}
}

// ownerStoppedServing reports whether the owner of an open record is known to have
// stopped serving it although its session has not ended. For this host's own session that is
// certain: Handler.inFlight admits only one exchange per request id.
func (x *exchange) ownerStoppedServing(ctx context.Context, owner string) bool {
	if owner == x.session {
		return true
	}
	if x.h.OwnerServes == nil {
		return false
	}
	serves, known := x.h.OwnerServes(ctx, owner, x.requestID)
	return known && !serves
}

// tightenReservation replaces the bound on the prompt tokens by the exact count of
// an upstream. It returns false if that does not lower the reservation.
func (x *exchange) tightenReservation(ctx context.Context, t target) bool {
	if x.kind == callPlain || t.entry == nil {
		return false
	}
	prompt, err := x.h.upstreams.tokenize(ctx, t.address, x.body)
	if err != nil || prompt+x.outputLimit-x.alreadyCharged >= x.maxCharge {
		return false
	}
	x.h.counters.event("prompts_tokenized")
	x.maxCharge = max(prompt+x.outputLimit-x.alreadyCharged, 0)
	return true
}

// recordDispatch commits the upcoming dispatch to t unless the record already names t.
func (x *exchange) recordDispatch(t target) error {
	if t.entry == x.recordedTarget.entry && x.recordedTarget.incarnation == t.incarnation {
		return nil
	}
	ctx, cancel := context.WithDeadline(x.workCtx, x.deadline)
	defer cancel()
	x.dispatchCount++
	res, err := x.h.commit(ctx, &controlapi.Command{Dispatch: &controlapi.DispatchRequest{
		RequestID: x.requestID, Attempt: x.attempt, Session: x.session, Upstream: t.entry.ID,
		UpstreamIncarnation: t.incarnation, EarlierNotRun: !x.mayHaveRun, NotRun: x.notRunOn,
		Sequence: x.dispatchCount,
	}})
	if res != nil {
		x.applyContainment(res)
	}
	if err == nil {
		x.recordedTarget, x.notRunOn = t, nil
	}
	return err
}

// applyContainment updates the upstreams that a suspect body is restricted to.
func (x *exchange) applyContainment(res *controlapi.Result) {
	x.containedTo = nil
	if res.Begin == nil {
		return
	}
	x.suspect = x.suspect || res.Begin.Suspect
	for _, instance := range res.Begin.AllowedInstances {
		x.containedTo = append(x.containedTo, instance.Upstream)
	}
}

// settle charges the used tokens and closes the record. It returns nil only if the
// charge is committed. partial marks a run that was cut off.
func (x *exchange) settle(tokens int64, answer *controlapi.StoredAnswer, partial bool) error {
	return x.closeRecord(&controlapi.Command{Settle: &controlapi.SettleRequest{
		RequestID: x.requestID, Attempt: x.attempt, Session: x.session,
		Tokens: x.charge(tokens), Answer: answer, Partial: partial,
	}})
}

// charge returns the charge for a run that used tokens, less what earlier records have charged.
func (x *exchange) charge(tokens int64) int64 {
	if x.isRerun {
		return 0
	}
	return max(tokens-x.alreadyCharged, 0)
}

// settleUnknown closes the record of a call with unknown outcome and charges the maximum.
func (x *exchange) settleUnknown() error {
	return x.closeRecord(&controlapi.Command{Settle: &controlapi.SettleRequest{
		RequestID: x.requestID, Attempt: x.attempt, Session: x.session, Tokens: x.maxCharge, Unknown: true,
	}})
}

// release releases the reservation of a call that did not run, or of a repeatable
// call whose runs delivered nothing.
func (x *exchange) release(mayHaveRun bool) error {
	if !x.ownsRecord {
		return nil
	}
	return x.closeRecord(&controlapi.Command{Release: &controlapi.ReleaseRequest{
		RequestID: x.requestID, Attempt: x.attempt, Session: x.session, MayHaveRun: mayHaveRun, NotRun: x.notRunOn,
	}})
}

// releaseWithGrace releases the reservation if the call did not run, or is
// repeatable and delivered nothing, and marks the record abandoned otherwise. It
// waits up to releaseWaitLimit; the release then continues in the background.
func (x *exchange) releaseWithGrace() {
	if !x.ownsRecord {
		return
	}
	if x.mayHaveRun && !x.repeatable {
		x.h.runInBackground(x.releaseAsAbandoned)
		return
	}
	done := x.h.runInBackground(func() { _ = x.release(x.mayHaveRun) })
	timer := time.NewTimer(releaseWaitLimit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// releaseAsAbandoned marks the record of a non-repeatable call whose outcome could
// not be determined as abandoned, so that a retry by the caller can take it over.
func (x *exchange) releaseAsAbandoned() {
	_ = x.closeRecord(&controlapi.Command{Release: &controlapi.ReleaseRequest{
		RequestID: x.requestID, Attempt: x.attempt, Session: x.session, Abandoned: true,
	}})
}

// runInBackground runs f as a background task, which draining waits for. It closes the channel when f returns.
func (h *Handler) runInBackground(f func()) <-chan struct{} {
	done := make(chan struct{})
	h.backgroundTasks.Add(1)
	go func() {
		defer close(done)
		defer h.backgroundTasks.Add(-1)
		f()
	}()
	return done
}

// closeRecord commits the end of the record, even if the caller has disconnected.
func (x *exchange) closeRecord(cmd *controlapi.Command) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), recordTimeout)
	defer cancel()
	err := x.commit(ctx, cmd)
	if err == nil || !errkind.Is(err, errkind.ControlUnavailable) {
		x.ownsRecord = false
	}
	return err
}

// commit executes an idempotent command, with retries until its result is known or ctx ends.
func (x *exchange) commit(ctx context.Context, cmd *controlapi.Command) error {
	_, err := x.h.commit(ctx, cmd)
	return err
}

func (h *Handler) commit(ctx context.Context, cmd *controlapi.Command) (*controlapi.Result, error) {
	for {
		res, err := h.Control.Execute(ctx, cmd)
		if err == nil && res.Err != nil {
			return res, res.Err
		}
		if err == nil {
			return res, nil
		}
		if !timing.Sleep(ctx, recordRetryDelay) {
			return nil, errkind.New(errkind.ControlUnavailable, "the control group did not confirm the write to the record").WithRetryAfter(controlRetryAfter)
		}
	}
}

// releaseUnansweredBegin sends a Begin that got no reply again to obtain its result,
// and releases the reservation. No dispatch was made under it.
func (h *Handler) releaseUnansweredBegin(begin *controlapi.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	res, err := h.commit(ctx, begin)
	if err != nil || res.Begin.MayHaveRun {
		return
	}
	if s := res.Begin.Status; s != controlapi.BeginStarted && s != controlapi.BeginTakenOver {
		return
	}
	_, _ = h.commit(ctx, &controlapi.Command{Release: &controlapi.ReleaseRequest{
		RequestID: begin.Begin.RequestID, Attempt: res.Begin.Attempt, Session: begin.Begin.Session,
	}})
}
