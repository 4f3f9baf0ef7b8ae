package controlgroup

import (
	"context"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/rpc"
)

// RegisterRelay adds the methods by which a host passes calls on to the control
// group for hosts that cannot reach it. client must use no relays itself, so a
// call is passed on once at most.
func RegisterRelay(srv *rpc.Server, client *Client) {
	rpc.Handle(srv, relayPrefix+MethodExecute, relayed[ExecuteRequest, ExecuteReply](client, MethodExecute))
	rpc.Handle(srv, relayPrefix+MethodQuery, relayed[controlapi.QueryRequest, QueryReply](client, MethodQuery))
	rpc.Handle(srv, relayPrefix+MethodChangeReplica, relayed[controlapi.ReplicaChange, ReplicaChangeReply](client, MethodChangeReplica))
	rpc.Handle(srv, relayPrefix+MethodHeartbeat, relayed[controlapi.Heartbeat, HeartbeatReply](client, MethodHeartbeat))
}

func relayed[Req any, Resp redirected](client *Client, method string) func(context.Context, *Req) (*Resp, error) {
	return func(ctx context.Context, req *Req) (*Resp, error) {
		return call[Req, Resp](ctx, client, method, req)
	}
}
