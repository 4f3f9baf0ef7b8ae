package netconn

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/klog/v2"
)

const (
	// minWindowBytes is what a peer that has read nothing accepts at least.
	minWindowBytes = 2 << 10
	// brokenWriteTime bounds the wait for a write on a connection that has ended: it fails at once if the connection
	// broke, and may go on if the peer has closed its sending direction only.
	brokenWriteTime = 500 * time.Millisecond
)

// exchangeConn is a TCP connection that carries one request and its answer. The request is sent with one write.
type exchangeConn struct {
	net.Conn
	tcp *net.TCPConn
	// request is the write of the request; nil until it begins.
	request atomic.Pointer[write]
	// answerBegun reports that a byte was read after the request was begun. Only the reader uses it.
	answerBegun bool
}

// write is a call of Write.
type write struct {
	size int
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

// CloseWrite ends the sending direction.
func (c *exchangeConn) CloseWrite() error { return c.tcp.CloseWrite() }

// Write implements net.Conn.
func (c *exchangeConn) Write(p []byte) (n int, err error) {
	request := &write{size: len(p), done: make(chan struct{})}
	c.request.Store(request)
	n, request.err = c.Conn.Write(p)
	close(request.done)
	return n, request.err
}

// Read implements net.Conn.
func (c *exchangeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	request := c.request.Load()
	if request == nil {
		return n, err
	}
	if n > 0 && !c.answerBegun {
		c.answerBegun = true
		c.allowClosedWindow(request)
	}
	if errors.Is(err, io.EOF) {
		if broken := request.breakage(); broken != nil {
			err = broken
		}
	}
	return n, err
}

// allowClosedWindow lets the peer leave what it was sent unread.
func (c *exchangeConn) allowClosedWindow(request *write) {
	if request.size <= minWindowBytes {
		return
	}
	raw, err := c.tcp.SyscallConn()
	if err == nil {
		err = setUserTimeout(raw, 0)
	}
	if err != nil {
		klog.V(2).InfoS("timeout of unacknowledged bytes not lifted", "error", err.Error()) // the connection has ended
	}
}

// breakage returns why the connection, which has ended, broke during the write, or nil if it did not. The system reports a
// reset or a timeout once, to whichever of a read and a write is first, and the end of the connection afterwards.
func (w *write) breakage() error {
	select {
	case <-w.done:
	case <-time.After(brokenWriteTime):
		return nil
	}
	if errors.Is(w.err, syscall.EPIPE) { // the peer had closed the connection in order before
		return nil
	}
	return w.err
}
