package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/telemetry"
)

// defaultRetryAfter is the Retry-After value of retryable errors that set none.
const defaultRetryAfter = time.Second

// errorBody is the JSON body of an error response to a caller.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	errkind.Body
	RequestID string `json:"request_id"`
	// Type and Code repeat the kind for client libraries that read these fields.
	Type string `json:"type"`
	Code string `json:"code"`
}

func newErrorBody(e *errkind.Error, requestID string) errorBody {
	return errorBody{Error: errorDetail{
		Body: e.Body(), RequestID: requestID, Type: string(e.Kind), Code: string(e.Kind),
	}}
}

// refuse writes the error response, and logs and counts the refusal.
func (h *Handler) refuse(w http.ResponseWriter, err error) {
	e := errkind.From(err)
	h.counters.refusal(e.Kind)
	if errkind.Lookup(e.Kind).Retryable && e.RetryAfterMS == 0 {
		e = e.WithRetryAfter(defaultRetryAfter)
	}
	id := w.Header().Get(announce.HeaderRequestID)
	h.Log.Info("request refused", telemetry.FieldRequestID, id, telemetry.FieldKind, e.Kind, "outcome", e.Outcome())
	body, _ := json.Marshal(newErrorBody(e, id))
	h.extendWriteDeadline(w)
	e.WriteHeader(w)
	_, _ = w.Write(body)
}

// counters counts refusals by kind and retries by reason.
type counters struct {
	scope tally.Scope
}

func (c *counters) refusal(k errkind.Kind) {
	telemetry.Refusal(c.scope, k).Inc(1)
}

func (c *counters) retry(r retryReason) {
	telemetry.Retry(c.scope, string(r)).Inc(1)
}

func (c *counters) event(name string) {
	c.scope.Counter(name).Inc(1)
}
