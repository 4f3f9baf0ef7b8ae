// Package gateway implements the HTTP handler of a gateway host. For each request it
// finds the route and the organisation, reserves tokens of the prepaid budget, chooses
// an upstream, and forwards the answer. Each decision has its own file.
package gateway

import (
	"net/http"
	"time"

	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/notice"
	"github.com/godwitbend/godwitbend/internal/runmove"
	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

// PromptSegment is one of the consecutive segments that make up a prompt. Requests with
// the same leading segments share a prompt prefix.
type PromptSegment struct {
	// Hash identifies the content of the segment.
	Hash   uint64
	Tokens int64
}

// Call is a request as received from its caller.
type Call struct {
	// ID is the id that the caller gave this attempt.
	ID     string
	Method string
	// Host is the host name without the port. Host and Path select the route.
	Host string
	Path string
	// Authority and URI are forwarded to the upstream unchanged.
	Authority string
	URI       string
	Header    http.Header
	// Key is the caller's API key; empty if there is none.
	Key string
	// CallerTimeout is how long the caller waits for the answer; 0 if not stated.
	CallerTimeout time.Duration
	// InputTokens is the size of the prompt and OutputTokens the maximum number of
	// generated tokens; both are 0 for plain services.
	InputTokens  int64
	OutputTokens int64
	// Prompt holds the segments of the prompt in order; the last one is specific to the request.
	Prompt []PromptSegment
	// ResumeAfter is the id of the last event that the caller received; valid if Resumes.
	ResumeAfter int64
	Resumes     bool
	// StreamOrigin is the id of the call that delivered the first event of the resumed stream;
	// empty if not stated.
	StreamOrigin string
	// Body is read in full before the request is forwarded. HasBody reports whether the
	// request has a body, which may be empty.
	Body    []byte
	HasBody bool
}

// UpstreamMetadata is what the gateway adds to a request that it forwards.
type UpstreamMetadata struct {
	// Upstream is the id of the upstream process that must run the request.
	Upstream string
	// Organisation is empty for anonymous requests.
	Organisation string
	// TimeRemaining is the time after which the upstream is to stop work, at most what the caller stated.
	TimeRemaining time.Duration
	// Rank orders requests at the upstream when capacity is short; 0 is served first.
	Rank int
	// CacheSource is the address of an upstream to copy the cached prompt prefix from, or empty.
	CacheSource string
	// RunCopy names the copy of a run with which the upstream goes on; nil if it is to begin one.
	RunCopy *RunCopy
	// ResumeAfter is the id of the last event that the caller received; valid if Resumes.
	ResumeAfter int64
	Resumes     bool
}

// RunCopy is a copy that an upstream has made of the memory of a run.
type RunCopy struct {
	// Source is the address of that upstream, and Handle its name of the copy.
	Source, Handle string
}

// RunMove asks the upstream of a run to copy its memory to another one.
type RunMove struct {
	// RequestID is the id of the request that is run.
	RequestID string
	// Target is the address of the other upstream.
	Target string
	// Stops makes the run stop first.
	Stops bool
}

// AnswerClass is what the status and header of an upstream's answer imply.
type AnswerClass struct {
	// NotRun: the upstream guarantees that it has not run the request.
	NotRun bool
	// OtherProcess: the address belongs to another process, so the request has not run.
	OtherProcess bool
	// Mismatched: the answer does not belong to the request.
	Mismatched bool
	// Notice is what the upstream says of itself.
	Notice notice.Notice
}

// Dialect translates between the HTTP messages of a deployment and the gateway's types.
type Dialect interface {
	// Decode decodes the request line and header of a caller's request.
	Decode(r *http.Request) (*Call, *errkind.Error)
	// Encode returns the header of the forwarded request.
	Encode(c *Call, m *UpstreamMetadata) http.Header
	// EncodeRunMove returns the request of a call that copies the memory of a run.
	EncodeRunMove(m *RunMove) *upstreamhttp.Request
	// DecodeRunMove decodes the answer to it.
	DecodeRunMove(status int, body []byte) runmove.Answer
	// EncodeCopyRelease returns the request of a call that frees a copy, at the upstream that made it.
	EncodeCopyRelease(handle string) *upstreamhttp.Request
	// ClassifyAnswer evaluates the status and header of an upstream's answer.
	ClassifyAnswer(c *Call, answer *http.Response) AnswerClass
	// AnswerHeader returns those fields of an upstream's header that the caller receives.
	AnswerHeader(h http.Header) http.Header
	// Refuse writes e as the answer. c is nil if the request was not decoded.
	Refuse(w http.ResponseWriter, c *Call, e *errkind.Error)
}
