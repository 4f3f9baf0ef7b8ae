package netconn

import (
	"errors"
	"net"
	"os"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// Listener is a TCP listener, see Listen.
type Listener struct {
	*net.TCPListener
	keepAlive net.KeepAliveConfig
}

// AcceptQueued accepts the connections in the queue, which Close would reset. It does not wait for more.
func (l *Listener) AcceptQueued() (queued []net.Conn, err error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, eris.Wrap(err, "accept queued connections")
	}
	controlErr := raw.Control(func(fd uintptr) {
		for err == nil {
			var conn net.Conn
			if conn, err = l.accept(int(fd)); err == nil {
				queued = append(queued, conn)
			}
		}
	})
	if errors.Is(err, unix.EAGAIN) { // the queue is empty
		err = nil
	}
	return queued, eris.Wrap(errors.Join(err, controlErr), "accept queued connections")
}

func (l *Listener) accept(listener int) (net.Conn, error) {
	fd, _, err := unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	for errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED) {
		fd, _, err = unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	}
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "")
	defer func() { _ = file.Close() }() // FileConn has a copy
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	if err := conn.(*net.TCPConn).SetKeepAliveConfig(l.keepAlive); err != nil {
		klog.V(2).InfoS("no keep-alive probes", "error", err.Error()) // the connection has ended
	}
	return conn, nil
}
