package replica

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// ErrUnknown reports that a proposal may or may not commit, because leadership
// was lost, the context ended or the replica failed or stopped meanwhile.
var ErrUnknown = eris.New("outcome of the proposal is unknown")

// ErrStopped reports that the replica was stopped before it took the request.
var ErrStopped = eris.New("replica is stopped")

// ErrCommandTooLarge reports a command of more than MaxCommandBytes. It had no effect.
var ErrCommandTooLarge = eris.New("command is too large")

// NotLeaderError reports that the request had no effect, since this replica
// does not lead or has lost the proposal's place in the log to another leader.
type NotLeaderError struct {
	// Leader is the id of the leader as far as known, or 0.
	Leader uint64
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader: the leader is replica %d", e.Leader)
}

// StorageError reports that the replica is out of service. The request had no effect.
type StorageError struct {
	Cause error
}

// Error implements error.
func (e *StorageError) Error() string { return fmt.Sprintf("replica is out of service: %v", e.Cause) }

// Unwrap returns the cause.
func (e *StorageError) Unwrap() error { return e.Cause }
