package harness

import (
	"errors"
	"net"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// HoldSegments drops all segments that arrive for conn, as a link does that holds packets: its peer gets no acknowledgement of
// bytes and probes until release is called, and resends then. Data that this end sends still arrives.
func HoldSegments(conn *net.TCPConn) (release func() error, err error) {
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	err = control(conn, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	})
	if err != nil {
		return nil, eris.Wrap(err, "hold the segments of a connection")
	}
	return func() error {
		err := control(conn, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
		return eris.Wrap(err, "release the segments of a connection")
	}, nil
}

func control(conn syscall.Conn, fn func(fd int) error) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) { optionErr = fn(int(fd)) })
	return errors.Join(err, optionErr)
}
