package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// quietTime is the time without requests after which a stopping host closes idle connections. Requests on them
	// may have been sent and not read yet.
	quietTime = 500 * time.Millisecond
	// quietPollInterval is the interval at which a stopping host looks for requests being served.
	quietPollInterval = 20 * time.Millisecond
)

// callerServer is the HTTP server for callers and upstreams.
type callerServer struct {
	*http.Server
	listener net.Listener
	handler  http.Handler
	// leaving reports whether answers ask callers to leave their connections.
	leaving func() bool

	mu       sync.Mutex
	inFlight int
	lastEnd  time.Time
}

// ServeHTTP implements http.Handler.
func (s *callerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.begin()
	defer s.end()
	if s.leaving() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}

func (s *callerServer) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
}

func (s *callerServer) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.lastEnd = time.Now()
}

// quietSince reports whether no request has been served since t.
func (s *callerServer) quietSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight == 0 && !s.lastEnd.After(t)
}

// drain accepts no new connections and waits until the requests in flight have ended. Idle connections stay open until
// no request has come for quietTime.
func (s *callerServer) drain(ctx context.Context) error {
	_ = s.listener.Close()
	if timing.Sleep(ctx, quietTime) {
		timing.EveryUntil(ctx, quietPollInterval, func() bool { return !s.quietSince(time.Now().Add(-quietTime)) })
	}
	return shutdownServer(ctx, s.Server)
}
