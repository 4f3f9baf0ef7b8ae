package rpc

import (
	"math"
	"net"
	"runtime/debug"
	"sync"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/ingress"
	"github.com/godwitbend/godwitbend/internal/membudget"
)

const (
	// maxMessageBytes bounds the size of one message between hosts.
	maxMessageBytes = 256 << 20
	// messageMemoryShare is the part (1 in N) of the process' soft memory limit that bounds it too.
	messageMemoryShare = 6
	// maxFrameBytes bounds a part of a message. Hosts send parts of 64 KB.
	maxFrameBytes = 128 << 10
	// smallMessageBytes is the size up to which messages never wait for memory.
	smallMessageBytes = 64 << 10
	// chunkBytes is the size of the buffers in which a larger message is held until it is whole.
	chunkBytes = 32 << 10
	// otherMessages is the part (1 in N) of the limit of one message that all but the largest one share.
	otherMessages = 2
	// smallPacketRun is the number of small messages after which the reader of messages gives up a large buffer.
	smallPacketRun = 12
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

// messageMemory is the memory of the messages that a server or client receives. Its limits are those of the process at
// the first connection.
type messageMemory struct {
	once   sync.Once
	limit  int64
	budget *membudget.Budget
}

// newConn returns a connection whose messages are limited.
func (m *messageMemory) newConn(conn net.Conn) *limitedConn {
	m.prepare()
	c := &limitedConn{Conn: conn, meter: frameMeter{limit: m.limit}, allowed: ingress.HoldingOf(conn), closed: make(chan struct{})}
	c.hold = m.budget.EvictableHold(c.evict)
	return c
}

// inUse returns the memory that messages take beyond the allowance of each, in bytes.
func (m *messageMemory) inUse() int64 {
	m.prepare()
	return m.budget.InUse()
}

// prepare sets the limits.
func (m *messageMemory) prepare() {
	m.once.Do(func() {
		m.limit = messageLimit()
		largest := whileJoined(m.limit)
		m.budget = membudget.New(largest+m.limit/otherMessages, largest, whileJoined(smallMessageBytes))
	})
}

// limitedListener accepts connections whose messages are limited.
type limitedListener struct {
	net.Listener
	memory *messageMemory
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.memory.newConn(conn), nil
}

// whileJoined returns the memory for a message while its reader joins the parts, which keeps the buffer that is too small
// and one that is a quarter larger than the parts.
func whileJoined(message int64) int64 { return message + message/4 + message }

// chunk is a part of a message that is not whole yet.
type chunk struct {
	data   [chunkBytes]byte
	length int
}

// freeChunks holds chunks for reuse: those of messages without end would be garbage of many times their memory.
var freeChunks = sync.Pool{New: func() any { return new(chunk) }}

// limitedConn is a connection whose messages are limited in size and share memory with those of others. The reader of
// messages keeps what it has read of one in buffers that it copies as they grow, so it gets a large one when that is whole.
// Close may be called more than once.
type limitedConn struct {
	net.Conn
	meter frameMeter
	// chunks holds the rest of a large message, of which passedOn bytes of the first one were read, whole once the message is.
	chunks   []*chunk
	passedOn int
	whole    bool
	hold     *membudget.Hold
	// allowed is the memory of small messages, which hold does not count.
	allowed ingress.Holding
	closed  chan struct{}
	once    sync.Once
}

// Read implements net.Conn. While a large message finds no memory it waits.
func (c *limitedConn) Read(p []byte) (int, error) {
	for !c.whole {
		if c.meter.message <= smallMessageBytes {
			n, err := c.receive(p)
			if n > 0 || err != nil || len(p) == 0 {
				return n, err
			}
			continue
		}
		if err := c.receiveChunk(); err != nil {
			return 0, err
		}
	}
	first := c.chunks[0]
	n := copy(p, first.data[c.passedOn:first.length])
	if c.passedOn += n; c.passedOn == first.length {
		freeChunks.Put(first)
		c.chunks, c.passedOn = c.chunks[1:], 0
	}
	c.whole = len(c.chunks) > 0
	return n, nil
}

// receiveChunk receives more of a large message.
func (c *limitedConn) receiveChunk() error {
	last := len(c.chunks) - 1
	if last < 0 || c.chunks[last].length == chunkBytes {
		next := freeChunks.Get().(*chunk)
		next.length = 0
		c.chunks, last = append(c.chunks, next), last+1
	}
	to := c.chunks[last]
	n, err := c.receive(to.data[to.length:])
	to.length += n
	// A chunk is smaller than smallMessageBytes, so that it doesn't hold that much of the next message.
	c.whole = c.meter.message <= smallMessageBytes
	if err != nil { // the connection is read no more
		for _, unused := range c.chunks {
			freeChunks.Put(unused)
		}
		c.chunks, c.whole = nil, false
	}
	return err
}

// receive receives bytes from the connection and takes the memory that they need.
func (c *limitedConn) receive(p []byte) (int, error) {
	if c.meter.joined > 0 { // the reader has passed the message on
		c.meter.joined = 0
		c.hold.SetBusy(false)
		if err := c.takeMemory(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if err != nil && n == 0 {
		return 0, err
	}
	if meterErr := c.meter.feed(p[:n]); meterErr != nil {
		klog.InfoS("connection of a host ended: invalid or too large message", "peer", c.RemoteAddr().String(), "error", meterErr.Error())
		return 0, meterErr
	}
	c.hold.Received(n)
	c.hold.SetBusy(c.meter.joined > 0)
	if c.meter.joined > 0 {
		c.allowed.Complete()
	}
	return n, c.takeMemory() // a connection returns its own error again
}

func (c *limitedConn) takeMemory() error {
	memory := c.meter.memory()
	if !c.allowed.Set(min(memory, whileJoined(smallMessageBytes))) {
		return errNoMemory
	}
	return eris.Wrap(c.hold.Resize(c.closed, memory), "memory for a message")
}

// evict closes the connection, whose message keeps memory that others wait for.
func (c *limitedConn) evict() {
	klog.InfoS("connection of a host ended: others wait for the memory of its message, which arrives too slowly", "peer", c.RemoteAddr().String())
	go func() { _ = c.Close() }()
}

// Close implements net.Conn.
func (c *limitedConn) Close() (err error) {
	c.once.Do(func() {
		close(c.closed)
		c.hold.Release()
		err = c.Conn.Close()
	})
	return err
}

var (
	errNoMemory        = eris.New("the connections of hosts hold all of the memory for them")
	errFrameTooLarge   = eris.New("a part of a message exceeds the size limit")
	errMessageTooLarge = eris.New("a message exceeds the size limit")
	errInvalidFrame    = eris.New("the header of a part of a message is invalid")
)
