package replica

import (
	"context"

	"github.com/godwitbend/godwitbend/internal/replication"
)

// request is work for the control goroutine.
type request interface {
	// begin hands the request to the core or answers it.
	begin(r *Replica)
}

// outcome is the answer to a request.
type outcome struct {
	value any
	err   error
}

// answer is a channel that takes exactly one outcome without blocking.
type answer chan outcome

func newAnswer() answer { return make(answer, 1) }

// submit queues q and waits for its answer. A request that was never queued
// had no effect.
func (r *Replica) submit(ctx context.Context, q request, a answer) (any, error) {
	select {
	case <-r.done:
		return nil, ErrStopped
	default:
	}
	select {
	case r.requests <- q:
	case <-r.done:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case o := <-a:
		return o.value, o.err
	case <-ctx.Done():
		return nil, ErrUnknown
	case <-r.done:
	}
	select {
	case o := <-a:
		return o.value, o.err
	default:
		return nil, ErrUnknown
	}
}

// unavailable returns why no request can be taken, or nil.
func (r *Replica) unavailable() error {
	if r.failure != nil {
		return r.failure
	}
	return nil
}

// translate turns a refusal of the core into an error of this package.
func (r *Replica) translate(err error) error {
	if err == replication.ErrNotLeader || err == replication.ErrTransferring {
		return &NotLeaderError{Leader: r.leaderHint()}
	}
	return err
}

// leaderHint names the leader, but not this replica while it hands over.
func (r *Replica) leaderHint() uint64 {
	if leader := r.node.Status().Leader; leader != r.options.ID {
		return leader
	}
	return replication.None
}

// proposal is a command on its way through the log.
type proposal struct {
	command []byte
	term    uint64
	answer  answer
}

// Propose replicates a command and returns the result of its Apply. A
// *NotLeaderError or *StorageError means that it had no effect, ErrUnknown that
// it may take effect later.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	if len(command) > MaxCommandBytes {
		return nil, ErrCommandTooLarge
	}
	p := &proposal{command: command, answer: newAnswer()}
	return r.submit(ctx, p, p.answer)
}

func (p *proposal) begin(r *Replica) {
	if err := r.unavailable(); err != nil {
		p.answer <- outcome{err: err}
		return
	}
	r.followLeadership()
	index, term, err := r.node.Propose(p.command)
	if err != nil {
		p.answer <- outcome{err: r.translate(err)}
		return
	}
	p.term = term
	r.batched += len(p.command)
	r.proposals[index] = p
}

// finish answers once the entry at the proposal's index is applied. An entry of
// another term there means that the command will never be.
func (p *proposal) finish(r *Replica, term uint64, result any) {
	if term != p.term {
		p.answer <- outcome{err: &NotLeaderError{Leader: r.leaderHint()}}
		return
	}
	p.answer <- outcome{value: result}
}

// failAll answers every request under way.
func (r *Replica) failAll(err error) {
	for index, p := range r.proposals {
		delete(r.proposals, index)
		p.answer <- outcome{err: err}
	}
	for index, c := range r.committed {
		delete(r.committed, index)
		c.answer <- outcome{err: err}
	}
	for id, q := range r.reads {
		delete(r.reads, id)
		q.answer <- outcome{err: &NotLeaderError{Leader: r.leaderHint()}}
	}
	for _, q := range r.applying {
		q.answer <- outcome{err: &NotLeaderError{Leader: r.leaderHint()}}
	}
	r.applying = nil
	for _, c := range r.changes {
		c.answer <- outcome{err: &NotLeaderError{Leader: r.leaderHint()}}
	}
	r.changes = nil
}
