package entry

import (
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// retryReason tells why an upstream's try came to nothing.
type retryReason string

// The closed list of reasons, each with its own counter.
const (
	reasonNotSent   retryReason = "not_sent"
	reasonRefused   retryReason = "upstream_refused"
	reasonBroken    retryReason = "connection_broken"
	reasonTimeout   retryReason = "timeout"
	reasonTruncated retryReason = "truncated"
	reasonForeign   retryReason = "foreign_answer"
	reasonError     retryReason = "upstream_error"
	reasonResume    retryReason = "resume"
	reasonTakeover  retryReason = "takeover"
	reasonSuspect   retryReason = "suspect"
)

// failure is one try that came to nothing.
type failure struct {
	reason retryReason
	// notRun tells that the upstream provably did not run the call.
	notRun bool
	// broken tells that the connection broke after it was used, as at a crash.
	broken bool
	// callerGone tells that the caller went away.
	callerGone bool
	// final, if set, is the answer; no other upstream is tried.
	final *errkind.Error
	// stop, if set, is the answer unless the call can be completed without being sent again.
	stop *errkind.Error
	// text is for the log; it must not hold a prompt or an answer.
	text string
}

func (f *failure) Error() string { return string(f.reason) + ": " + f.text }
