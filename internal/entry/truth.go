package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// outcomeTimeout bounds the look at the record of a refused request.
const outcomeTimeout = 500 * time.Millisecond

// truthful states the outcome of a refused call by what is known of its record.
func (x *exchange) truthful(e *errkind.Error) error {
	if x.ranBefore && e.Outcome() != errkind.Ran {
		return e.WithOutcome(errkind.Ran)
	}
	if x.consulted {
		if (x.mayHaveRun || x.ranEarlier || x.journalsAwaited) && e.Outcome() == errkind.NotRun {
			return e.WithOutcome(errkind.Unknown)
		}
		return e
	}
	return x.h.truthful(x.ctx, x.w, x.key, x.repeatable, e)
}

// truthful states the outcome of a refused request that was not begun here. An
// earlier try with the same key may have run, so its record is looked up.
// Repeatable tells that the request may be repeated, as far as is known.
func (h *Handler) truthful(ctx context.Context, w http.ResponseWriter, key string, repeatable bool, err error) error {
	e := errkind.From(err)
	if key == "" || e.Outcome() != errkind.NotRun || e.Kind == errkind.KeyReused {
		return e
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	if e.Kind == errkind.ControlUnavailable {
		// The group may be about to commit what another try began.
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
			// A request that may be repeated is also released after runs that delivered nothing.
			return e.WithOutcome(errkind.Unknown)
		}
	}
	return e
}
