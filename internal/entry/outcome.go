package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// outcomeQueryTimeout bounds the query for the record of a refused request.
const outcomeQueryTimeout = 500 * time.Millisecond

// resolveOutcome sets the outcome of an error from the state of the call's record.
func (x *exchange) resolveOutcome(e *errkind.Error) error {
	if x.ranUnderEarlierRecord && e.Outcome() != errkind.Ran {
		return e.WithOutcome(errkind.Ran)
	}
	if x.recordKnown {
		if (x.mayHaveRun || x.earlierAttemptMayHaveRun || x.journalsAwaited) && e.Outcome() == errkind.NotRun {
			return e.WithOutcome(errkind.Unknown)
		}
		return e
	}
	return x.h.resolveOutcome(x.ctx, x.w, x.idempotencyKey, x.repeatable, e)
}

// resolveOutcome sets the outcome of an error for a request that was not begun
// here. An earlier request with the same idempotency key may have run, so its record
// is queried. repeatable is also true while it is not known to be false.
func (h *Handler) resolveOutcome(ctx context.Context, w http.ResponseWriter, key string, repeatable bool, err error) error {
	e := errkind.From(err)
	if key == "" || e.Outcome() != errkind.NotRun || e.Kind == errkind.KeyReused {
		return e
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeQueryTimeout)
	defer cancel()
	if e.Kind == errkind.ControlUnavailable {
		// The control group may still commit the Begin of an earlier request with the key.
		return e.WithOutcome(errkind.Unknown)
	}
	reply, queryErr := h.Control.Query(ctx, &controlapi.QueryRequest{Request: w.Header().Get(announce.HeaderRequestID)})
	if queryErr != nil {
		return e.WithOutcome(errkind.Unknown)
	}
	if reply.JournalsAwaited && repeatable {
		return e.WithOutcome(errkind.Unknown)
	}
	for i := range reply.Requests {
		switch state := reply.Requests[i].State; {
		case state == "settled":
			return e.WithOutcome(errkind.Ran)
		case state == "released" && !repeatable:
			return e
		default:
			// The record of a repeatable request is also released after runs that delivered nothing.
			return e.WithOutcome(errkind.Unknown)
		}
	}
	return e
}
