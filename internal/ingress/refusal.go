package ingress

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

const (
	// lingerTime is how long a client that was refused may take to read that, and lingerBytes what it may still send.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// refusalTimeout bounds the writing of a refusal.
	refusalTimeout = 100 * time.Millisecond
)

func (c *conn) refuseForMemory() *refusal {
	return &refusal{
		reasonMemory, http.StatusServiceUnavailable, noMemoryMessage, c.account.budget.retryAfter(),
	}
}

const noMemoryMessage = "the clients of this host hold all of its memory for them"

// refusal is an answer to a request whose head is not read.
type refusal struct {
	reason  string
	status  int
	message string
	after   time.Duration
}

// refuse answers the request, of which no more is read.
func (c *conn) refuse(r *refusal) {
	c.account.budget.report.refused(c.account.class, r.reason)
	c.mu.Lock()
	c.refused, c.pending = true, nil
	c.mu.Unlock()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	answer := &http.Response{
		StatusCode: r.status, ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: http.Header{}, ContentLength: int64(len(r.message)),
		Body: io.NopCloser(strings.NewReader(r.message)),
	}
	answer.Header.Set("Content-Type", "text/plain; charset=utf-8")
	if r.after > 0 {
		errkind.SetRetryAfter(answer.Header, r.after)
	}
	_ = answer.Write(c.Conn) // fails if the client has gone
}

// linger lets a client that was refused read the answer, which closing a connection with unread bytes would take from it.
func (c *conn) linger() {
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	_ = c.end()
}
