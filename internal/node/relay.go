package node

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/tunnel"
)

// relay connects to upstreams for other hosts. While this host stops it makes no new connections, as they would
// break when it ends.
type relay struct {
	dial     func(ctx context.Context, address string) (io.ReadWriteCloser, error)
	stopping func() bool
	open     atomic.Int64
}

// Dial implements tunnel.Server.Dial.
func (r *relay) Dial(ctx context.Context, address string) (io.ReadWriteCloser, error) {
	if r.stopping() {
		return nil, eris.Wrap(tunnel.ErrUnavailable, "the host is stopping")
	}
	conn, err := r.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	r.open.Add(1)
	return &relayedConn{ReadWriteCloser: conn, ended: sync.OnceFunc(func() { r.open.Add(-1) })}, nil
}

// Open returns the number of open connections.
func (r *relay) Open() int64 { return r.open.Load() }

type relayedConn struct {
	io.ReadWriteCloser
	ended func()
}

// Close implements io.Closer.
func (c *relayedConn) Close() error {
	c.ended()
	return c.ReadWriteCloser.Close()
}
