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
	// maxTimerDelay is how late the timeout of an attempt may fire. The process did not run if it is later, and the
	// connection may have been established in time.
	maxTimerDelay = 50 * time.Millisecond
)

// UnackedTimeout is how long sent bytes or keep-alive probes may remain unacknowledged, unless the connection is kept open. A sound
// upstream may be silent for over a second.
const UnackedTimeout = 3 * time.Second

// TimedDialFunc connects to address within timeout.
type TimedDialFunc func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)

// DialTCP is the TimedDialFunc for TCP connections.
func DialTCP(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	return netconn.Dial(ctx, address, timeout, UnackedTimeout)
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

// Dial implements DialFunc. An attempt that timed out while the process did not run is repeated once.
func (d *Dialer) Dial(ctx context.Context, address string) (io.ReadWriteCloser, error) {
	conn, stalled, err := d.attempt(ctx, address)
	if stalled {
		conn, _, err = d.attempt(ctx, address)
	}
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// attempt tries to connect once. stalled reports that it timed out without telling anything of the upstream.
func (d *Dialer) attempt(ctx context.Context, address string) (conn net.Conn, stalled bool, err error) {
	started, timeout := time.Now(), d.timeout.Timeout()
	conn, err = d.dial(ctx, address, timeout)
	took := time.Since(started)
	var netErr net.Error
	switch {
	case err == nil:
		d.timeout.Succeeded(took)
	case !errors.As(err, &netErr) || !netErr.Timeout() || ctx.Err() != nil:
	case took > timeout+maxTimerDelay:
		stalled = true
	default:
		d.timeout.TimedOut()
	}
	return conn, stalled, err
}
