// Package netconn opens TCP connections that detect an unreachable peer by timeouts: a
// host behind a failed link or without power sends no reset.
package netconn

import (
	"context"
	"errors"
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

// setUserTimeout sets TCP_USER_TIMEOUT on a socket: the time for which sent bytes may stay unacknowledged, or
// unsent as the window of the peer is closed. 0 is the system's default.
func setUserTimeout(c syscall.RawConn, unackedTimeout time.Duration) error {
	return eris.Wrap(setOption(c, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds())), "set TCP_USER_TIMEOUT")
}

// setOption sets a TCP option of a socket.
func setOption(c syscall.RawConn, option, value int) error {
	var optionErr error
	err := c.Control(func(fd uintptr) { optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, option, value) })
	return errors.Join(err, optionErr)
}

// tcpInfo returns what the system knows of a connection that this process has not closed.
func tcpInfo(conn *net.TCPConn) (info *unix.TCPInfo, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, eris.Wrap(err, "get TCP_INFO")
	}
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return info, eris.Wrap(errors.Join(err, infoErr), "get TCP_INFO")
}

// withUserTimeout returns a function that sets the timeout on a new socket.
func withUserTimeout(unackedTimeout time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, unackedTimeout) }
}

// Dial connects to address. The connection fails when sent bytes stay unacknowledged
// for unackedTimeout.
func Dial(ctx context.Context, address string, timeout, unackedTimeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, Control: withUserTimeout(unackedTimeout), KeepAliveConfig: keepAlive(unackedTimeout)}
	conn, err := d.DialContext(ctx, "tcp4", address)
	return conn, eris.Wrap(err, "connect")
}

// Listen listens on address. An accepted connection fails when sent bytes stay
// unacknowledged for unackedTimeout.
func Listen(address string, unackedTimeout time.Duration) (*Listener, error) {
	c := net.ListenConfig{Control: withUserTimeout(unackedTimeout), KeepAliveConfig: keepAlive(unackedTimeout)}
	l, err := c.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	return &Listener{TCPListener: l.(*net.TCPListener), keepAlive: c.KeepAliveConfig}, nil
}
