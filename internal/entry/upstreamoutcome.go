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
	// statePollInterval is the interval between two queries for the state of a call.
	statePollInterval = 50 * time.Millisecond
	// minOutcomeWait is the minimum time spent on determining the outcome of a call.
	minOutcomeWait = 2 * time.Second
)

// awaitUpstreamOutcome determines the outcome of a non-repeatable call that was
// sent to t. It returns errAnswered after it has delivered the answer, nil if the
// call provably did not run on t and never will, and the final error otherwise.
func (x *exchange) awaitUpstreamOutcome(t target) error {
	ctx, cancel := context.WithTimeout(x.workCtx, max(x.timeToDeadline(), minOutcomeWait))
	defer cancel()
	defer x.releaseMemory()
	for t.servesRequestState {
		state, err := x.queryOrFence(ctx, t)
		switch {
		case err != nil:
		case state.State == "done" && state.Status != 0:
			return x.deliverKeptAnswer(state)
		case state.Incarnation != t.incarnation || state.State == "failed":
			return x.closeAsUnknown()
		case state.State == "cancelled":
			x.mayHaveRun = false
			x.fencedUpstreams[t.entry.ID] = true
			x.failedUpstreams[t.entry.ID] = true
			return nil
		}
		if !timing.Sleep(ctx, statePollInterval) {
			return x.outcomePendingError()
		}
	}
	return x.closeAsUnknown()
}

// outcomePendingError returns the error for a call whose record stays open, so that a later retry can determine the outcome.
func (x *exchange) outcomePendingError() error {
	return errkind.New(errkind.OutcomeUnknown, "the upstream did not report the outcome of the call; retry with the same key").
		WithRetryAfter(upstreamRetryAfter)
}

// queryOrFence returns the state of the call as the upstream reports it. A call
// unknown there is cancelled, which keeps it from running if it arrives later.
func (x *exchange) queryOrFence(ctx context.Context, t target) (announce.RequestState, error) {
	address := t.entry.State().Address
	state, err := x.h.upstreams.readState(ctx, x.hold(), http.MethodGet, address, x.requestID)
	if err == nil {
		err = x.hold().Resize(ctx.Done(), int64(answerCopies*len(state.Body)))
	}
	if err != nil || state.State != "unknown" || state.Incarnation != t.incarnation {
		return state, err
	}
	return x.h.upstreams.requestState(ctx, http.MethodDelete, address, x.requestID)
}

// deliverKeptAnswer delivers the answer that the upstream has kept.
func (x *exchange) deliverKeptAnswer(state announce.RequestState) error {
	f := x.deliver(&controlapi.StoredAnswer{Status: state.Status, ContentType: state.ContentType, Body: state.Body}, x.maxCharge)
	if f != nil {
		return f.finalError
	}
	return errAnswered
}

// closeAsUnknown settles the record of a call whose outcome can no longer be determined, and returns the final error.
func (x *exchange) closeAsUnknown() error {
	if err := x.settleUnknown(); err != nil {
		return errkind.From(err).WithOutcome(errkind.Unknown)
	}
	return errkind.New(errkind.OutcomeUnknown, "it can't be determined whether the call ran")
}
