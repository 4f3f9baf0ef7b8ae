// Package tunnel carries a connection to an upstream through another host, for a host that has lost
// its own links to the upstreams.
package tunnel

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/rpc"
)

// method is the RPC method that opens a tunnel.
const method = "/fleet/Tunnel"

// maxChunkBytes bounds the data in one message.
const maxChunkBytes = 32 << 10

// openRequest asks for a connection to an upstream.
type openRequest struct {
	Address string `cbor:"1,keyasint"`
	// Timeout bounds the connection attempt.
	Timeout time.Duration `cbor:"2,keyasint"`
}

// openStatus is the result of an openRequest.
type openStatus uint8

const (
	statusConnected openStatus = iota
	// statusUnreachable: the upstream accepted no connection of the other host.
	statusUnreachable
	// statusUnavailable: the other host can't connect to the upstream for a reason of its own.
	statusUnavailable
)

type openReply struct {
	Status openStatus `cbor:"1,keyasint,omitempty"`
	Reason string     `cbor:"2,keyasint,omitempty"`
}

// chunk is a part of the data in one direction.
type chunk struct {
	Data []byte `cbor:"1,keyasint,omitempty"`
	// End reports that the upstream closed the connection in order, and Broken why it broke off.
	End    bool   `cbor:"2,keyasint,omitempty"`
	Broken string `cbor:"3,keyasint,omitempty"`
	// Kill tells, in a message without data, when the host that carries the tunnel ends; nil in others.
	Kill *kill `cbor:"4,keyasint,omitempty"`
	// KeepOpen asks, in a message without data, for a connection to the upstream that lasts though nothing is acknowledged.
	KeepOpen bool `cbor:"5,keyasint,omitempty"`
}

// kill holds the times, from when they were sent, between which a host is killed.
type kill struct {
	Earliest time.Duration `cbor:"1,keyasint"`
	Latest   time.Duration `cbor:"2,keyasint"`
}

// KillTimes are the times between which the host that carries a tunnel is killed.
type KillTimes struct{ Earliest, Latest time.Time }

// ErrUpstreamBroke is wrapped by errors of reads: the connection from the other host to the upstream broke. Other errors
// of reads mean that the other host ended the tunnel, or is lost.
var ErrUpstreamBroke = errors.New("the connection behind the tunnel broke")

// UnreachableError reports that the upstream accepted no connection of the other host.
type UnreachableError struct{ Reason string }

// Error implements error.
func (e *UnreachableError) Error() string {
	return "another host can't reach the upstream: " + e.Reason
}

// UnavailableError reports that the other host can't tell whether the upstream is reachable.
type UnavailableError struct{ Reason string }

// Error implements error.
func (e *UnavailableError) Error() string { return "no tunnel through the host: " + e.Reason }

// Dial connects to the upstream at address through the host at via. It returns an
// *UnreachableError if that host can't connect to the upstream, and another error if the host itself
// is of no help. Nothing was sent to the upstream then.
func Dial(ctx context.Context, client *rpc.Client, via, address string, timeout time.Duration) (io.ReadWriteCloser, error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	stream, err := open(streamCtx, client, via, &openRequest{Address: address, Timeout: timeout})
	if stopped := stop(); err == nil && !stopped {
		_ = stream.Close()
		err = eris.Wrapf(ctx.Err(), "open a tunnel through host %s", via)
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return &conn{stream: stream, cancel: cancel}, nil
}

func open(ctx context.Context, client *rpc.Client, via string, req *openRequest) (*rpc.Stream, error) {
	stream, err := client.OpenStream(ctx, via, method)
	if err != nil {
		return nil, err
	}
	var reply openReply
	if err = stream.Send(req); err == nil {
		err = stream.Receive(&reply)
	}
	switch {
	case err != nil:
		err = eris.Wrapf(err, "open a tunnel through host %s", via)
	case reply.Status == statusConnected:
		return stream, nil
	case reply.Status == statusUnreachable:
		err = &UnreachableError{reply.Reason}
	default:
		err = &UnavailableError{reply.Reason}
	}
	_ = stream.Close()
	return nil, err
}

// conn is the connection to an upstream, at the host that opened the tunnel.
type conn struct {
	stream *rpc.Stream
	// sending is held while a message is sent.
	sending sync.Mutex
	cancel  context.CancelFunc
	unread  []byte
	ended   error
	kill    atomic.Pointer[KillTimes]
}

// CarrierKill returns when the other host is killed; nil unless it has said so.
func (c *conn) CarrierKill() *KillTimes { return c.kill.Load() }

// Read implements io.Reader. It returns io.EOF only if the upstream closed the connection in order.
func (c *conn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		if c.ended != nil {
			return 0, c.ended
		}
		var next chunk
		err := c.stream.Receive(&next)
		switch {
		case errors.Is(err, io.EOF):
			c.ended = io.ErrUnexpectedEOF
		case err != nil:
			c.ended = eris.Wrap(err, "read from a tunnel")
		case next.Broken != "":
			c.ended = eris.Wrap(ErrUpstreamBroke, next.Broken)
		case next.End:
			c.ended = io.EOF
		case next.Kill != nil:
			now := time.Now()
			c.kill.Store(&KillTimes{Earliest: now.Add(next.Kill.Earliest), Latest: now.Add(next.Kill.Latest)})
		}
		c.unread = next.Data
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (written int, err error) {
	for len(p) > 0 {
		n := min(len(p), maxChunkBytes)
		if err := c.send(&chunk{Data: p[:n]}); err != nil {
			return written, eris.Wrap(err, "write to a tunnel")
		}
		written, p = written+n, p[n:]
	}
	return written, nil
}

// KeepOpen makes the connection from the other host to the upstream last until one of its ends, or the tunnel, is closed. The
// connection between the hosts has a timeout of its own.
func (c *conn) KeepOpen() {
	go func() { _ = c.send(&chunk{KeepOpen: true}) }() // the reader learns of a broken tunnel
}

func (c *conn) send(message *chunk) error {
	c.sending.Lock()
	defer c.sending.Unlock()
	return c.stream.Send(message)
}

// Close implements io.Closer. The other host closes the connection to the upstream.
func (c *conn) Close() error {
	c.cancel()
	return c.stream.Close()
}
