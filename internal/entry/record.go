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
	// recordTimeout bounds the tries to commit the end of a record.
	recordTimeout = 30 * time.Second
	// recordRetryDelay is the time between two tries.
	recordRetryDelay = 100 * time.Millisecond
	// releaseGrace is how long a refusal waits for the release of its reservation.
	releaseGrace = 300 * time.Millisecond
	// recordPollFirst and recordPollLast bound the time between two tries of a
	// Begin that waits for a reservation to be freed, or for a suspect's turn.
	recordPollFirst = 50 * time.Millisecond
	recordPollLast  = 400 * time.Millisecond
)

// setRequestID puts the id of a call with an idempotency key into the answer.
func setRequestID(w http.ResponseWriter, caller, key string) {
	w.Header().Set(announce.HeaderRequestID, controlapi.RequestIDFor(caller, key))
}

// begin opens the record of the call with t as the first upstream, and returns
// the upstream that the record names in the end. A refusal for a budget is
// answered by a tighter bound on the prompt, or by waiting for reservations to
// be freed; a refusal of a suspect by waiting for its turn. On an error it has
// given up the place at t.
func (x *exchange) begin(ctx context.Context, t target) (*controlapi.BeginReply, target, error) {
	tightened := false
	for wait := recordPollFirst; ; wait = min(2*wait, recordPollLast) {
		reply, err := x.beginOrTakeOver(ctx, t)
		if err == nil {
			return reply, t, nil
		}
		short := errkind.Is(err, errkind.BudgetExhausted) || errkind.Is(err, errkind.BudgetReserved)
		if short && !tightened && x.tighten(ctx, t) {
			tightened = true
			continue
		}
		suspect := errkind.Is(err, errkind.SuspectBusy)
		if !suspect && !errkind.Is(err, errkind.BudgetReserved) || !timing.Sleep(ctx, wait) {
			t.leave()
			return nil, target{}, err
		}
		if !suspect {
			continue
		}
		t.leave()
		if t, err = x.chooseAgain(); err != nil {
			return nil, target{}, err
		}
	}
}

func (x *exchange) beginOrTakeOver(ctx context.Context, t target) (*controlapi.BeginReply, error) {
	reply, err := x.executeBegin(ctx, t, 0)
	if err == nil && reply.Status == controlapi.BeginInProgress && x.ownerGone(ctx, reply.Owner) {
		return x.executeBegin(ctx, t, reply.Attempt)
	}
	return reply, err
}

// executeBegin opens the record, or takes it over from the owner of the attempt
// superseded, if that is not 0.
func (x *exchange) executeBegin(ctx context.Context, t target, superseded uint32) (*controlapi.BeginReply, error) {
	cmd := &controlapi.Command{Begin: &controlapi.BeginRequest{
		RequestID:           x.requestID,
		Organisation:        x.id.caller.Organisation,
		Caller:              x.id.caller.Name,
		Budget:              x.id.caller.Budget,
		Service:             x.service,
		BodyHash:            x.bodyHash,
		Repeatable:          x.repeatable,
		Tokens:              x.worst,
		Session:             x.session,
		Upstream:            t.id(),
		UpstreamIncarnation: t.incarnation,
		Takeover:            superseded != 0,
		Supersedes:          superseded,
		Try:                 x.h.tries.Add(1),
		Unkeyed:             x.key == "" || x.isRerun,
		Completes:           x.completes,
	}}
	res, err := x.h.Control.Execute(ctx, cmd)
	if err != nil {
		x.h.inBackground(func() { x.h.abandon(cmd) })
		return nil, errkind.New(errkind.ControlUnavailable, "the record can't be opened").WithRetryAfter(controlRetry)
	}
	x.confine(res)
	if res.Err != nil {
		return nil, res.Err
	}
	x.consulted = true
	x.journalsAwaited = res.JournalsAwaited
	x.takeBegin(res.Begin, t)
	return res.Begin, nil
}

func (x *exchange) takeBegin(reply *controlapi.BeginReply, t target) {
	x.attempt = reply.Attempt
	x.suspect = x.suspect || reply.Suspect
	x.begun = reply.Status == controlapi.BeginStarted || reply.Status == controlapi.BeginTakenOver
	x.mayHaveRun = reply.Status != controlapi.BeginStarted && (reply.MayHaveRun || reply.Status != controlapi.BeginTakenOver)
	// A request that may be repeated is also released after runs that delivered nothing.
	x.ranEarlier = x.ranEarlier || x.begun && x.repeatable && reply.Attempt > 1
	if x.begun && !reply.MayHaveRun && t.entry != nil {
		x.dispatched = t
	}
}

// ownerGone tells whether the owner of an open record surely no longer serves
// it, though its session lives. This host's own requests are known: open.enter
// let this one in, so no other is being served here under its id.
func (x *exchange) ownerGone(ctx context.Context, owner string) bool {
	if owner == x.session {
		return true
	}
	if x.h.OwnerServes == nil {
		return false
	}
	serves, known := x.h.OwnerServes(ctx, owner, x.requestID)
	return known && !serves
}

// tighten replaces the bound on the prompt by the exact count of an upstream.
func (x *exchange) tighten(ctx context.Context, t target) bool {
	if x.kind == callPlain || t.entry == nil {
		return false
	}
	prompt, err := x.h.upstreams.tokenize(ctx, t.address, x.body)
	if err != nil || prompt+x.output-x.paid >= x.worst {
		return false
	}
	x.h.counters.event("prompts_tokenized")
	x.worst = max(prompt+x.output-x.paid, 0)
	return true
}

// ensureDispatch commits that t is about to be tried, unless the record says so.
func (x *exchange) ensureDispatch(t target) error {
	if t.entry == x.dispatched.entry && x.dispatched.incarnation == t.incarnation {
		return nil
	}
	ctx, cancel := context.WithDeadline(x.work, x.deadline)
	defer cancel()
	x.dispatches++
	res, err := x.h.commit(ctx, &controlapi.Command{Dispatch: &controlapi.DispatchRequest{
		RequestID: x.requestID, Attempt: x.attempt, Session: x.session, Upstream: t.entry.ID,
		UpstreamIncarnation: t.incarnation, EarlierNotRun: !x.mayHaveRun, NotRun: x.notRun,
		Sequence: x.dispatches,
	}})
	if res != nil {
		x.confine(res)
	}
	if err == nil {
		x.dispatched, x.notRun = t, nil
	}
	return err
}

// confine takes in where a suspect body may run.
func (x *exchange) confine(res *controlapi.Result) {
	x.runOn = nil
	if res.Begin == nil {
		return
	}
	x.suspect = x.suspect || res.Begin.Suspect
	for _, instance := range res.Begin.RunOn {
		x.runOn = append(x.runOn, instance.Upstream)
	}
}

// settle charges the tokens that were used and closes the record. It returns
// nil only when the charge is committed. Partial tells that the run was cut off.
func (x *exchange) settle(tokens int64, answer *controlapi.StoredAnswer, partial bool) error {
	return x.finish(&controlapi.Command{Settle: &controlapi.SettleRequest{
		RequestID: x.requestID, Attempt: x.attempt, Session: x.session,
		Tokens: x.charge(tokens), Answer: answer, Partial: partial,
	}})
}

// charge returns what is charged for a run that used tokens.
func (x *exchange) charge(tokens int64) int64 {
	if x.isRerun {
		return 0
	}
	return max(tokens-x.paid, 0)
}

// settleUnknown closes the record of a call whose fate can't be learnt.
func (x *exchange) settleUnknown() error {
	return x.finish(&controlapi.Command{Settle: &controlapi.SettleRequest{
		RequestID: x.requestID, Attempt: x.attempt, Session: x.session, Tokens: x.worst, Unknown: true,
	}})
}

// release frees the reservation of a call that did not run, or of a repeatable
// call whose runs delivered nothing.
func (x *exchange) release(mayHaveRun bool) error {
	if !x.begun {
		return nil
	}
	return x.finish(&controlapi.Command{Release: &controlapi.ReleaseRequest{
		RequestID: x.requestID, Attempt: x.attempt, Session: x.session, MayHaveRun: mayHaveRun, NotRun: x.notRun,
	}})
}

// releaseSoon frees what the record still reserves if the call did not run, or
// may be repeated and delivered nothing. The answer waits for it only briefly.
func (x *exchange) releaseSoon() {
	if !x.begun {
		return
	}
	if x.mayHaveRun && !x.repeatable {
		x.h.inBackground(x.abandonRecord)
		return
	}
	done := x.h.inBackground(func() { _ = x.release(x.mayHaveRun) })
	timer := time.NewTimer(releaseGrace)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// abandonRecord lets the next try take over the record of a call that may not
// be repeated and whose fate could not be learnt.
func (x *exchange) abandonRecord() {
	_ = x.finish(&controlapi.Command{Release: &controlapi.ReleaseRequest{
		RequestID: x.requestID, Attempt: x.attempt, Session: x.session, Abandoned: true,
	}})
}

// inBackground runs f as part of the host's open work and closes the channel at its end.
func (h *Handler) inBackground(f func()) <-chan struct{} {
	done := make(chan struct{})
	h.background.Add(1)
	go func() {
		defer close(done)
		defer h.background.Add(-1)
		f()
	}()
	return done
}

// finish commits the end of the record, also when the caller has gone.
func (x *exchange) finish(cmd *controlapi.Command) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), recordTimeout)
	defer cancel()
	err := x.commit(ctx, cmd)
	if err == nil || !errkind.Is(err, errkind.ControlUnavailable) {
		x.begun = false
	}
	return err
}

// commit executes an idempotent command until its result is known or ctx ends.
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
			return nil, errkind.New(errkind.ControlUnavailable, "the record can't be written").WithRetryAfter(controlRetry)
		}
	}
}

// abandon learns the result of a Begin that was not answered, by sending it
// again, and frees what it reserved. Nothing was dispatched under it.
func (h *Handler) abandon(begin *controlapi.Command) {
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
