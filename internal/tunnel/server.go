package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/netconn"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// maxTunnels bounds the tunnels that a host carries at a time.
	maxTunnels = 512
	// maxDialTimeout bounds the connection attempts for other hosts.
	maxDialTimeout = time.Second
	// readBufferBytes fits typical events of a stream.
	readBufferBytes = 4 << 10
	// drainPollInterval is the interval at which Drain looks for open tunnels.
	drainPollInterval = 10 * time.Millisecond
)

// ErrUnavailable is wrapped by errors of Server.Dial that tell nothing of the upstream.
var ErrUnavailable = errors.New("this host can't reach any upstream")

// Server carries the connections of other hosts to upstreams.
type Server struct {
	// Dial connects to an upstream by this host's own links.
	Dial func(ctx context.Context, address string) (io.ReadWriteCloser, error)
	// Serves reports whether an upstream is known at an address. Others are not connected to.
	Serves func(address string) bool
	// Scope has the counters of tunnels.
	Scope tally.Scope

	stopping atomic.Bool
	tunnels  atomic.Int64

	mu      sync.Mutex
	carried map[*carried]struct{}
	// kill is when this host is killed; nil until TellOfKill.
	kill *KillTimes
}

// carried is the end of an open tunnel at the host that carries it.
type carried struct {
	stream *rpc.Stream
	// sending is held while a message is sent.
	sending sync.Mutex
}

func (c *carried) send(message *chunk) error {
	c.sending.Lock()
	defer c.sending.Unlock()
	return c.stream.Send(message)
}

func (c *carried) tellOfKill(k *KillTimes) {
	_ = c.send(&chunk{Kill: &kill{Earliest: time.Until(k.Earliest), Latest: time.Until(k.Latest)}}) // the reader learns of a broken tunnel
}

// Register registers the method that opens tunnels.
func (s *Server) Register(srv *rpc.Server) { rpc.HandleDuplex(srv, method, s.serve) }

// Stop refuses new tunnels, so that other hosts choose another way at once. Open ones go on.
func (s *Server) Stop() { s.stopping.Store(true) }

// TellOfKill tells the hosts of open tunnels between which times this one is killed, so that they move what may last longer.
func (s *Server) TellOfKill(earliest, latest time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kill = &KillTimes{Earliest: earliest, Latest: latest}
	for c := range s.carried {
		go c.tellOfKill(s.kill)
	}
}

// carry records an open tunnel until end is called.
func (s *Server) carry(c *carried) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.carried == nil {
		s.carried = map[*carried]struct{}{}
	}
	s.carried[c] = struct{}{}
	if s.kill != nil {
		go c.tellOfKill(s.kill)
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.carried, c)
	}
}

// Open returns the number of open tunnels.
func (s *Server) Open() int64 { return s.tunnels.Load() }

// Drain waits until all tunnels have ended, or ctx has. It follows Stop.
func (s *Server) Drain(ctx context.Context) {
	for s.tunnels.Load() > 0 && timing.Sleep(ctx, drainPollInterval) {
	}
}

func (s *Server) serve(stream *rpc.Stream) error {
	var req openRequest
	if err := stream.Receive(&req); err != nil {
		return err
	}
	open := s.tunnels.Add(1)
	defer s.tunnels.Add(-1)
	if reason := s.refusal(open, req.Address); reason != "" {
		return stream.Send(&openReply{statusUnavailable, reason})
	}
	ctx, cancel := context.WithTimeout(stream.Context(), min(max(req.Timeout, 0), maxDialTimeout))
	upstream, err := s.Dial(ctx, req.Address)
	cancel()
	switch {
	case errors.Is(err, ErrUnavailable):
		return stream.Send(&openReply{statusUnavailable, err.Error()})
	case err != nil:
		return stream.Send(&openReply{statusUnreachable, err.Error()})
	}
	defer func() { _ = upstream.Close() }()
	if err := stream.Send(&openReply{}); err != nil {
		return err
	}
	c := &carried{stream: stream}
	defer s.carry(c)()
	go forwardToUpstream(stream, upstream)
	s.Scope.Counter("tunnels_carried").Inc(1)
	began := time.Now()
	sent, broken, err := forwardFromUpstream(c, upstream)
	if broken != nil {
		s.Scope.Counter("tunnels_carried_broken").Inc(1)
		klog.InfoS("connection to an upstream broke that is carried for another host", "upstream_address", req.Address,
			"bytes", sent, "open_ms", time.Since(began).Milliseconds(), "stopping", s.stopping.Load(), "error", broken.Error())
	}
	return err
}

// refusal returns why no tunnel to address is opened, or "". The number of open ones includes it.
func (s *Server) refusal(open int64, address string) string {
	switch {
	case s.stopping.Load():
		return "the host is stopping"
	case open > maxTunnels:
		return "too many tunnels"
	case !s.Serves(address):
		return "no upstream is known at the address"
	}
	return ""
}

// forwardToUpstream forwards data until the other host closes the tunnel, and then closes the
// connection to the upstream. An upstream that reads no more may still answer.
func forwardToUpstream(stream *rpc.Stream, upstream io.WriteCloser) {
	defer func() { _ = upstream.Close() }()
	writable := true
	for {
		var next chunk
		if stream.Receive(&next) != nil {
			return
		}
		if next.KeepOpen {
			netconn.KeepOpen(upstream)
		}
		if writable && len(next.Data) > 0 {
			_, err := upstream.Write(next.Data)
			writable = err == nil
		}
	}
}

// forwardFromUpstream forwards data until the upstream ends the connection or the tunnel breaks. It returns the number of
// bytes received, and why the connection to the upstream broke; nil if that ended in order or with the tunnel.
func forwardFromUpstream(c *carried, upstream io.Reader) (received int64, broken, err error) {
	buffer := make([]byte, readBufferBytes)
	for {
		n, readErr := upstream.Read(buffer)
		received += int64(n)
		next := &chunk{Data: buffer[:n]}
		switch {
		case errors.Is(readErr, io.EOF):
			next.End = true
		case errors.Is(readErr, net.ErrClosed):
			next.Broken = "closed by the tunnel"
		case readErr != nil:
			broken, next.Broken = readErr, readErr.Error()
		}
		if err := c.send(next); err != nil || readErr != nil {
			return received, broken, err
		}
	}
}
