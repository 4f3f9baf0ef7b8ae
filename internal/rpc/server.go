// Package rpc implements typed calls and streams between hosts over drpc, with messages
// encoded as CBOR.
package rpc

import (
	"context"
	"net"
	"strings"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// reply is the answer to a unary call: an error of a listed kind, or a value.
type reply[T any] struct {
	Err   *errkind.Error `cbor:"1,keyasint,omitempty"`
	Value *T             `cbor:"2,keyasint,omitempty"`
}

type handler func(stream drpc.Stream) error

// Server serves the registered methods. All methods must be registered before Serve.
type Server struct {
	methods map[string]handler
	memory  messageMemory
}

// NewServer returns a server without any methods.
func NewServer() *Server {
	return &Server{methods: make(map[string]handler)}
}

// Handle registers fn as a unary method.
func Handle[Req, Resp any](s *Server, method string, fn func(context.Context, *Req) (*Resp, error)) {
	s.methods[method] = func(stream drpc.Stream) error {
		req := new(Req)
		if err := stream.MsgRecv(req, codec.Encoding{}); err != nil {
			return err
		}
		value, err := fn(stream.Context(), req)
		out := reply[Resp]{Value: value}
		if err != nil {
			out.Err = errkind.From(err)
		}
		return stream.MsgSend(&out, codec.Encoding{})
	}
}

// unregistered is part of the error of a call to a method that the server lacks.
const unregistered = "is not registered"

// IsUnregistered reports whether a call failed because the server lacks the method, as one of an
// earlier build does.
func IsUnregistered(err error) bool { return err != nil && strings.Contains(err.Error(), unregistered) }

// MemoryInUse returns the memory that large messages take, in bytes.
func (s *Server) MemoryInUse() int64 { return s.memory.inUse() }

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, method string) error {
	h, ok := s.methods[method]
	if !ok {
		return eris.Errorf("method %q %s", method, unregistered)
	}
	return h(stream)
}

// Serve accepts connections from listener until ctx ends, and returns when all of them
// are closed.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	srv := drpcserver.NewWithOptions(s, drpcserver.Options{
		Manager: managerOptions(),
		Log:     func(error) {},
	})
	err := srv.Serve(ctx, limitedListener{listener, &s.memory})
	if ctx.Err() != nil {
		return nil
	}
	return eris.Wrap(err, "serve hosts")
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
	}
}

// Dialer opens a connection to the host at address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)
