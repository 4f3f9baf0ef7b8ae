package replica

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// ErrOutcomeUnknown reports that a proposal may or may not be committed, because
// leadership was lost, the context ended, or the replica failed or stopped before
// the proposal was applied.
var ErrOutcomeUnknown = eris.New("outcome of the proposal is unknown")

// ErrStopped reports that the replica was stopped before the request began.
var ErrStopped = eris.New("replica is stopped")

// ErrCommandTooLarge reports a command larger than MaxCommandBytes. It had no effect.
var ErrCommandTooLarge = eris.New("command is too large")

// NotLeaderError reports that the request had no effect, because this replica is not
// the leader, or because another leader overwrote the proposal's log entry.
type NotLeaderError struct {
	// Leader is the ID of the leader, or 0 if it is unknown.
	Leader uint64
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader: the leader is replica %d", e.Leader)
}

// StorageError reports that a storage failure has taken the replica out of service.
// The request had no effect.
type StorageError struct {
	Cause error
}

// Error implements error.
func (e *StorageError) Error() string { return fmt.Sprintf("replica is out of service: %v", e.Cause) }

// Unwrap returns the cause.
func (e *StorageError) Unwrap() error { return e.Cause }
