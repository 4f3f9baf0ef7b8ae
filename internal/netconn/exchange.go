package netconn

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

const (
	// minWindowBytes is what a peer that has read nothing accepts at least.
	minWindowBytes = 2 << 10
	// brokenWriteTime bounds the wait for a write on a connection that has ended: it fails at once if the connection
	// broke, and may go on if the peer has closed its sending direction only.
	brokenWriteTime = 500 * time.Millisecond
)

// exchangeConn is a TCP connection that carries one request and its answer. No write follows one that failed.
type exchangeConn struct {
	net.Conn
	tcp *net.TCPConn
	// latest is the write that was begun last; nil before the request. requestBytes is the size of all.
	latest       atomic.Pointer[write]
	requestBytes atomic.Int64
	// answerBegun reports that a byte was read after the request was begun, and windowMayClose that AllowClosedWindow was called.
	answerBegun, windowMayClose atomic.Bool
}

// write is a call of Write.
type write struct {
	// done is closed when it has ended with err.
	done chan struct{}
	err  error
}

// ForExchange returns conn for one request and its answer, if it is a TCP connection. Once the answer has begun, the peer
// may leave the rest of the request unread: it counts as unreachable if it acknowledges no keep-alive probe, not if its
// window is closed. Read returns io.EOF only if the peer closed the connection in order.
func ForExchange(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	return &exchangeConn{Conn: conn, tcp: tcp}
}

// KeepOpen is the function KeepOpen for the connection.
func (c *exchangeConn) KeepOpen() { KeepOpen(c.tcp) }

// Unacknowledged is the function Unacknowledged for the connection.
func (c *exchangeConn) Unacknowledged() time.Duration { return Unacknowledged(c.tcp) }

// CloseWrite ends the sending direction.
func (c *exchangeConn) CloseWrite() error { return c.tcp.CloseWrite() }

// Write implements net.Conn.
func (c *exchangeConn) Write(p []byte) (n int, err error) {
	current := &write{done: make(chan struct{})}
	c.requestBytes.Add(int64(len(p)))
	c.latest.Store(current)
	c.allowClosedWindow() // the answer may have begun between two writes
	n, current.err = c.Conn.Write(p)
	close(current.done)
	return n, current.err
}

// Read implements net.Conn.
func (c *exchangeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	latest := c.latest.Load()
	if latest == nil {
		return n, err
	}
	if n > 0 && !c.answerBegun.Load() {
		c.answerBegun.Store(true)
		c.allowClosedWindow()
	}
	if errors.Is(err, io.EOF) {
		if broken := c.breakage(latest); broken != nil {
			err = broken
		}
	}
	return n, err
}

// allowClosedWindow lets the peer leave the request unread once the answer has begun. A shorter request fits into its window.
func (c *exchangeConn) allowClosedWindow() {
	if c.answerBegun.Load() && c.requestBytes.Load() > minWindowBytes && c.windowMayClose.CompareAndSwap(false, true) {
		AllowClosedWindow(c.tcp)
	}
}

// AllowClosedWindow lets the peer leave what it was sent unread. The timeout of unacknowledged bytes no longer applies;
// keep-alive probes still detect a peer that is unreachable.
func AllowClosedWindow(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		err = setUserTimeout(raw, 0)
	}
	if err != nil {
		klog.V(2).InfoS("timeout of unacknowledged bytes not lifted", "error", err.Error()) // the connection has ended
	}
}

// breakage returns why the connection, which has ended, broke during the write, or nil if it did not. The system reports a
// reset or a timeout once, to whichever of a read and a write is first, and the end of the connection afterwards.
func (c *exchangeConn) breakage(w *write) error {
	select {
	case <-w.done:
	case <-time.After(brokenWriteTime):
		if isClosed(c.tcp) {
			return syscall.ECONNRESET
		}
		return nil
	}
	if errors.Is(w.err, syscall.EPIPE) { // the peer had closed the connection in order before
		return nil
	}
	return w.err
}

// isClosed reports whether both directions of a connection that this process has not closed are closed, as after a reset
// or a timeout.
func isClosed(conn *net.TCPConn) bool {
	info, err := tcpInfo(conn)
	return err == nil && info.State == unix.BPF_TCP_CLOSE
}
