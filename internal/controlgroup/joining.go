package controlgroup

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/timing"
)

// ConfirmMayJoin waits for the control group to confirm that replica id, whose disk
// is empty, may wait to be added: that the group does not rely on anything that a
// replica with this ID has acknowledged. Otherwise it returns an error: the replica
// has lost its disk and must join under a new ID.
func ConfirmMayJoin(ctx context.Context, client *rpc.Client, group *Client, id uint64) error {
	for {
		reply, err := group.Query(ctx, &controlapi.QueryRequest{Replicas: true})
		if err == nil {
			return confirmIDUnused(ctx, client, reply.Replicas, id)
		}
		if !timing.Sleep(ctx, confirmRetryDelay) {
			return eris.Wrapf(ctx.Err(), "the control group has not confirmed that replica id %d may join", id)
		}
	}
}

// confirmIDUnused rejects an ID that belongs to a voter, or to a learner from which the
// leader has received messages.
func confirmIDUnused(ctx context.Context, client *rpc.Client, replicas []controlapi.ReplicaStatus, id uint64) error {
	own := slices.IndexFunc(replicas, func(r controlapi.ReplicaStatus) bool { return r.ID == id })
	if own < 0 {
		return nil
	}
	if replicas[own].Role != controlapi.RoleLearner {
		return errkind.New(errkind.StorageFailed,
			"replica id %d is a voter of the group, but its disk is empty; join under a new id", id)
	}
	for _, r := range replicas {
		if r.Role == controlapi.RoleLeader {
			return confirmUnseenBy(ctx, client, id, r.Address)
		}
	}
	return nil
}
