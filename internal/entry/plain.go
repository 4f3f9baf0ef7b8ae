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

// servePlain serves a call to a plain service.
func (h *Handler) servePlain(w http.ResponseWriter, r *http.Request) error {
	in, err := h.receive(w, r)
	if err != nil {
		return err
	}
	name := r.PathValue("service")
	if _, err := in.service(name, config.ServicePlain); err != nil {
		return h.resolveOutcome(r.Context(), w, in.idempotencyKey, true, err)
	}
	subpath := "/" + r.PathValue("path")
	if err := checkPath(r, subpath); err != nil {
		return err
	}
	method, ok := in.view.Method(name, r.Method, subpath)
	if !ok {
		err := errkind.New(errkind.NotFound, "service %q has no method %s %s", name, r.Method, subpath)
		return h.resolveOutcome(r.Context(), w, in.idempotencyKey, true, err)
	}
	if !method.Repeatable && in.idempotencyKey == "" {
		return errkind.New(errkind.KeyRequired, "the method is not repeatable; send an Idempotency-Key")
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
		subpath:     subpath,
		contentType: r.Header.Get("Content-Type"),
		body:        in.body,
		bodyHash:    controlapi.BodyHash(name, r.Method+" "+target, in.body),
		repeatable:  method.Repeatable,
		maxCharge:   method.Tokens,
	}
	return h.serveCall(w, r, in, c)
}

// checkPath rejects a path that an upstream could resolve differently from the
// path that is matched against the methods of the service.
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
	_, subpath, _ := strings.Cut(rest, "/")
	return "/" + subpath
}

// modelList is the response to GET /v1/models.
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

// serveModels lists the models that the caller is allowed to use by policy.
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

// serveUnknownPath rejects paths that have no handler.
func (h *Handler) serveUnknownPath(_ http.ResponseWriter, r *http.Request) error {
	return errkind.New(errkind.NotFound, "no handler for %s %s", r.Method, r.URL.Path)
}
