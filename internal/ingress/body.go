package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

const (
	// initialBufferBytes is the capacity of a buffer when the first bytes of a body are read into it, and growthFactor that of
	// the next one.
	initialBufferBytes = 4 << 10
	growthFactor       = 4
	// provenBytes is how much must have been read before memory is taken for a whole length that was declared.
	provenBytes = 64 << 10
)

// ErrBodyTooLarge reports a body that is longer than allowed.
var ErrBodyTooLarge = errors.New("the body is too large")

// ReadBody reads the body of a request, up to limit bytes. It counts as held by the client until the request is answered, and
// used bytes for each of its own for what is made of it. Errors are ErrBodyTooLarge, an *errkind.Error if there is no memory, and
// those of the connection.
func ReadBody(r *http.Request, limit, used int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrBodyTooLarge
	}
	b := bodyReader{conn: connOf(r.Context()), length: r.ContentLength, limit: limit, used: used}
	data, err := b.read(r.Body)
	if err != nil && b.conn != nil && b.conn.wasEvicted() {
		err = b.noMemory()
	}
	if err != nil {
		return nil, err
	}
	if b.conn != nil {
		b.conn.endBody()
	}
	return data, nil
}

type bodyReader struct {
	conn          *conn
	length, limit int64
	used          int64
}

func (b *bodyReader) read(r io.Reader) (data []byte, err error) {
	if b.conn != nil && b.length > 0 && !b.conn.account.fits(b.conn.account.held()+b.length*(1+b.used), time.Now()) {
		return nil, b.noMemory()
	}
	for int64(len(data)) <= b.limit {
		if len(data) == cap(data) {
			if data, err = b.grow(data); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, b.hold(int64(cap(data)) + int64(len(data))*b.used)
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, ErrBodyTooLarge
}

// grow returns data with a larger capacity. Both buffers count while data is copied.
func (b *bodyReader) grow(data []byte) ([]byte, error) {
	capacity := max(growthFactor*int64(cap(data)), initialBufferBytes)
	if b.length >= 0 && (b.length < provenBytes || len(data) >= provenBytes) {
		capacity = b.length
	}
	if capacity > b.limit/2 {
		capacity = b.limit
	}
	capacity = max(capacity, int64(len(data))) + 1 // for the end of the body
	if err := b.hold(int64(cap(data)) + capacity); err != nil {
		return nil, err
	}
	grown := make([]byte, len(data), capacity)
	copy(grown, data)
	return grown, b.hold(capacity)
}

func (b *bodyReader) hold(bytes int64) error {
	if b.conn == nil || b.conn.setBody(bytes) {
		return nil
	}
	return b.noMemory()
}

// noMemory refuses the request. What the client still sends is read for a while, so that it reads the answer.
func (b *bodyReader) noMemory() error {
	b.conn.account.budget.report.refused(b.conn.account.class, reasonMemory)
	_ = b.conn.SetReadDeadline(time.Now().Add(lingerTime))
	return errkind.New(errkind.Overloaded, noMemoryMessage).
		WithRetryAfter(b.conn.account.budget.retryAfter())
}

// withConn returns the context of the requests on a connection.
func withConn(ctx context.Context, c *conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}
