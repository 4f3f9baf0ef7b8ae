package entry

import (
	"errors"
	"net/http"
	"sync"

	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/ingress"
)

// Limits bounds the requests of callers and the size of answers.
type Limits struct {
	// BodyBytes bounds a request body.
	BodyBytes int64 `json:"body_bytes,omitempty"`
	// KeyBytes bounds the length of an idempotency key.
	KeyBytes int `json:"key_bytes,omitempty"`
	// HeaderBytes bounds the total size of the request URI and the header names and values.
	HeaderBytes int `json:"header_bytes,omitempty"`
	// CallerConcurrent bounds the in-flight requests of a caller without a limit of its own.
	CallerConcurrent int `json:"caller_concurrent,omitempty"`
	// AnswerBytes bounds a non-streaming answer.
	AnswerBytes int64 `json:"answer_bytes,omitempty"`
	// OutputTokens is the output limit of model requests if neither the request nor its service sets one.
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

// checkHeader returns an error if the request line and header exceed HeaderBytes.
func (l Limits) checkHeader(r *http.Request) error {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if size > l.HeaderBytes {
		return errkind.New(errkind.InvalidRequest, "the header exceeds %d bytes", l.HeaderBytes)
	}
	return nil
}

// readIdempotencyKey returns the idempotency key, or "" if there is none.
func (l Limits) readIdempotencyKey(r *http.Request) (string, error) {
	key := r.Header.Get("Idempotency-Key")
	if len(key) > l.KeyBytes {
		return "", errkind.New(errkind.InvalidRequest, "Idempotency-Key exceeds %d bytes", l.KeyBytes)
	}
	return key, nil
}

// readBody reads the request body, up to BodyBytes.
func (l Limits) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := ingress.ReadBody(r, l.BodyBytes, bodyCopies)
	if err == nil {
		return body, nil
	}
	w.Header().Set("Connection", "close")
	var known *errkind.Error
	switch {
	case errors.As(err, &known):
		return nil, known
	case errors.Is(err, ingress.ErrBodyTooLarge):
		return nil, errkind.New(errkind.BodyTooLarge, "the body exceeds %d bytes", l.BodyBytes)
	}
	return nil, errkind.New(errkind.InvalidRequest, "read the body: %v", err)
}

// bodyCopies is the number of copies of a body, as decoded and as sent to an upstream.
const bodyCopies = 2

// callerLimiter limits the in-flight requests of each caller on this host.
type callerLimiter struct {
	mu       sync.Mutex
	inFlight map[string]int
}

func newCallerLimiter() *callerLimiter { return &callerLimiter{inFlight: map[string]int{}} }

// acquire counts a request unless the caller already has limit requests in flight.
// release must be called when the request has ended.
func (c *callerLimiter) acquire(caller string, limit int) (release func(), ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[caller] >= limit {
		return nil, false
	}
	c.inFlight[caller]++
	return func() { c.release(caller) }, true
}

func (c *callerLimiter) release(caller string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[caller]--
	if c.inFlight[caller] == 0 {
		delete(c.inFlight, caller)
	}
}
