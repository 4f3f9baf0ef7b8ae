package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// maxRetrySpread bounds the random time by which callers return later than the first of them is
// served.
const maxRetrySpread = 2 * time.Second

// finalError returns the error that ends a request when no upstream can be tried.
// refusal is the reason why none was chosen, or nil if the deadline has passed.
func (q *request) finalError(refusal *errkind.Error) *errkind.Error {
	q.noteContextEnd()
	switch {
	case q.hostStopped() && !q.mayHaveRun:
		return errDraining()
	case q.mayHaveRun && refusal != nil:
		return errkind.New(errkind.OutcomeUnknown, "no further upstream was tried: %s", refusal.Message)
	case q.mayHaveRun:
		return errkind.New(errkind.OutcomeUnknown, "the deadline passed before an answer arrived")
	case refusal != nil:
		return refusal
	default:
		return errkind.New(errkind.DeadlineUnmet, "the deadline passed before the request was sent").WithRetryAfter(fullRetryAfter)
	}
}

// finish ends the request after its last attempt: it forwards the upstream's error answer,
// or returns the error for the caller.
func (a *attempt) finish(w http.ResponseWriter, result attemptResult) *errkind.Error {
	switch result {
	case resultUpstreamError:
		a.writeAnswer(w, a.bufferedFailure)
		return nil
	case resultNotRun:
		a.noteContextEnd()
		if !a.mayHaveRun {
			return errkind.New(errkind.Overloaded, "no upstream accepted the request: %s", a.lastFailure).
				WithRetryAfter(spread(max(a.handler.Pool.Wait(a.serviceName, time.Now()), fullRetryAfter)))
		}
	}
	switch {
	case a.lastFailure == failureHostStopped:
		return errkind.New(errkind.OutcomeUnknown, "the host stopped before an answer arrived")
	case a.lastFailure == failureCallerDisconnected:
		return errkind.New(errkind.OutcomeUnknown, "the caller disconnected before the answer was complete")
	case a.timeRemaining() < minAttemptTime:
		return errkind.New(errkind.OutcomeUnknown, "the deadline passed before an answer arrived")
	}
	return errkind.New(errkind.UpstreamFailed, "the upstream failed: %s", a.lastFailure)
}

// abort closes the caller's connection, so that the caller can tell that the stream is
// truncated.
func (q *request) abort(e *errkind.Error) {
	klog.InfoS("stream aborted", append(append(q.logFields(), "kind", string(e.Kind), "reason", e.Message), q.countEndedEarly()...)...)
	panic(http.ErrAbortHandler)
}

// spread returns a time at which a caller may come back that is at least wait from now, so that
// callers who were refused together do not return together.
func spread(wait time.Duration) time.Duration {
	return wait + rand.N(min(wait, maxRetrySpread))
}
