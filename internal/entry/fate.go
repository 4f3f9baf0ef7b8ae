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
	// fatePoll is the time between two questions about a call.
	fatePoll = 50 * time.Millisecond
	// fateTime is the least time that is spent on learning the fate of a call.
	fateTime = 2 * time.Second
)

// learnFate finds out what became of a call that may not be repeated and was
// sent to t. It returns errAnswered after it delivered the answer, nil if the
// call provably did not run and never will there, and else the final error.
func (x *exchange) learnFate(t target) error {
	ctx, cancel := context.WithTimeout(x.work, max(x.untilDeadline(), fateTime))
	defer cancel()
	for t.asks {
		state, err := x.askFate(ctx, t)
		switch {
		case err != nil:
		case state.State == "done" && state.Status != 0:
			return x.deliverFate(state)
		case state.Incarnation != t.incarnation || state.State == "failed":
			return x.closeUnknown()
		case state.State == "cancelled":
			x.mayHaveRun = false
			x.fenced[t.entry.ID] = true
			x.failed[t.entry.ID] = true
			return nil
		}
		if !timing.Sleep(ctx, fatePoll) {
			return x.fatePending()
		}
	}
	return x.closeUnknown()
}

// fatePending leaves the record open, so that a later try can learn the fate.
func (x *exchange) fatePending() error {
	return errkind.New(errkind.OutcomeUnknown, "the upstream does not tell what became of the call; ask again with the same key").
		WithRetryAfter(upstreamRetry)
}

// askFate returns the upstream's word on the call. A call that is not known
// there is cancelled, which keeps it from running if it arrives later.
func (x *exchange) askFate(ctx context.Context, t target) (announce.RequestState, error) {
	address := t.entry.State().Address
	state, err := x.h.upstreams.ask(ctx, http.MethodGet, address, x.requestID)
	if err != nil || state.State != "unknown" || state.Incarnation != t.incarnation {
		return state, err
	}
	return x.h.upstreams.ask(ctx, http.MethodDelete, address, x.requestID)
}

// deliverFate delivers the answer that the upstream kept.
func (x *exchange) deliverFate(state announce.RequestState) error {
	f := x.deliver(&controlapi.StoredAnswer{Status: state.Status, ContentType: state.ContentType, Body: state.Body}, x.worst)
	if f != nil {
		return f.final
	}
	return errAnswered
}

// closeUnknown closes the record of a call whose fate can't be learnt any more.
func (x *exchange) closeUnknown() error {
	if err := x.settleUnknown(); err != nil {
		return errkind.From(err).WithOutcome(errkind.Unknown)
	}
	return errkind.New(errkind.OutcomeUnknown, "it can't be learnt whether the call ran")
}
