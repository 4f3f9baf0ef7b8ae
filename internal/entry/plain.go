package entry

import (
	"encoding/json"
	"net/http"
	"path"
	"strings"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// servePlain serves a call of a plain service.
func (h *Handler) servePlain(w http.ResponseWriter, r *http.Request) error {
	in, err := h.receive(w, r)
	if err != nil {
		return err
	}
	name := r.PathValue("service")
	if _, err := in.service(name, config.ServicePlain); err != nil {
		return h.truthful(r.Context(), w, in.key, true, err)
	}
	below := "/" + r.PathValue("path")
	if err := checkPath(r, below); err != nil {
		return err
	}
	method, ok := in.view.Method(name, r.Method, below)
	if !ok {
		err := errkind.New(errkind.NotFound, "service %q has no method %s %s", name, r.Method, below)
		return h.truthful(r.Context(), w, in.key, true, err)
	}
	if !method.Repeatable && in.key == "" {
		return errkind.New(errkind.KeyRequired, "the call may not be repeated; send an Idempotency-Key")
	}
	target := upstreamPath(r)
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	c := call{
		service:     name,
		kind:        callPlain,
		method:      r.Method,
		path:        target,
		below:       below,
		contentType: r.Header.Get("Content-Type"),
		body:        in.body,
		bodyHash:    controlapi.BodyHash(name, r.Method+" "+target, in.body),
		repeatable:  method.Repeatable,
		worst:       method.Tokens,
	}
	return h.serveCall(w, r, in, c)
}

// checkPath refuses a path that an upstream could read as another one than the
// methods of the service are matched against.
func checkPath(r *http.Request, decoded string) error {
	escapedSlash := strings.Contains(strings.ToLower(r.URL.EscapedPath()), "%2f")
	if escapedSlash || path.Clean(decoded) != decoded {
		return errkind.New(errkind.InvalidRequest, "the path must not have empty, dot or escaped-slash segments")
	}
	return nil
}

// upstreamPath returns the escaped path below /services/{service}.
func upstreamPath(r *http.Request) string {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/services/")
	_, below, _ := strings.Cut(rest, "/")
	return "/" + below
}

// modelList is the answer to GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models that policy lets the caller use.
func (h *Handler) serveModels(w http.ResponseWriter, r *http.Request) error {
	in, err := h.receive(w, r)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range in.view.Services() {
		if _, err := in.service(name, config.ServiceModel); err == nil {
			list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "godwitbend"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(list)
}

// serveUnknownPath refuses a path that is not served.
func (h *Handler) serveUnknownPath(_ http.ResponseWriter, r *http.Request) error {
	return errkind.New(errkind.NotFound, "%s %s is not served", r.Method, r.URL.Path)
}
