package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/godwitbend/godwitbend/internal/rpc"
)

const (
	// maxTunnels bounds the tunnels that a host carries at a time.
	maxTunnels = 512
	// maxDialTimeout bounds the connection attempts for other hosts.
	maxDialTimeout = time.Second
	// readBufferBytes fits typical events of a stream.
	readBufferBytes = 4 << 10
)

// ErrUnavailable is wrapped by errors of Server.Dial that tell nothing of the upstream.
var ErrUnavailable = errors.New("this host can't reach any upstream")

// Server carries the connections of other hosts to upstreams.
type Server struct {
	// Dial connects to an upstream by this host's own links.
	Dial func(ctx context.Context, address string) (io.ReadWriteCloser, error)
	// Serves reports whether an upstream is known at an address. Others are not connected to.
	Serves func(address string) bool

	tunnels atomic.Int64
}

// Register registers the method that opens tunnels.
func (s *Server) Register(srv *rpc.Server) { rpc.HandleDuplex(srv, method, s.serve) }

func (s *Server) serve(stream *rpc.Stream) error {
	var req openRequest
	if err := stream.Receive(&req); err != nil {
		return err
	}
	if s.tunnels.Add(1) > maxTunnels {
		s.tunnels.Add(-1)
		return stream.Send(&openReply{statusUnavailable, "too many tunnels"})
	}
	defer s.tunnels.Add(-1)
	if !s.Serves(req.Address) {
		return stream.Send(&openReply{statusUnavailable, "no upstream is known at the address"})
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
	go forwardToUpstream(stream, upstream)
	return forwardFromUpstream(stream, upstream)
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
		if writable {
			_, err := upstream.Write(next.Data)
			writable = err == nil
		}
	}
}

// forwardFromUpstream forwards data until the upstream ends the connection or the tunnel breaks.
func forwardFromUpstream(stream *rpc.Stream, upstream io.Reader) error {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := upstream.Read(buffer)
		next := &chunk{Data: buffer[:n]}
		switch {
		case errors.Is(err, io.EOF):
			next.End = true
		case errors.Is(err, net.ErrClosed):
			next.Broken = "closed by the tunnel"
		case err != nil:
			next.Broken = err.Error()
		}
		if sendErr := stream.Send(next); sendErr != nil || err != nil {
			return sendErr
		}
	}
}
