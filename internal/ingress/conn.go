package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// headSlack is what a head may exceed its limit by, as the limit may or may not include the request line and line ends.
	headSlack = 4 << 10
	// largeBodyBytes is the size of a body from which on the connection has a wide receive buffer.
	largeBodyBytes = 64 << 10
	// unmeteredBytes is what the HTTP server may have read of the next request behind a body.
	unmeteredBytes = 4 << 10
)

// Limits bounds what a client may send, and for how long it may take. A value that is 0 sets no bound.
type Limits struct {
	// HeaderBytes bounds the head of a request.
	HeaderBytes int64
	// HeaderTimeout is the time from the first byte of a head to its end, and IdleTimeout the time without a request.
	HeaderTimeout, IdleTimeout time.Duration
}

// conn is the connection of a client.
type conn struct {
	net.Conn
	account  *account
	listener *Listener

	mu    sync.Mutex
	phase phase
	// since is when the phase began, and deadline the one that the HTTP server or the handler has set.
	since, deadline time.Time
	head            headMeter
	// wideBytes is what may wait in a receive buffer that was widened.
	wideBytes int64
	// headBytes is what the client holds for its head, and bodyBytes for the body.
	headBytes, bodyBytes int64
	// bodyLeft is what is left of the body to receive; negative if its length is not known.
	bodyLeft int64
	// overread reports that the server may have read more than the body.
	overread bool
	// refused reports that the client got the answer to a head that is not read on, and lingered that the connection is being closed.
	refused, lingered bool
	// evicted is set without mu, as a client may evict another one while its own mu is held.
	evicted atomic.Bool
	// pending holds what was received and not passed on.
	pending []byte
}

// errRefused ends the reading of a client that was refused. It has the form of errors that the HTTP server doesn't answer.
var errRefused = &net.OpError{Op: "read", Err: errors.New("the client was refused")}

// past is a deadline that is over.
var past = time.Unix(1, 0)

// evict ends the client. The goroutine that serves it finds out when it reads.
func (c *conn) evict() {
	c.evicted.Store(true)
	_ = c.Conn.SetReadDeadline(past) // fails only once the connection is closed
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn. While no request is being served the limits decide.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.applyDeadline()
}

func (c *conn) applyDeadline() error {
	limits := c.listener.limits()
	deadline := c.deadline
	switch {
	case c.phase == phaseHead && limits.HeaderTimeout > 0:
		deadline = c.since.Add(limits.HeaderTimeout)
	case (c.phase == phaseIdle || c.phase == phaseNew) && limits.IdleTimeout > 0:
		deadline = c.since.Add(limits.IdleTimeout)
	}
	err := c.Conn.SetReadDeadline(deadline)
	if c.evicted.Load() {
		return c.Conn.SetReadDeadline(past)
	}
	return err
}

func (c *conn) enter(p phase, now time.Time) {
	c.phase, c.since = p, now
	c.account.enter(p, now)
}

// receiveBufferFactor is the most that may wait in a receive buffer, in halves of its size.
const receiveBufferFactor = 3

// setReceiveBuffer bounds what the system keeps of the connection that is not read.
func (c *conn) setReceiveBuffer(bytes int) {
	inner := c.Conn
	if encrypted, ok := inner.(interface{ NetConn() net.Conn }); ok {
		inner = encrypted.NetConn()
	}
	tcp, ok := inner.(interface{ SetReadBuffer(bytes int) error })
	if !ok {
		return
	}
	if err := tcp.SetReadBuffer(bytes); err != nil {
		klog.V(2).InfoS("receive buffer of a client not set", "error", err.Error()) // the connection has ended
	}
}

// widen makes the receive buffer that of a connection on which much is sent, if there is room. The caller holds mu.
func (c *conn) widen(now time.Time) {
	size := c.account.budget.options.ReceiveBuffer
	bytes := int64(size) * receiveBufferFactor / 2
	if c.wideBytes > 0 || !c.account.resize(c.account.held()+bytes, now) {
		return
	}
	c.wideBytes = bytes
	c.setReceiveBuffer(size)
}

// CloseWrite ends the sending direction.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	lingers := c.refused && !c.lingered
	c.lingered = true
	c.mu.Unlock()
	if lingers {
		c.account.resize(c.base(), time.Now())
		go c.linger()
		return nil
	}
	return c.end()
}

func (c *conn) end() error {
	err := c.Conn.Close()
	c.account.close()
	return err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := c.receive(p)
	now := time.Now()
	c.mu.Lock()
	refusal := c.take(p, &n, &err, now)
	c.mu.Unlock()
	if refusal != nil {
		c.refuse(refusal)
		return 0, errRefused
	}
	return n, err
}

// receive returns bytes that are pending, or reads from the connection, but not beyond a body whose length is known.
func (c *conn) receive(p []byte) (int, error) {
	c.mu.Lock()
	if c.phase == phaseBody && c.bodyLeft > 0 {
		p = p[:min(int64(len(p)), c.bodyLeft)]
	}
	if len(c.pending) > 0 {
		n := copy(p, c.pending)
		if c.pending = c.pending[n:]; len(c.pending) == 0 {
			c.pending = nil
		}
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(p)
}

// take accounts for n bytes that were received. It returns a refusal if the client may send no more.
func (c *conn) take(p []byte, n *int, err *error, now time.Time) *refusal {
	if c.refused {
		*n, *err = 0, errRefused
		return nil
	}
	if *n > 0 {
		c.account.received(*n, now)
	}
	switch c.phase {
	case phaseNew, phaseIdle:
		if c.account.class == Hosts && *n > 0 {
			c.enter(phaseHead, now)
			return nil
		}
		if *n == 0 {
			return c.takeSilence(*err)
		}
		c.enter(phaseHead, now)
		_ = c.applyDeadline()
		return c.takeHead(p, n, now)
	case phaseHead:
		if c.account.class == Hosts {
			return nil
		}
		if *n == 0 {
			return c.takeSilence(*err)
		}
		return c.takeHead(p, n, now)
	case phaseBody:
		if c.overread = c.overread || c.bodyLeft == 0; c.bodyLeft > 0 {
			c.bodyLeft -= int64(*n)
		}
	}
	return nil
}

// takeSilence returns the refusal of a client that has sent nothing more in time.
func (c *conn) takeSilence(err error) *refusal {
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		return nil
	}
	switch {
	case c.phase != phaseHead:
		return nil
	case c.evicted.Load():
		return c.refuseForMemory()
	}
	return &refusal{reasonHeaderTimeout, http.StatusRequestTimeout, "the head of the request did not arrive in time", 0}
}

// takeHead accounts for a part of the head, and keeps what follows it.
func (c *conn) takeHead(p []byte, n *int, now time.Time) *refusal {
	if c.listener.opaque {
		c.head.bytes += int64(*n)
		return c.resizeHead(opaqueFactor*c.head.bytes, now)
	}
	if c.head.ended { // the head of the request after the next
		return nil
	}
	own := c.head.feed(p[:*n])
	if limit := c.listener.limits().HeaderBytes; limit > 0 && c.head.bytes > limit+headSlack {
		return &refusal{reasonHeaderBytes, http.StatusRequestHeaderFieldsTooLarge, "the head of the request is too large", 0}
	}
	if own < *n {
		c.pending = append(append([]byte(nil), p[own:*n]...), c.pending...)
		*n = own
	}
	return c.resizeHead(c.head.memory(), now)
}

func (c *conn) resizeHead(bytes int64, now time.Time) *refusal {
	if !c.account.resize(c.base()+max(bytes, c.headBytes)+c.bodyBytes, now) {
		return c.refuseForMemory()
	}
	c.headBytes = max(bytes, c.headBytes)
	return nil
}

func (c *conn) base() int64 { return c.listener.connectionBytes() + c.wideBytes }

// beginRequest records that the HTTP server has read the head of a request.
func (c *conn) beginRequest(r *http.Request) (ok bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyLeft = r.ContentLength
	c.overread = r.ContentLength < 0
	if r.ContentLength == 0 {
		c.enter(phaseBusy, now)
	} else {
		c.enter(phaseBody, now)
	}
	_ = c.applyDeadline()
	c.headBytes = headMemory(r)
	return c.account.resize(c.base()+c.headBytes, now)
}

// endRequest records that the handler has answered.
func (c *conn) endRequest() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyBytes = 0
	c.account.resize(c.base()+c.headBytes, now)
	c.enter(phaseDraining, now)
}

// awaitRequest records that the connection is kept for another request.
func (c *conn) awaitRequest() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(phaseIdle, now)
	c.head, c.headBytes = headMeter{}, 0
	if c.overread {
		c.headBytes = opaqueFactor * unmeteredBytes
	}
	if !c.account.resize(c.base()+c.headBytes, now) {
		c.evicted.Store(true)
	}
	_ = c.applyDeadline()
}

// setBody makes the body hold a number of bytes. It reports whether there is room.
func (c *conn) setBody(bytes int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.account.resize(c.base()+c.headBytes+bytes, time.Now()) {
		return false
	}
	c.bodyBytes = bytes
	if bytes > largeBodyBytes {
		c.widen(time.Now())
	}
	return true
}

// endBody records that the whole body was received.
func (c *conn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseBody {
		c.enter(phaseBusy, time.Now())
	}
}

func (c *conn) wasEvicted() bool {
	return c.evicted.Load()
}

// contextKey is the key of the conn in the context of its requests.
type contextKey struct{}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(contextKey{}).(*conn)
	return c
}

// Identify counts what the client of a request holds as its organisation's.
func Identify(ctx context.Context, organisation string) {
	if c := connOf(ctx); c != nil {
		c.account.identify("organisation " + organisation)
	}
}

// completeMessage records that another host has sent a whole message, which is served while its connection is kept.
func (c *conn) completeMessage() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.enter(phaseIdle, now)
	c.widen(now)
}
