package entry

import (
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// retryReason is the reason why a dispatch failed or was repeated.
type retryReason string

// All retry reasons; each is counted under its own tag.
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
	reasonStopped   retryReason = "host_stopped"
)

// failure describes a failed dispatch.
type failure struct {
	reason retryReason
	// notRun is set if the upstream provably did not run the call.
	notRun bool
	// connectionBroken is set if the connection broke after it was established, as in an upstream crash.
	connectionBroken bool
	// callerDisconnected is set if the caller disconnected.
	callerDisconnected bool
	// finalError, if set, is returned to the caller and rules out a retry.
	finalError *errkind.Error
	// resendError, if set, forbids sending the call again and is returned if that would be needed.
	resendError *errkind.Error
	// detail is logged and must not contain prompt or answer text.
	detail string
}

// Error implements error.
func (f *failure) Error() string { return string(f.reason) + ": " + f.detail }
