// Package netconn opens TCP connections that detect an unreachable peer by timeouts: a
// host behind a failed link or without power sends no reset.
package netconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// keepAliveIdle is the time without data after which a connection is probed, and
// keepAliveInterval the time between probes. Both are whole seconds, as the system has no finer unit.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
)

// keepAlive closes an idle connection to an unreachable peer after unackedTimeout, or two seconds if
// that is longer, so that one that waits for data fails as soon as one that has sent some.
func keepAlive(unackedTimeout time.Duration) net.KeepAliveConfig {
	probes := (unackedTimeout - keepAliveIdle + keepAliveInterval - 1) / keepAliveInterval
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: max(int(probes), 1)}
}

// setUserTimeout returns a function that sets TCP_USER_TIMEOUT on a socket: the time for
// which sent bytes may stay unacknowledged.
func setUserTimeout(unackedTimeout time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		})
		if err != nil {
			return eris.Wrap(err, "set TCP_USER_TIMEOUT")
		}
		return eris.Wrap(optionErr, "set TCP_USER_TIMEOUT")
	}
}

// Dial connects to address. The connection fails when sent bytes stay unacknowledged
// for unackedTimeout.
func Dial(ctx context.Context, address string, timeout, unackedTimeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, Control: setUserTimeout(unackedTimeout), KeepAliveConfig: keepAlive(unackedTimeout)}
	conn, err := d.DialContext(ctx, "tcp4", address)
	return conn, eris.Wrap(err, "connect")
}

// Listen listens on address. An accepted connection fails when sent bytes stay
// unacknowledged for unackedTimeout.
func Listen(address string, unackedTimeout time.Duration) (net.Listener, error) {
	c := net.ListenConfig{Control: setUserTimeout(unackedTimeout), KeepAliveConfig: keepAlive(unackedTimeout)}
	l, err := c.Listen(context.Background(), "tcp4", address)
	return l, eris.Wrap(err, "listen")
}
