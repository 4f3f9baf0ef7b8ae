package replica

import (
	"context"

	"github.com/godwitbend/godwitbend/internal/replication"
)

// change is a membership change or a transfer of leadership. It is deferred until
// the Raft node accepts it: until the previous change is committed, or until the
// learner has caught up.
type change struct {
	ctx      context.Context
	propose  func(n *replication.Node) (index uint64, err error)
	term     uint64
	response responseChan
}

// AddReplica adds a replica as a learner. Its ID must be larger than every ID
// that the group has ever used.
func (r *Replica) AddReplica(ctx context.Context, p replication.Peer) error {
	return r.submitChange(ctx, func(n *replication.Node) (uint64, error) { return n.AddLearner(p) })
}

// PromoteReplica promotes a learner to voter. It waits until the learner has caught
// up or ctx ends.
func (r *Replica) PromoteReplica(ctx context.Context, id uint64) error {
	return r.submitChange(ctx, func(n *replication.Node) (uint64, error) { return n.Promote(id) })
}

// RemoveReplica removes a replica. The leader cannot be removed; transfer its
// leadership first.
func (r *Replica) RemoveReplica(ctx context.Context, id uint64) error {
	return r.submitChange(ctx, func(n *replication.Node) (uint64, error) { return n.Remove(id) })
}

func (r *Replica) submitChange(ctx context.Context, propose func(*replication.Node) (uint64, error)) error {
	c := &change{ctx: ctx, propose: propose, response: newResponseChan()}
	_, err := r.submit(ctx, c, c.response)
	return err
}

func (c *change) begin(r *Replica) {
	if err := r.checkAvailable(); err != nil {
		c.response <- response{err: err}
		return
	}
	r.trackLeadership()
	c.tryPropose(r)
}

// tryPropose proposes the change, or defers it if the Raft node cannot accept it yet.
func (c *change) tryPropose(r *Replica) {
	if c.ctx.Err() != nil {
		c.response <- response{err: c.ctx.Err()}
		return
	}
	index, err := c.propose(r.node)
	switch err {
	case nil:
	case replication.ErrChangePending, replication.ErrNotCaughtUp:
		r.deferredChanges = append(r.deferredChanges, c)
		return
	default:
		c.response <- response{err: r.translateError(err)}
		return
	}
	if index <= r.node.Applied() {
		c.response <- response{}
		return
	}
	c.term, _ = r.node.Leadership()
	r.proposedChanges[index] = c
}

func (r *Replica) retryDeferredChanges() {
	waiting := r.deferredChanges
	r.deferredChanges = nil
	for _, c := range waiting {
		c.tryPropose(r)
	}
}

func (c *change) finish(r *Replica, term uint64) {
	if term != c.term {
		c.response <- response{err: &NotLeaderError{Leader: r.leaderHint()}}
		return
	}
	c.response <- response{}
}

// TransferLeadership starts a transfer of leadership to the replica with ID to, or
// to the most up-to-date voter if to is 0, and returns without waiting for its end.
// Proposals fail with *NotLeaderError until the transfer is complete or an election
// timeout has passed.
func (r *Replica) TransferLeadership(ctx context.Context, to uint64) error {
	return r.submitChange(ctx, func(n *replication.Node) (uint64, error) {
		if to == replication.None {
			to = n.MostUpToDateVoter()
		}
		return 0, n.TransferLeadership(to)
	})
}
