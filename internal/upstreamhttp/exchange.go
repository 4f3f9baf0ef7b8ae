// Package upstreamhttp sends single requests to upstreams over HTTP/1.1 and reads the
// answers. Unlike a general-purpose client it never resends a request, follows no
// redirects and decodes no bodies, and its errors tell whether anything was sent.
package upstreamhttp

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"github.com/godwitbend/godwitbend/internal/membudget"
	"github.com/godwitbend/godwitbend/internal/netconn"
)

const (
	// maxHeadBytes bounds the header of an answer, including those of interim answers.
	maxHeadBytes = 64 << 10
	// maxFailureBytes bounds the body of an answer with a status of 500 or more. It needs no memory of the budget, as
	// such answers may be kept while the request is tried again.
	maxFailureBytes = 64 << 10
	// maxJoinedBody is the size up to which a body is copied behind the head, so that both are sent in one write.
	maxJoinedBody = 64 << 10
	// readBufferSize fits the header of an answer and typical events of a stream.
	readBufferSize = 4 << 10
)

// Request is a request to an upstream.
type Request struct {
	Method string
	// URI is the path and query exactly as sent by the caller.
	URI  string
	Host string
	// Header holds all header fields except Host, Content-Length and Connection.
	Header http.Header
	Body   []byte
	// HasBody is true if the caller sent a body, possibly an empty one.
	HasBody bool
	// ReportsWithdrawal asks for ErrNotBegun where it applies. A withdrawn exchange then takes up to
	// withdrawTimeout longer.
	ReportsWithdrawal bool
	// KeepsOpen makes the exchange last until the upstream or the context ends it, for a request that no other upstream may
	// take. Otherwise it fails when the upstream acknowledges nothing for UnackedTimeout.
	KeepsOpen bool
}

// Answer is the answer of an upstream. It must be closed.
type Answer struct {
	*http.Response
	conn   *withdrawableConn
	stop   func() bool
	memory *answerMemory
}

// Close ends the exchange by closing the connection, which lets an upstream that is still
// working on the request stop. What was read counts as memory in use until then.
func (a *Answer) Close() {
	a.stop()
	_ = a.conn.Close()
	a.memory.release()
}

// Abort closes the connection, so that reading the body fails. Unlike Close it may be called while the body is read.
func (a *Answer) Abort() { _ = a.conn.Close() }

// KeepOpen makes the exchange last from now on as Request.KeepsOpen does.
func (a *Answer) KeepOpen() { a.conn.keepOpen() }

// Unacknowledged returns the time since the upstream last sent data or an acknowledgement; 0 if it is not known.
func (a *Answer) Unacknowledged() time.Duration {
	return netconn.Unacknowledged(a.conn.ReadWriteCloser)
}

// Unframed reports whether nothing but the end of the connection marks the end of the body.
func (a *Answer) Unframed() bool { return a.ContentLength < 0 && len(a.TransferEncoding) == 0 }

// UnreachableError reports that no connection was established, so nothing was sent.
type UnreachableError struct{ Cause error }

// Error implements error.
func (e *UnreachableError) Error() string { return "upstream is unreachable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// DialFunc connects to an upstream.
type DialFunc func(ctx context.Context, address string) (io.ReadWriteCloser, error)

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	dial    DialFunc
	memory  *membudget.Budget
	metrics *metrics
}

// NewClient returns a client that connects with dial. Its answers take at most membudget.ProcessShare together, besides
// answerAllowance for each. An answer for which there is no room is read when others have ended.
func NewClient(dial DialFunc) *Client {
	budget := membudget.New(membudget.ProcessShare(), maxAnswerMemory, answerAllowance)
	return &Client{dial: dial, memory: budget, metrics: newMetrics(tally.NoopScope)}
}

// MemoryInUse returns the memory that answers take beyond the allowance of each, in bytes.
func (c *Client) MemoryInUse() int64 { return c.memory.InUse() }

// ErrWithdrawn reports that the request was no longer wanted when the connection was established.
var ErrWithdrawn = errors.New("the request was withdrawn before it was sent")

// ErrNoAnswer reports that the request was sent, at least in part, but no answer was
// received: it may have run.
var ErrNoAnswer = errors.New("no answer from the upstream")

// ErrNotBegun reports that the request was withdrawn and the upstream ended the connection without
// having sent a byte: it had not begun to answer.
var ErrNotBegun = errors.New("the upstream had not begun to answer when the request was withdrawn")

// Do connects, sends the request that prepare returns then, and reads the header of the answer, which may come
// before the whole body was sent. Its errors are either an *UnreachableError or wrap ErrNoAnswer. If prepare
// returns nil nothing is sent, and the error wraps ErrWithdrawn: connecting may take long. The exchange ends when
// ctx is done; if the answer had not begun by then, the error also wraps ErrNotBegun if the request asks for that.
func (c *Client) Do(ctx context.Context, address string, prepare func() *Request) (*Answer, error) {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, &UnreachableError{Cause: err}
	}
	r := prepare()
	if r == nil {
		_ = conn.Close()
		return nil, &UnreachableError{Cause: ErrWithdrawn}
	}
	withdrawal := &withdrawableConn{ReadWriteCloser: conn, closesAtOnce: !r.ReportsWithdrawal}
	if r.KeepsOpen {
		withdrawal.keepOpen()
	}
	stop := context.AfterFunc(ctx, withdrawal.withdraw)
	memory := &answerMemory{hold: c.memory.Hold(), cancelled: ctx.Done(), address: address, metrics: c.metrics}
	answer, err := roundTrip(withdrawal, r, memory)
	withdrawn := !stop()
	if err == nil && withdrawn {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		memory.release()
		if withdrawn && withdrawal.endedUnanswered(err) {
			err = errors.Join(ErrNotBegun, err)
		}
		return nil, eris.Wrap(errors.Join(ErrNoAnswer, err), "exchange with the upstream")
	}
	answer.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	return answer, nil
}

// roundTrip reads the answer while it sends the request, as an upstream may answer before it has read the whole
// body. The sending ends with the connection at the latest.
func roundTrip(conn *withdrawableConn, r *Request, memory *answerMemory) (*Answer, error) {
	go conn.send(r.encode()...)
	head := &headReader{conn: conn, memory: memory}
	reader := bufio.NewReaderSize(head, readBufferSize)
	for {
		resp, err := http.ReadResponse(reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if !validStatus(resp.StatusCode) {
			return nil, eris.Wrapf(errInvalidStatus, "status %d", resp.StatusCode)
		}
		if resp.StatusCode >= http.StatusOK {
			head.ended = true // the body has limits of its own
			if err := memory.keepHeader(resp.Header); err != nil {
				return nil, err
			}
			resp.Body = &answerBody{ReadCloser: resp.Body, memory: memory}
			return &Answer{Response: resp, conn: conn, memory: memory}, nil
		}
	}
}

// errInvalidStatus reports an answer with a status that HTTP does not allow, or that switches to a protocol that no request asks for.
var errInvalidStatus = errors.New("invalid status of an answer")

// maxStatus is the highest status that HTTP allows.
const maxStatus = 599

func validStatus(status int) bool {
	return status >= http.StatusContinue && status <= maxStatus && status != http.StatusSwitchingProtocols
}

// encode returns the wire format of the request, a large body as a part of its own.
func (r *Request) encode() [][]byte {
	var b bytes.Buffer
	joined := len(r.Body) <= maxJoinedBody
	if joined {
		b.Grow(512 + len(r.Body))
	}
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	if r.HasBody {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("Connection: close\r\n")
	_ = r.Header.Write(&b) // writing to a bytes.Buffer never fails
	b.WriteString("\r\n")
	if !joined {
		return [][]byte{b.Bytes(), r.Body}
	}
	b.Write(r.Body)
	return [][]byte{b.Bytes()}
}

// ErrBodyTooLarge reports an answer whose body exceeds the limit.
var ErrBodyTooLarge = errors.New("answer body exceeds the size limit")

// ReadBody reads the whole body of an answer, up to limit bytes, or maxFailureBytes of a failure if that is less. The
// body counts as memory in use until the answer is closed.
func (a *Answer) ReadBody(limit int64) ([]byte, error) {
	if a.StatusCode >= http.StatusInternalServerError {
		limit = min(limit, maxFailureBytes)
	}
	body, err := a.memory.readAll(a.Body, a.ContentLength, limit)
	if err != nil {
		return nil, eris.Wrap(err, "read answer body")
	}
	if int64(len(body)) > limit {
		a.memory.exceeded(limitBody, limit)
		return nil, ErrBodyTooLarge
	}
	return body, nil
}
