// Package controlgroup connects hosts to the control group: the server side on
// each control replica, the client side on each host, and the leader's leases.
package controlgroup

import "github.com/godwitbend/godwitbend/internal/controlapi"

// Names of the methods between hosts.
const (
	MethodExecute       = "control/execute"
	MethodQuery         = "control/query"
	MethodHeartbeat     = "control/heartbeat"
	MethodChangeReplica = "control/change-replica"
	MethodDeliver       = "replication/deliver"
)

// relayPrefix, before the name of a control method, asks a host to pass the call on.
const relayPrefix = "relay/"

// ExecuteRequest carries a command to the leader.
type ExecuteRequest struct {
	Command controlapi.Command `cbor:"1,keyasint"`
}

// redirect is embedded in replies of a replica that is not the leader.
type redirect struct {
	// NotLeader tells that the replica did not serve the call.
	NotLeader bool `cbor:"20,keyasint,omitempty"`
	// Leader is the address of the leader, if the replica knows it.
	Leader string `cbor:"21,keyasint,omitempty"`
}

// ExecuteReply carries the result of a committed command.
type ExecuteReply struct {
	Result controlapi.Result `cbor:"1,keyasint"`
	redirect
}

// QueryReply carries the answer of a query.
type QueryReply struct {
	Reply controlapi.QueryReply `cbor:"1,keyasint"`
	redirect
}

// HeartbeatReply carries the answer of a heartbeat.
type HeartbeatReply struct {
	Reply controlapi.HeartbeatReply `cbor:"1,keyasint"`
	redirect
}
