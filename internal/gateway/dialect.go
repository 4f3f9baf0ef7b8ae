// Package gateway serves callers of a gateway fleet: it finds the route and the
// organisation of a request, keeps the budget, chooses upstreams, and passes the
// answer on. One file holds one decision.
package gateway

import (
	"net/http"
	"time"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// Part is a part of a prompt that requests share.
type Part struct {
	// Hash names the part.
	Hash   uint64
	Tokens int64
}

// Call is a request as its caller sent it.
type Call struct {
	// ID is the caller's id of this attempt.
	ID     string
	Method string
	// Host is the host name without a port; Path selects the route.
	Host string
	Path string
	// Authority and URI go to the upstream as they came.
	Authority string
	URI       string
	Header    http.Header
	// Key is the caller's key, or empty.
	Key string
	// Patience is how long the caller will wait; 0 if it did not say.
	Patience time.Duration
	// InputTokens and OutputTokens are the size of the prompt and the most that
	// may be generated; both are 0 for plain services.
	InputTokens  int64
	OutputTokens int64
	// Prompt holds the parts of the prompt in order; the last is the request's own.
	Prompt []Part
	// ResumeAfter is the last event that the caller has, if Resumes.
	ResumeAfter int64
	Resumes     bool
	// Body is read before the request is sent on; HasBody tells that there was one.
	Body    []byte
	HasBody bool
}

// Forwarding is what the system adds to a request.
type Forwarding struct {
	// Upstream is the id of the process that must run it.
	Upstream string
	// Organisation is empty for anonymous requests.
	Organisation string
	// Left is the time that the upstream has.
	Left time.Duration
	// Rank orders requests at the upstream; 0 goes first.
	Rank int
	// CacheSource is the address of an upstream to fetch parts of the prompt from, or empty.
	CacheSource string
	// ResumeAfter is the last event that the caller has, if Resumes.
	ResumeAfter int64
	Resumes     bool
}

// Verdict is what an answer's header says.
type Verdict struct {
	// NotRun: the upstream has not run the request.
	NotRun bool
	// OtherProcess: another process has the address; the request has not run.
	OtherProcess bool
	// Foreign: this is no answer to the request.
	Foreign bool
	// RetryAfter is the time after which the upstream may have room; 0 if unknown.
	RetryAfter time.Duration
}

// Dialect translates between the wire and the gateway's types.
type Dialect interface {
	// Decode reads a request's line and header.
	Decode(r *http.Request) (*Call, *errkind.Error)
	// Encode returns the header for the upstream.
	Encode(c *Call, f *Forwarding) http.Header
	// Judge reads the status and header of an upstream's answer.
	Judge(c *Call, answer *http.Response) Verdict
	// AnswerHeader returns the part of an upstream's header that the caller gets.
	AnswerHeader(h http.Header) http.Header
	// Refuse answers with an error of the system. c may be nil.
	Refuse(w http.ResponseWriter, c *Call, e *errkind.Error)
}
