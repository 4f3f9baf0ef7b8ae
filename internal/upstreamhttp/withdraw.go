package upstreamhttp

import (
	"errors"
	"io"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/godwitbend/godwitbend/internal/netconn"
)

// withdrawTimeout bounds the time for which a withdrawn exchange waits for the end of the
// connection. An upstream that notices the half-close ends it within a round trip; the others must
// be freed soon, as they may still work on the request.
const withdrawTimeout = 100 * time.Millisecond

// halfCloser is a connection whose sending direction can be closed by itself.
type halfCloser interface {
	CloseWrite() error
	SetReadDeadline(t time.Time) error
}

// withdrawableConn is a connection on which a request can be withdrawn, so that it shows whether the
// upstream had begun to answer.
type withdrawableConn struct {
	io.ReadWriteCloser
	// sent reports that the whole request was written, and received that a byte arrived.
	sent     atomic.Bool
	received bool
	// keptOpen reports that the timeouts of the connection are lifted.
	keptOpen atomic.Bool
	// closesAtOnce makes a withdrawal close the connection.
	closesAtOnce bool
}

// withdraw ends the sending direction, and the connection after withdrawTimeout. A connection that
// can't be half-closed is closed.
func (c *withdrawableConn) withdraw() {
	conn, ok := c.ReadWriteCloser.(halfCloser)
	if c.closesAtOnce || !ok || conn.SetReadDeadline(time.Now().Add(withdrawTimeout)) != nil || conn.CloseWrite() != nil {
		_ = c.Close()
	}
}

// keepOpen lets the upstream acknowledge nothing for any time.
func (c *withdrawableConn) keepOpen() {
	if c.keptOpen.CompareAndSwap(false, true) {
		netconn.KeepOpen(c.ReadWriteCloser)
	}
}

func (c *withdrawableConn) send(parts ...[]byte) {
	for _, part := range parts {
		if _, err := c.Write(part); err != nil {
			return
		}
	}
	c.sent.Store(true)
}

// Read implements io.Reader.
func (c *withdrawableConn) Read(p []byte) (int, error) {
	n, err := c.ReadWriteCloser.Read(p)
	c.received = c.received || n > 0
	return n, err
}

// endedUnanswered reports whether the exchange failed with err because the upstream ended the
// connection before it sent anything. After a timeout or a close by this host that is not known.
func (c *withdrawableConn) endedUnanswered(err error) bool {
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
	return c.sent.Load() && !c.received && ended
}
