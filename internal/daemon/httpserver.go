package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/ingress"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// quietTime is the time without requests after which a stopping host closes idle connections. Requests on them
	// may have been sent and not read yet.
	quietTime = 500 * time.Millisecond
	// quietPollInterval is the interval at which a stopping host looks for requests being served.
	quietPollInterval = 20 * time.Millisecond
)

// httpServer serves callers and upstreams, or operators.
type httpServer struct {
	*http.Server
	listener net.Listener
	handler  http.Handler
	// leaving reports whether answers ask callers to leave their connections.
	leaving func() bool

	mu       sync.Mutex
	inFlight int
	lastEnd  time.Time
}

// serveHTTP serves handler on listener, whose connections are those of bounded or lead through them, until the shutdown.
func (d *Daemon) serveHTTP(bounded *ingress.Listener, listener net.Listener, handler http.Handler) *httpServer {
	s := &httpServer{listener: listener, handler: handler, leaving: d.leaving.Load}
	s.Server = &http.Server{Handler: s}
	bounded.Instrument(s.Server)
	d.goRun(func() {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			klog.ErrorS(err, "HTTP server failed", "address", listener.Addr().String())
		}
	})
	return s
}

// ServeHTTP implements http.Handler.
func (s *httpServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.begin()
	defer s.end()
	if s.leaving() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}

func (s *httpServer) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
}

func (s *httpServer) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.lastEnd = time.Now()
}

// quietSince reports whether no request has been served since t.
func (s *httpServer) quietSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight == 0 && !s.lastEnd.After(t)
}

// drain accepts no new connections and waits until the requests in flight have ended. Idle connections stay open until
// no request has come for quietTime.
func (s *httpServer) drain(ctx context.Context) error {
	_ = s.listener.Close()
	if timing.Sleep(ctx, quietTime) {
		timing.EveryUntil(ctx, quietPollInterval, func() bool { return !s.quietSince(time.Now().Add(-quietTime)) })
	}
	return eris.Wrap(s.Shutdown(ctx), "drain requests in flight")
}
