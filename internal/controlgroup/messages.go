// Package controlgroup connects hosts to the control group. It contains the server on
// each control replica, the client on each host, the leader's table of configuration
// leases and the transport of Raft messages between replicas.
package controlgroup

import "github.com/godwitbend/godwitbend/internal/controlapi"

// Names of the RPC methods between hosts.
const (
	MethodExecute       = "control/execute"
	MethodQuery         = "control/query"
	MethodHeartbeat     = "control/heartbeat"
	MethodChangeReplica = "control/change-replica"
	MethodDeliver       = "replication/deliver"
)

// relayPrefix in front of the name of a control method asks a host to relay the call
// to the control group.
const relayPrefix = "relay/"

// ExecuteRequest carries a command to the leader.
type ExecuteRequest struct {
	Command controlapi.Command `cbor:"1,keyasint"`
}

// redirect is embedded in replies of a replica that is not the leader.
type redirect struct {
	// NotLeader is set if the replica did not serve the call.
	NotLeader bool `cbor:"20,keyasint,omitempty"`
	// Leader is the address of the leader, or empty if the replica does not know it.
	Leader string `cbor:"21,keyasint,omitempty"`
}

// ExecuteReply carries the result of a committed command.
type ExecuteReply struct {
	Result controlapi.Result `cbor:"1,keyasint"`
	redirect
}

// QueryReply carries the reply to a query.
type QueryReply struct {
	Reply controlapi.QueryReply `cbor:"1,keyasint"`
	redirect
}

// HeartbeatReply carries the reply to a heartbeat.
type HeartbeatReply struct {
	Reply controlapi.HeartbeatReply `cbor:"1,keyasint"`
	redirect
}
