package controlgroup

import (
	"context"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/rpc"
)

// RegisterRelay adds the methods by which a host relays calls to the control group for
// hosts that cannot reach it. client must not use relays itself, so that a call is
// relayed at most once.
func RegisterRelay(srv *rpc.Server, client *Client) {
	rpc.Handle(srv, relayPrefix+MethodExecute, relayHandler[ExecuteRequest, ExecuteReply](client, MethodExecute))
	rpc.Handle(srv, relayPrefix+MethodQuery, relayHandler[controlapi.QueryRequest, QueryReply](client, MethodQuery))
	rpc.Handle(srv, relayPrefix+MethodChangeReplica, relayHandler[controlapi.ReplicaChange, ReplicaChangeReply](client, MethodChangeReplica))
	rpc.Handle(srv, relayPrefix+MethodHeartbeat, relayHandler[controlapi.Heartbeat, HeartbeatReply](client, MethodHeartbeat))
}

func relayHandler[Req any, Resp redirectable](client *Client, method string) func(context.Context, *Req) (*Resp, error) {
	return func(ctx context.Context, req *Req) (*Resp, error) {
		return call[Req, Resp](ctx, client, method, req)
	}
}
