package telemetry

import (
	"io"
	"net/http"
)

// Paths of the pages of a process.
const (
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
)

// Register adds the metrics and health pages to mux. ready returns why the host
// takes no new work, or nil.
func Register(mux *http.ServeMux, metrics http.Handler, ready func() error) {
	mux.Handle("GET "+PathMetrics, metrics)
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		writeLine(w, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET "+PathReady, ReadyHandler(ready))
}

// ReadyHandler answers 200, or 503 with the reason that ready returns.
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
