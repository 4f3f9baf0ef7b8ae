package replica

import (
	"context"

	"github.com/godwitbend/godwitbend/internal/replication"
)

// request is work for the event loop.
type request interface {
	// begin passes the request to the Raft node, or responds at once.
	begin(r *Replica)
}

// response is the result of a request.
type response struct {
	value any
	err   error
}

// responseChan has room for the one response to a request, so that the event loop
// never blocks on it.
type responseChan chan response

func newResponseChan() responseChan { return make(responseChan, 1) }

// submit queues req and waits for its response. A request that could not be queued
// had no effect.
func (r *Replica) submit(ctx context.Context, req request, responses responseChan) (any, error) {
	select {
	case <-r.done:
		return nil, ErrStopped
	default:
	}
	select {
	case r.requests <- req:
	case <-r.done:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case resp := <-responses:
		return resp.value, resp.err
	case <-ctx.Done():
		return nil, ErrOutcomeUnknown
	case <-r.done:
	}
	select {
	case resp := <-responses:
		return resp.value, resp.err
	default:
		return nil, ErrOutcomeUnknown
	}
}

// checkAvailable returns the error that took the replica out of service, or nil.
func (r *Replica) checkAvailable() error {
	if r.failure != nil {
		return r.failure
	}
	return nil
}

// translateError converts an error of the Raft node into an error of this package.
func (r *Replica) translateError(err error) error {
	if err == replication.ErrNotLeader || err == replication.ErrTransferring {
		return &NotLeaderError{Leader: r.leaderHint()}
	}
	return err
}

// leaderHint returns the ID of the leader, or None if that is this replica, as
// during a transfer of leadership.
func (r *Replica) leaderHint() uint64 {
	if leader := r.node.Status().Leader; leader != r.options.ID {
		return leader
	}
	return replication.None
}

// proposal is a command that has been proposed and not yet applied.
type proposal struct {
	command []byte
	// onlyIn is the only term in which the command may be appended; 0 means any.
	onlyIn   uint64
	term     uint64
	response responseChan
}

// Propose replicates a command and returns the result of its Apply. After a
// *NotLeaderError or *StorageError the command had no effect; after
// ErrOutcomeUnknown it may have taken effect or may do so later.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	if len(command) > MaxCommandBytes {
		return nil, ErrCommandTooLarge
	}
	p := &proposal{command: command, response: newResponseChan()}
	return r.submit(ctx, p, p.response)
}

// ProposeInTerm is Propose for a command that must have no effect in another term, as it was checked by
// what the leader of that term knows.
func (r *Replica) ProposeInTerm(ctx context.Context, term uint64, command []byte) (any, error) {
	if len(command) > MaxCommandBytes {
		return nil, ErrCommandTooLarge
	}
	p := &proposal{command: command, onlyIn: term, response: newResponseChan()}
	return r.submit(ctx, p, p.response)
}

func (p *proposal) begin(r *Replica) {
	if err := r.checkAvailable(); err != nil {
		p.response <- response{err: err}
		return
	}
	r.trackLeadership()
	if term, _ := r.node.Leadership(); p.onlyIn != 0 && term != p.onlyIn {
		p.response <- response{err: &NotLeaderError{Leader: r.leaderHint()}}
		return
	}
	index, term, err := r.node.Propose(p.command)
	if err != nil {
		p.response <- response{err: r.translateError(err)}
		return
	}
	p.term = term
	r.batchedBytes += len(p.command)
	r.proposals[index] = p
}

// finish responds when the entry at the proposal's index is applied. If that entry
// has another term, the proposal was overwritten and will never be applied.
func (p *proposal) finish(r *Replica, term uint64, result any) {
	if term != p.term {
		p.response <- response{err: &NotLeaderError{Leader: r.leaderHint()}}
		return
	}
	p.response <- response{value: result}
}

// failRequests fails every request in progress: proposals and proposed changes with
// err, reads and deferred changes, which had no effect, with *NotLeaderError.
func (r *Replica) failRequests(err error) {
	for index, p := range r.proposals {
		delete(r.proposals, index)
		p.response <- response{err: err}
	}
	for index, c := range r.proposedChanges {
		delete(r.proposedChanges, index)
		c.response <- response{err: err}
	}
	for id, q := range r.reads {
		delete(r.reads, id)
		q.response <- response{err: &NotLeaderError{Leader: r.leaderHint()}}
	}
	for _, q := range r.confirmedReads {
		q.response <- response{err: &NotLeaderError{Leader: r.leaderHint()}}
	}
	r.confirmedReads = nil
	for _, c := range r.deferredChanges {
		c.response <- response{err: &NotLeaderError{Leader: r.leaderHint()}}
	}
	r.deferredChanges = nil
}
