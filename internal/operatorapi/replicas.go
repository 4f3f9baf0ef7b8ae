package operatorapi

import (
	"context"
	"errors"
	"net/netip"
	"slices"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

func (s *server) listReplicas(ctx context.Context) (*ReplicasReply, error) {
	found, err := s.Control.Query(ctx, &controlapi.QueryRequest{Replicas: true})
	if err != nil {
		return nil, err
	}
	return &ReplicasReply{Replicas: orEmpty(found.Replicas), CanLose: found.CanLose}, nil
}

func (s *server) replicas(r *call) (*reply, error) {
	list, err := s.listReplicas(r.Context())
	if err != nil {
		return nil, err
	}
	return ok(list), nil
}

// changeReplica changes the control group and replies with the resulting replicas. A
// change that is already applied succeeds, so that a resend is safe.
func (s *server) changeReplica(r *call) (*reply, error) {
	var change controlapi.ReplicaChange
	if err := decode(r, &change); err != nil {
		return nil, err
	}
	if err := checkReplicaChange(&change); err != nil {
		return nil, err
	}
	if s.ChangeReplica == nil {
		return nil, errkind.New(errkind.Forbidden, "this host does not forward replica changes")
	}
	before, err := s.listReplicas(r.Context())
	if err != nil {
		return nil, err
	}
	if isApplied(&change, before.Replicas) {
		return ok(before), nil
	}
	changeErr := s.ChangeReplica(r.Context(), &change)
	after, err := s.listReplicas(r.Context())
	if err == nil && (changeErr == nil || isApplied(&change, after.Replicas)) {
		return ok(after), nil
	}
	return nil, changeError(r.Context(), errors.Join(changeErr, err))
}

func checkReplicaChange(change *controlapi.ReplicaChange) error {
	actions := []controlapi.ReplicaAction{
		controlapi.ReplicaAdd, controlapi.ReplicaPromote, controlapi.ReplicaRemove, controlapi.ReplicaLead,
	}
	if !slices.Contains(actions, change.Action) {
		return errkind.New(errkind.InvalidRequest, "unknown action %q", change.Action)
	}
	if change.ID == 0 {
		return errkind.New(errkind.InvalidRequest, "id must be at least 1")
	}
	if change.Action != controlapi.ReplicaAdd {
		return nil
	}
	address, err := netip.ParseAddrPort(change.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		return errkind.New(errkind.InvalidRequest, "address: %q is not a valid IP:port", change.Address)
	}
	return nil
}

// isApplied reports whether replicas already show the result of change.
func isApplied(change *controlapi.ReplicaChange, replicas []controlapi.ReplicaStatus) bool {
	index := slices.IndexFunc(replicas, func(r controlapi.ReplicaStatus) bool { return r.ID == change.ID })
	if index < 0 {
		return change.Action == controlapi.ReplicaRemove
	}
	switch replica := replicas[index]; change.Action {
	case controlapi.ReplicaAdd:
		return replica.Address == change.Address
	case controlapi.ReplicaPromote:
		return replica.Role != controlapi.RoleLearner
	case controlapi.ReplicaLead:
		return replica.Role == controlapi.RoleLeader
	}
	return false
}
