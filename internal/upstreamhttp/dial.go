package upstreamhttp

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/godwitbend/godwitbend/internal/netconn"
	"github.com/godwitbend/godwitbend/internal/rto"
)

const (
	// minDialTimeout and maxDialTimeout bound the connection attempt. Within a region a connect
	// takes a few milliseconds, and an unresponsive upstream must use up little of a request's
	// time. It takes longer if this host's own link is congested.
	minDialTimeout = 250 * time.Millisecond
	maxDialTimeout = time.Second
	// unackedTimeout is how long sent bytes or keep-alive probes may remain unacknowledged. A sound
	// upstream may be silent for over a second.
	unackedTimeout = 3 * time.Second
)

// TimedDialFunc connects to address within timeout.
type TimedDialFunc func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)

// DialTCP is the TimedDialFunc for TCP connections.
func DialTCP(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	return netconn.Dial(ctx, address, timeout, unackedTimeout)
}

// Dialer connects with timeouts by the duration of recent attempts. It is safe for concurrent use.
type Dialer struct {
	dial    TimedDialFunc
	timeout *rto.Estimator
}

// NewDialer returns a Dialer that connects with dial.
func NewDialer(dial TimedDialFunc) *Dialer {
	return &Dialer{dial: dial, timeout: rto.NewEstimator(minDialTimeout, maxDialTimeout)}
}

// Dial implements DialFunc.
func (d *Dialer) Dial(ctx context.Context, address string) (io.ReadWriteCloser, error) {
	started := time.Now()
	conn, err := d.dial(ctx, address, d.timeout.Timeout())
	var netErr net.Error
	switch {
	case err == nil:
		d.timeout.Succeeded(time.Since(started))
		return conn, nil
	case errors.As(err, &netErr) && netErr.Timeout() && ctx.Err() == nil:
		d.timeout.TimedOut()
	}
	return nil, err
}
