package controlgroup

import (
	"context"
	"errors"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/replica"
	"github.com/godwitbend/godwitbend/internal/replication"
)

// MethodChangeReplica changes the membership or the leader of the control group.
const MethodChangeReplica = "control/change-replica"

// ChangeReplicaReply tells that a change is committed.
type ChangeReplicaReply struct {
	redirect
}

// ChangeReplica has the leader change the control group. A change that is not known
// to be done gives ControlUnavailable; it may still come about.
func (c *Client) ChangeReplica(ctx context.Context, change *controlapi.ReplicaChange) error {
	_, err := call[controlapi.ReplicaChange, ChangeReplicaReply](ctx, c, MethodChangeReplica, change)
	return err
}

// ChangeReplica changes the membership or the leader, if this replica leads.
func (s *Server) ChangeReplica(ctx context.Context, change *controlapi.ReplicaChange) (*ChangeReplicaReply, error) {
	if change.Action == controlapi.ReplicaAdd && s.o.Addresses(change.ID) != change.Address {
		return nil, errkind.New(errkind.InvalidRequest,
			"the settings of the leader's host do not list replica %d at %s", change.ID, change.Address)
	}
	err := changeReplica(ctx, s.Replica(), change)
	if err == nil {
		return &ChangeReplicaReply{}, nil
	}
	if refused := refusedChange(err); refused != nil {
		return nil, refused
	}
	moved, err := s.redirect(err)
	return &ChangeReplicaReply{redirect: deref(moved)}, err
}

func changeReplica(ctx context.Context, r *replica.Replica, change *controlapi.ReplicaChange) error {
	switch change.Action {
	case controlapi.ReplicaAdd:
		return r.AddReplica(ctx, replication.Peer{ID: change.ID, Address: change.Address})
	case controlapi.ReplicaPromote:
		return r.PromoteReplica(ctx, change.ID)
	case controlapi.ReplicaRemove:
		return r.RemoveReplica(ctx, change.ID)
	case controlapi.ReplicaLead:
		return r.TransferLeadership(ctx, change.ID)
	default:
		return errkind.New(errkind.InvalidRequest, "unknown action %q", change.Action)
	}
}

// refusedChange returns the answer to a change that the group refuses, or nil for
// an error of another kind.
func refusedChange(err error) error {
	var listed *errkind.Error
	switch {
	case errors.As(err, &listed):
		return listed
	case errors.Is(err, replication.ErrUnknownPeer):
		return errkind.New(errkind.NotFound, "%v", err)
	case errors.Is(err, replication.ErrIDUsed),
		errors.Is(err, replication.ErrRemoveLeader),
		errors.Is(err, replication.ErrTooFewVoters):
		return errkind.New(errkind.Conflict, "%v", err)
	}
	return nil
}
