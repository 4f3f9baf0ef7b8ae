package entry

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// Limits bounds what callers send.
type Limits struct {
	// BodyBytes bounds a request body.
	BodyBytes int64 `json:"body_bytes,omitempty"`
	// KeyBytes bounds an idempotency key.
	KeyBytes int `json:"key_bytes,omitempty"`
	// HeaderBytes bounds the sum of the header names and values.
	HeaderBytes int `json:"header_bytes,omitempty"`
	// CallerConcurrent bounds the open requests of a caller that sets no bound of its own.
	CallerConcurrent int `json:"caller_concurrent,omitempty"`
	// AnswerBytes bounds the answer of a whole request.
	AnswerBytes int64 `json:"answer_bytes,omitempty"`
	// OutputTokens is the output limit of a model request whose service states none.
	OutputTokens int64 `json:"output_tokens,omitempty"`
}

// Default limits.
const (
	defaultBodyBytes        = 4 << 20
	defaultKeyBytes         = 255
	defaultHeaderBytes      = 16 << 10
	defaultCallerConcurrent = 64
	defaultAnswerBytes      = 8 << 20
	defaultOutputTokens     = 1024
)

func (l Limits) withDefaults() Limits {
	orInt64 := func(v *int64, d int64) {
		if *v <= 0 {
			*v = d
		}
	}
	orInt := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	orInt64(&l.BodyBytes, defaultBodyBytes)
	orInt(&l.KeyBytes, defaultKeyBytes)
	orInt(&l.HeaderBytes, defaultHeaderBytes)
	orInt(&l.CallerConcurrent, defaultCallerConcurrent)
	orInt64(&l.AnswerBytes, defaultAnswerBytes)
	orInt64(&l.OutputTokens, defaultOutputTokens)
	return l
}

// checkHeader refuses a header that is too large.
func (l Limits) checkHeader(r *http.Request) error {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if size > l.HeaderBytes {
		return errkind.New(errkind.InvalidRequest, "the header has more than %d bytes", l.HeaderBytes)
	}
	return nil
}

// readKey returns the idempotency key, or "" if there is none.
func (l Limits) readKey(r *http.Request) (string, error) {
	key := r.Header.Get("Idempotency-Key")
	if len(key) > l.KeyBytes {
		return "", errkind.New(errkind.InvalidRequest, "Idempotency-Key has more than %d bytes", l.KeyBytes)
	}
	return key, nil
}

// readBody returns the request body.
func (l Limits) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength > l.BodyBytes {
		return nil, errkind.New(errkind.BodyTooLarge, "the body has more than %d bytes", l.BodyBytes)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, l.BodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errkind.New(errkind.BodyTooLarge, "the body has more than %d bytes", l.BodyBytes)
	}
	if err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "the body can't be read: %v", err)
	}
	return body, nil
}

// callerCounts counts the open requests of each caller on this host.
type callerCounts struct {
	mu   sync.Mutex
	open map[string]int
}

func newCallerCounts() *callerCounts { return &callerCounts{open: map[string]int{}} }

// enter counts a request in unless the caller has limit open; leave counts it out.
func (c *callerCounts) enter(caller string, limit int) (leave func(), ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[caller] >= limit {
		return nil, false
	}
	c.open[caller]++
	return func() { c.leave(caller) }, true
}

func (c *callerCounts) leave(caller string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[caller]--
	if c.open[caller] == 0 {
		delete(c.open, caller)
	}
}
