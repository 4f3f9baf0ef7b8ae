package controlgroup

import (
	"context"
	"errors"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/replica"
	"github.com/godwitbend/godwitbend/internal/replication"
)

// ReplicaChangeReply is the reply to a change of the membership or the leader.
type ReplicaChangeReply struct {
	redirect
}

// ChangeReplica changes the membership or the leader of the control group.
func (s *Server) ChangeReplica(ctx context.Context, req *controlapi.ReplicaChange) (*ReplicaChangeReply, error) {
	err := changeReplica(ctx, s.Replica(), req)
	if err == nil {
		return &ReplicaChangeReply{}, nil
	}
	if refusal := changeRefusal(err); refusal != nil {
		return nil, refusal
	}
	redirection, err := s.redirect(err)
	return &ReplicaChangeReply{redirect: redirection}, err
}

// changeRefusal returns the error of a listed kind for a change that the group
// refuses, or nil if err is not a refusal.
func changeRefusal(err error) error {
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

func changeReplica(ctx context.Context, r *replica.Replica, req *controlapi.ReplicaChange) error {
	switch req.Action {
	case controlapi.ReplicaAdd:
		return r.AddReplica(ctx, replication.Peer{ID: req.ID, Address: req.Address, Learner: true})
	case controlapi.ReplicaPromote:
		return r.PromoteReplica(ctx, req.ID)
	case controlapi.ReplicaRemove:
		return r.RemoveReplica(ctx, req.ID)
	case controlapi.ReplicaLead:
		return r.TransferLeadership(ctx, req.ID)
	}
	return errkind.New(errkind.InvalidRequest, "unknown action %q", req.Action)
}

// ChangeReplica asks the leader to change the membership or the leader of the control
// group.
func (c *Client) ChangeReplica(ctx context.Context, req *controlapi.ReplicaChange) error {
	_, err := call[controlapi.ReplicaChange, ReplicaChangeReply](ctx, c, MethodChangeReplica, req)
	return err
}

// address returns the address of a replica from the membership, or from the settings
// if the membership does not contain it.
func (s *Server) address(id uint64) string {
	if r := s.Replica(); r != nil {
		for _, p := range r.Status().Peers {
			if p.ID == id && p.Address != "" {
				return p.Address
			}
		}
	}
	return s.options.ReplicaAddress(id)
}

// Address returns the address at which hosts reach a replica.
func (s *Server) Address(id uint64) string { return s.address(id) }

// replicaAddresses returns the addresses of the voters.
func (s *Server) replicaAddresses() []string {
	var out []string
	for _, p := range s.Replica().Status().Peers {
		if !p.Learner {
			out = append(out, s.address(p.ID))
		}
	}
	return out
}

// fillReplicas fills in the membership and its state as known to this replica.
func (s *Server) fillReplicas(out *controlapi.QueryReply) {
	status := s.Replica().Status()
	for _, p := range status.Peers {
		out.Replicas = append(out.Replicas, controlapi.ReplicaStatus{
			ID:      p.ID,
			Address: s.address(p.ID),
			Role:    roleOf(p, status.Leader),
			Term:    status.Term,
			Applied: status.Applied,
			Match:   p.Match,
		})
	}
	if status.CanLose >= 0 {
		canLose := status.CanLose
		out.CanLose = &canLose
	}
}

func roleOf(p replication.PeerStatus, leader uint64) string {
	switch {
	case p.ID == leader:
		return controlapi.RoleLeader
	case p.Learner:
		return controlapi.RoleLearner
	}
	return controlapi.RoleFollower
}
