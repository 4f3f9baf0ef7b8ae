package rpc

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/godwitbend/godwitbend/internal/codec"
)

const (
	dialTimeout      = time.Second
	idleConnLifetime = time.Minute
	idleConnsPerHost = 64
)

// Client calls methods of other hosts over pooled connections.
type Client struct {
	dial   Dialer
	pool   *drpcpool.Pool[string, drpcpool.Conn]
	memory messageMemory
}

// NewClient returns a client that connects with dial.
func NewClient(dial Dialer) *Client {
	options := drpcpool.Options{Expiration: idleConnLifetime, KeyCapacity: idleConnsPerHost}
	return &Client{dial: dial, pool: drpcpool.New[string, drpcpool.Conn](options)}
}

// Close closes the idle connections.
func (c *Client) Close() error {
	return c.pool.Close()
}

func (c *Client) connect(ctx context.Context, address string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to host %s", address)
	}
	options := drpcconn.Options{Manager: managerOptions()}
	return drpcconn.NewWithOptions(c.memory.newConn(conn), options), nil
}

// Call makes a unary call. An error returned by the method is an *errkind.Error. Any
// other error is a connection error or an invalid answer, after which the call may or may not
// have been served. Without an error the value is not nil.
func Call[Req, Resp any](ctx context.Context, c *Client, address, method string, req *Req) (*Resp, error) {
	conn := c.pool.Get(ctx, address, c.connect)
	defer func() { _ = conn.Close() }()
	var out reply[Resp]
	if err := conn.Invoke(ctx, method, codec.Encoding{}, req, &out); err != nil {
		return nil, eris.Wrapf(err, "call %s on host %s", method, address)
	}
	switch {
	case out.Err != nil:
		return out.Value, out.Err
	case out.Value == nil:
		return nil, eris.Errorf("host %s answered the call %s with neither a value nor an error", address, method)
	}
	return out.Value, nil
}
