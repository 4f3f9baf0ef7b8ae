package replica

import (
	"context"

	"github.com/godwitbend/godwitbend/internal/replication"
)

// change is a membership change or a transfer of leadership. It waits until the
// core admits it: until the change before it is committed, or until the learner
// has caught up.
type change struct {
	ctx     context.Context
	attempt func(n *replication.Node) (index uint64, err error)
	term    uint64
	answer  answer
}

// AddReplica adds a replica as a learner. Its id must be larger than every id
// that the group ever used.
func (r *Replica) AddReplica(ctx context.Context, p replication.Peer) error {
	return r.change(ctx, func(n *replication.Node) (uint64, error) { return n.AddLearner(p) })
}

// PromoteReplica makes a learner a voter once it has caught up. It waits for
// that as long as ctx allows.
func (r *Replica) PromoteReplica(ctx context.Context, id uint64) error {
	return r.change(ctx, func(n *replication.Node) (uint64, error) { return n.Promote(id) })
}

// RemoveReplica removes a replica. The leader must hand over its leadership first.
func (r *Replica) RemoveReplica(ctx context.Context, id uint64) error {
	return r.change(ctx, func(n *replication.Node) (uint64, error) { return n.Remove(id) })
}

func (r *Replica) change(ctx context.Context, attempt func(*replication.Node) (uint64, error)) error {
	c := &change{ctx: ctx, attempt: attempt, answer: newAnswer()}
	_, err := r.submit(ctx, c, c.answer)
	return err
}

func (c *change) begin(r *Replica) {
	if err := r.unavailable(); err != nil {
		c.answer <- outcome{err: err}
		return
	}
	r.followLeadership()
	c.try(r)
}

// try attempts the change and keeps it if the core asks to wait.
func (c *change) try(r *Replica) {
	if c.ctx.Err() != nil {
		c.answer <- outcome{err: c.ctx.Err()}
		return
	}
	index, err := c.attempt(r.node)
	switch err {
	case nil:
	case replication.ErrChangePending, replication.ErrNotCaughtUp:
		r.changes = append(r.changes, c)
		return
	default:
		c.answer <- outcome{err: r.translate(err)}
		return
	}
	if index <= r.node.Applied() {
		c.answer <- outcome{}
		return
	}
	c.term, _ = r.node.Leadership()
	r.committed[index] = c
}

func (r *Replica) retryChanges() {
	waiting := r.changes
	r.changes = nil
	for _, c := range waiting {
		c.try(r)
	}
}

func (c *change) finish(r *Replica, term uint64) {
	if term != c.term {
		c.answer <- outcome{err: &NotLeaderError{Leader: r.leaderHint()}}
		return
	}
	c.answer <- outcome{}
}

// TransferLeadership asks the replica to to take over, and returns once the
// order is given; 0 picks the most up-to-date voter. Proposals are refused with
// *NotLeaderError until it has, or until an election timeout has passed.
func (r *Replica) TransferLeadership(ctx context.Context, to uint64) error {
	return r.change(ctx, func(n *replication.Node) (uint64, error) {
		if to == replication.None {
			to = n.MostUpToDateVoter()
		}
		return 0, n.TransferLeadership(to)
	})
}
