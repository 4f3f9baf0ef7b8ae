// Package netconn opens TCP connections that notice a peer which has fallen
// silent: a cut link or a host without power sends no reset.
package netconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveProbes find an idle connection
	// dead after about two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

// control limits how long sent bytes may stay unacknowledged.
func control(silence time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
		})
		if err != nil {
			return eris.Wrap(err, "set the user timeout of a connection")
		}
		return eris.Wrap(set, "set the user timeout of a connection")
	}
}

// Dial connects to address. A connection on which the peer acknowledges nothing
// for the time silence breaks.
func Dial(ctx context.Context, address string, timeout, silence time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, Control: control(silence), KeepAliveConfig: keepAlive()}
	conn, err := d.DialContext(ctx, "tcp4", address)
	return conn, eris.Wrap(err, "connect")
}

// Listen accepts connections that break when the peer acknowledges nothing for
// the time silence.
func Listen(address string, silence time.Duration) (net.Listener, error) {
	c := net.ListenConfig{Control: control(silence), KeepAliveConfig: keepAlive()}
	l, err := c.Listen(context.Background(), "tcp4", address)
	return l, eris.Wrap(err, "listen")
}
