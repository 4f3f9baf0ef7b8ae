package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// incoming is an authenticated request within the size limits.
type incoming struct {
	*identity
	idempotencyKey string
	body           []byte
}

// receive authenticates a request, checks that the host accepts work, and reads the body.
func (h *Handler) receive(w http.ResponseWriter, r *http.Request) (*incoming, error) {
	id, refusal := h.authenticate(r)
	if id == nil {
		return nil, refusal
	}
	if err := h.Limits.checkHeader(r); err != nil {
		return nil, err
	}
	key, err := h.Limits.readIdempotencyKey(r)
	if err != nil {
		return nil, err
	}
	if key != "" {
		setRequestID(w, id.caller.Name, key)
	}
	if refusal == nil {
		refusal = h.checkAcceptingWork()
	}
	if refusal != nil {
		return nil, h.resolveOutcome(r.Context(), w, key, true, refusal)
	}
	control := http.NewResponseController(w)
	stopReading := context.AfterFunc(h.stopped, func() { _ = control.SetReadDeadline(time.Now()) })
	body, err := h.Limits.readBody(w, r)
	stopReading()
	if err != nil && h.stopped.Err() != nil {
		return nil, h.resolveOutcome(context.WithoutCancel(r.Context()), w, key, true, errDraining())
	}
	if err != nil {
		return nil, err
	}
	return &incoming{identity: id, idempotencyKey: key, body: body}, nil
}

// service returns the named service if it is of the given kind and policy allows the caller to use it.
func (in *incoming) service(name string, kind config.ServiceKind) (*config.ServiceSpec, error) {
	spec, ok := in.view.Service(name)
	if !ok || spec.Kind != kind {
		return nil, errkind.New(errkind.NotFound, "service %q does not exist", name)
	}
	if _, ok := in.policyFilter(name); !ok {
		return nil, errkind.New(errkind.Forbidden, "no policy allows the organisation to use service %q", name)
	}
	return spec, nil
}
