package telemetry

import (
	"io"
	"net/http"
)

// Paths of the metrics and health endpoints.
const (
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
)

// Register adds the metrics and health endpoints to mux. ready returns the reason why
// the host accepts no new requests, or nil if it does.
func Register(mux *http.ServeMux, metrics http.Handler, ready func() error) {
	mux.Handle("GET "+PathMetrics, metrics)
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		writeLine(w, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET "+PathReady, ReadyHandler(ready))
}

// ReadyHandler returns a handler that responds with 200 if ready returns nil, otherwise
// with 503 and the error's text.
func ReadyHandler(ready func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			writeLine(w, http.StatusServiceUnavailable, err.Error())
			return
		}
		writeLine(w, http.StatusOK, "ready")
	}
}

func writeLine(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n")
}
