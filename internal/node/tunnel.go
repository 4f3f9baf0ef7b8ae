package node

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/gateway"
	"github.com/godwitbend/godwitbend/internal/netconn"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/tunnel"
)

const (
	// tunnelDialTimeout bounds the connection to another host that carries one to an upstream, and
	// tunnelUnackedTimeout is how long bytes sent on it may stay unacknowledged.
	tunnelDialTimeout    = 120 * time.Millisecond
	tunnelUnackedTimeout = 2 * time.Second
)

// carrierKey is the key of a *net.Conn in which the connection to the other host is stored.
type carrierKey struct{}

// tunnelDialer returns a function that opens tunnels through other hosts.
func tunnelDialer(scope tally.Scope) func(ctx context.Context, via, address string, timeout time.Duration) (io.ReadWriteCloser, error) {
	client := rpc.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := netconn.Dial(ctx, address, tunnelDialTimeout, tunnelUnackedTimeout)
		if carrier, ok := ctx.Value(carrierKey{}).(*net.Conn); ok && err == nil {
			*carrier = conn
		}
		return conn, err
	})
	return func(ctx context.Context, via, address string, timeout time.Duration) (io.ReadWriteCloser, error) {
		var carrier net.Conn
		conn, err := tunnel.Dial(context.WithValue(ctx, carrierKey{}, &carrier), client, via, address, timeout)
		if err != nil {
			return nil, err
		}
		return &tunnelConn{ReadWriteCloser: conn, carrier: carrier, via: via, upstream: address, opened: time.Now(), scope: scope}, nil
	}
}

// tunnelConn is a connection to an upstream through another host.
type tunnelConn struct {
	io.ReadWriteCloser
	// carrier is the connection to that host, and answerBegun reports that a byte of the answer was read. Only the
	// reader uses it.
	carrier       net.Conn
	answerBegun   bool
	via, upstream string
	opened        time.Time
	scope         tally.Scope
	// ended reports that this host has closed the tunnel, or that its end is logged.
	ended atomic.Bool
}

// Via returns the address of the other host.
func (c *tunnelConn) Via() string { return c.via }

// CarrierKill returns when the other host is killed; nil unless it has said so.
func (c *tunnelConn) CarrierKill() *tunnel.KillTimes {
	if carrier, ok := c.ReadWriteCloser.(gateway.StoppingCarrier); ok {
		return carrier.CarrierKill()
	}
	return nil
}

// KeepOpen makes the connections to the other host and from there to the upstream last though nothing is acknowledged.
func (c *tunnelConn) KeepOpen() {
	netconn.KeepOpen(c.carrier)
	netconn.KeepOpen(c.ReadWriteCloser)
}

// Read implements io.Reader. It counts and logs why the tunnel broke, unless this host closed it. Once the answer has
// begun, the upstream may leave the rest of the request unread.
func (c *tunnelConn) Read(p []byte) (int, error) {
	n, err := c.ReadWriteCloser.Read(p)
	if n > 0 && !c.answerBegun {
		c.answerBegun = true
		netconn.AllowClosedWindow(c.carrier)
	}
	if err != nil && !errors.Is(err, io.EOF) && c.ended.CompareAndSwap(false, true) {
		c.countBroken(err)
	}
	return n, err
}

// Close implements io.Closer.
func (c *tunnelConn) Close() error {
	c.ended.Store(true)
	return c.ReadWriteCloser.Close()
}

func (c *tunnelConn) countBroken(err error) {
	by := "host"
	if errors.Is(err, tunnel.ErrUpstreamBroke) {
		by = "upstream"
	}
	c.scope.Tagged(map[string]string{"by": by}).Counter("tunnels_broken").Inc(1)
	klog.InfoS("tunnel to an upstream broke", "upstream_address", c.upstream, "via", c.via, "by", by,
		"open_ms", time.Since(c.opened).Milliseconds(), "error", err.Error())
}
