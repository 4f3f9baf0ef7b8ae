package netconn

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// brokenWriteTime bounds the wait for a write on a connection that has ended: it fails at once if the connection
// broke, and may go on if the peer has closed its sending direction only.
const brokenWriteTime = 500 * time.Millisecond

// exchangeConn is a TCP connection that carries one request and its answer. The request is sent with one write.
type exchangeConn struct {
	net.Conn
	tcp *net.TCPConn
	// request is the write of the request; nil until it begins.
	request atomic.Pointer[write]
}

// write is a call of Write.
type write struct {
	// done is closed when it has ended with err.
	done chan struct{}
	err  error
}

// ForExchange returns conn for one request and its answer, if it is a TCP connection. Read returns io.EOF only if the peer
// closed the connection in order.
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
	request := &write{done: make(chan struct{})}
	c.request.Store(request)
	n, request.err = c.Conn.Write(p)
	close(request.done)
	return n, request.err
}

// Read implements net.Conn.
func (c *exchangeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if request := c.request.Load(); request != nil && errors.Is(err, io.EOF) {
		if broken := request.breakage(); broken != nil {
			err = broken
		}
	}
	return n, err
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
