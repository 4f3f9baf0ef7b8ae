package ctl

import (
	"fmt"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
)

// Exit codes, which exitCodeHelp documents.
const (
	exitOK           = 0
	exitFailure      = 1
	exitUsage        = 2
	exitPending      = 3
	exitConflict     = 4
	exitNotFound     = 5
	exitUnauthorised = 6
	exitUnavailable  = 7
	exitRefused      = 8
)

const exitCodeHelp = `Exit codes:
  0  done; a change is accepted, that is in force on every live host
  1  failure of the tool itself, such as an unreadable file
  2  the command line or the request is not valid
  3  pending: the change is made but not yet in force on every live host
  4  conflict: another change came first; it is shown
  5  the record or request does not exist
  6  the key is missing, unknown or not allowed
  7  no answer in time; a change may or may not have been made; send it again with the same --operation-id
  8  refused for another reason, which is shown`

// failure is an error with an exit code.
type failure struct {
	code int
	text string
	// winner is the current record if another change won a conflict.
	winner *config.Record
}

// Error implements error.
func (f *failure) Error() string { return f.text }

// usageError returns the failure of an invalid command line or input file.
func usageError(format string, args ...any) *failure {
	return &failure{code: exitUsage, text: "error: " + fmt.Sprintf(format, args...)}
}

// failureFromReply converts an error reply of the API to a failure.
func failureFromReply(reply *operatorapi.ErrorReply) *failure {
	f := &failure{
		code:   exitCode(reply.Error.Kind),
		text:   fmt.Sprintf("%s: %s (outcome: %s)", reply.Error.Kind, reply.Error.Message, reply.Error.Outcome),
		winner: reply.Winner,
	}
	return f
}

// exitCode maps an error kind to an exit code.
func exitCode(kind errkind.Kind) int {
	switch kind {
	case errkind.InvalidRequest, errkind.BodyTooLarge:
		return exitUsage
	case errkind.Conflict:
		return exitConflict
	case errkind.NotFound:
		return exitNotFound
	case errkind.Unauthenticated, errkind.Forbidden:
		return exitUnauthorised
	}
	if errkind.Lookup(kind).Retryable {
		return exitUnavailable
	}
	return exitRefused
}
