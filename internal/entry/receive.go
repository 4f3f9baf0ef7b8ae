package entry

import (
	"net/http"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// incoming is an authenticated request whose size is within the limits.
type incoming struct {
	*identity
	key  string
	body []byte
}

// receive authenticates a request, checks that the host takes work, and reads it.
func (h *Handler) receive(w http.ResponseWriter, r *http.Request) (*incoming, error) {
	id, refusal := h.authenticate(r)
	if id == nil {
		return nil, refusal
	}
	if err := h.Limits.checkHeader(r); err != nil {
		return nil, err
	}
	key, err := h.Limits.readKey(r)
	if err != nil {
		return nil, err
	}
	if key != "" {
		setRequestID(w, id.caller.Name, key)
	}
	if refusal == nil {
		refusal = h.checkOpen()
	}
	if refusal != nil {
		return nil, h.truthful(r.Context(), w, key, true, refusal)
	}
	body, err := h.Limits.readBody(w, r)
	if err != nil {
		return nil, err
	}
	return &incoming{identity: id, key: key, body: body}, nil
}

// service returns a service that policy lets the caller use.
func (in *incoming) service(name string, kind config.ServiceKind) (*config.ServiceSpec, error) {
	spec, ok := in.view.Service(name)
	if !ok || spec.Kind != kind {
		return nil, errkind.New(errkind.NotFound, "service %q does not exist", name)
	}
	if _, ok := in.allowed(name); !ok {
		return nil, errkind.New(errkind.Forbidden, "no policy allows the organisation service %q", name)
	}
	return spec, nil
}
