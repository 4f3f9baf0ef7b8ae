package rpc

import (
	"context"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcpool"

	"github.com/godwitbend/godwitbend/internal/codec"
)

// Stream is a stream of messages between two hosts, in both directions.
type Stream struct {
	conn   drpcpool.Conn // nil at the server
	stream drpc.Stream
}

// OpenStream opens a stream of messages to method of the host at address, on a connection of its
// own. It ends with ctx.
func (c *Client) OpenStream(ctx context.Context, address, method string) (*Stream, error) {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := conn.NewStream(ctx, method, codec.Encoding{})
	if err != nil {
		_ = conn.Close()
		return nil, eris.Wrapf(err, "open stream %s to host %s", method, address)
	}
	return &Stream{conn: conn, stream: stream}, nil
}

// HandleStream registers a method that calls fn with each message until the client closes
// the stream.
func HandleStream[Msg any](s *Server, method string, fn func(*Msg)) {
	HandleDuplex(s, method, func(stream *Stream) error {
		for {
			msg := new(Msg)
			if err := stream.Receive(msg); err != nil {
				return err
			}
			fn(msg)
		}
	})
}

// HandleDuplex registers a method that sends and receives messages. The stream ends when fn returns.
func HandleDuplex(s *Server, method string, fn func(*Stream) error) {
	s.methods[method] = func(stream drpc.Stream) error { return fn(&Stream{stream: stream}) }
}

// Send sends one message.
func (s *Stream) Send(msg any) error {
	return s.stream.MsgSend(msg, codec.Encoding{})
}

// Receive receives one message. It returns io.EOF after the last one of the other host.
func (s *Stream) Receive(msg any) error {
	return s.stream.MsgRecv(msg, codec.Encoding{})
}

// Context returns a context that ends with the stream.
func (s *Stream) Context() context.Context { return s.stream.Context() }

// Close closes the stream and its connection. Only clients call it.
func (s *Stream) Close() error {
	return s.conn.Close()
}
