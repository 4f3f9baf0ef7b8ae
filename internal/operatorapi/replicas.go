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

// changeReplica changes the control group and answers with the replicas afterwards.
// A change that is done already succeeds, so that a resend is safe.
func (s *server) changeReplica(r *call) (*reply, error) {
	var change controlapi.ReplicaChange
	if err := decode(r, &change); err != nil {
		return nil, err
	}
	if err := checkReplicaChange(&change); err != nil {
		return nil, err
	}
	if s.ChangeReplica == nil {
		return nil, errkind.New(errkind.Forbidden, "this host passes no changes of replicas on")
	}
	before, err := s.listReplicas(r.Context())
	if err != nil {
		return nil, err
	}
	if isDone(&change, before.Replicas) {
		return ok(before), nil
	}
	failed := s.ChangeReplica(r.Context(), &change)
	after, err := s.listReplicas(r.Context())
	if err == nil && (failed == nil || isDone(&change, after.Replicas)) {
		return ok(after), nil
	}
	return nil, unconfirmed(r.Context(), errors.Join(failed, err))
}

func checkReplicaChange(change *controlapi.ReplicaChange) error {
	actions := []controlapi.ReplicaAction{
		controlapi.ReplicaAdd, controlapi.ReplicaPromote, controlapi.ReplicaRemove, controlapi.ReplicaLead,
	}
	if !slices.Contains(actions, change.Action) {
		return errkind.New(errkind.InvalidRequest, "unknown action %q", change.Action)
	}
	if change.ID == 0 {
		return errkind.New(errkind.InvalidRequest, "id must be 1 or more")
	}
	if change.Action != controlapi.ReplicaAdd {
		return nil
	}
	address, err := netip.ParseAddrPort(change.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		return errkind.New(errkind.InvalidRequest, "address: %q is no IP:port", change.Address)
	}
	return nil
}

func isDone(change *controlapi.ReplicaChange, replicas []controlapi.ReplicaStatus) bool {
	at := slices.IndexFunc(replicas, func(r controlapi.ReplicaStatus) bool { return r.ID == change.ID })
	if at < 0 {
		return change.Action == controlapi.ReplicaRemove
	}
	switch replica := replicas[at]; change.Action {
	case controlapi.ReplicaAdd:
		return replica.Address == change.Address
	case controlapi.ReplicaPromote:
		return replica.Role != controlapi.RoleLearner
	case controlapi.ReplicaLead:
		return replica.Role == controlapi.RoleLeader
	}
	return false
}
