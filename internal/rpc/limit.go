package rpc

import (
	"math"
	"net"
	"runtime/debug"
	"sync"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

const (
	// maxMessageBytes bounds the size of one message between hosts.
	maxMessageBytes = 256 << 20
	// messageMemoryShare is the part (1 in N) of the process' soft memory limit that bounds it too.
	messageMemoryShare = 6
	// maxFrameBytes bounds a part of a message. Hosts send parts of 64 KB.
	maxFrameBytes = 1 << 20
	// maxVarintBits bounds the numbers in the header of a frame.
	maxVarintBits = 64
)

// messageLimit returns the largest size of a message that this process reads, in bytes.
func messageLimit() int64 {
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return maxMessageBytes
	}
	return min(maxMessageBytes, limit/messageMemoryShare)
}

// limitedListener accepts connections whose messages are limited.
type limitedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newLimitedConn(conn), nil
}

// limitedConn is a connection whose messages are limited in size: the reader of messages keeps what it has read of one,
// and of a frame whatever its length. Close may be called more than once.
type limitedConn struct {
	net.Conn
	meter frameMeter
	once  sync.Once
}

func newLimitedConn(conn net.Conn) *limitedConn {
	return &limitedConn{Conn: conn, meter: frameMeter{limit: messageLimit()}}
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if meterErr := c.meter.feed(p[:n]); meterErr != nil {
		klog.InfoS("connection of a host ended: invalid or too large message", "peer", c.RemoteAddr().String(), "error", meterErr.Error())
		return 0, meterErr
	}
	return n, err
}

// Close implements net.Conn.
func (c *limitedConn) Close() (err error) {
	c.once.Do(func() { err = c.Conn.Close() })
	return err
}

// frameMeter follows the frames of a connection. A frame has a control byte, three numbers (stream, message and length)
// and data; the lowest bit of the control byte marks the last frame of a message.
type frameMeter struct {
	// message is the size of the message that is being read, and limit the largest one allowed, in bytes.
	message, limit int64
	control        byte
	// numbers holds the numbers of the header, of which index are complete, after the control byte.
	numbers  [3]uint64
	index    int
	shift    uint
	inHeader bool
	id       [2]uint64
	// left is the rest of the data of the frame, in bytes.
	left int64
}

var (
	errFrameTooLarge   = eris.New("a part of a message exceeds the size limit")
	errMessageTooLarge = eris.New("a message exceeds the size limit")
	errInvalidFrame    = eris.New("the header of a part of a message is invalid")
)

// feed takes the next bytes of the connection.
func (m *frameMeter) feed(p []byte) error {
	for len(p) > 0 {
		switch {
		case m.left > 0:
			n := min(m.left, int64(len(p)))
			m.left, m.message, p = m.left-n, m.message+n, p[n:]
		case !m.inHeader:
			*m = frameMeter{message: m.message, limit: m.limit, id: m.id, control: p[0], inHeader: true}
			p = p[1:]
			continue
		default:
			if err := m.feedHeader(p[0]); err != nil {
				return err
			}
			p = p[1:]
		}
		if !m.inHeader && m.left == 0 && m.control&1 != 0 {
			m.message = 0
		}
	}
	return nil
}

// feedHeader takes the next byte of a number in the header.
func (m *frameMeter) feedHeader(b byte) error {
	if m.shift >= maxVarintBits {
		return errInvalidFrame
	}
	m.numbers[m.index] |= uint64(b&0x7f) << m.shift
	m.shift += 7
	if b&0x80 != 0 {
		return nil
	}
	m.index, m.shift = m.index+1, 0
	if m.index < len(m.numbers) {
		return nil
	}
	if id := [2]uint64(m.numbers[:2]); id != m.id {
		m.id, m.message = id, 0 // what was read of another message is dropped
	}
	if m.numbers[2] > maxFrameBytes {
		return errFrameTooLarge
	}
	if m.message+int64(m.numbers[2]) > m.limit {
		return errMessageTooLarge
	}
	m.inHeader, m.left = false, int64(m.numbers[2])
	return nil
}
