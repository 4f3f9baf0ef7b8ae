// Package fakecontrol provides an in-memory controlapi.Client for tests: the state
// machine of the control group without replication, with fault injection.
package fakecontrol

import (
	"context"
	"sync"

	"github.com/godwitbend/godwitbend/internal/control"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// Control is a simulated control group. The exported fields may be set while no call runs.
type Control struct {
	// Replicas is returned unchanged by queries for the replicas.
	Replicas []controlapi.ReplicaStatus
	// CanLose is the reported number of replicas that may still fail without loss of the quorum.
	CanLose int
	// HostRevision is the reported configuration revision of each host.
	HostRevision uint64
	// PendingReplies is the number of further configuration changes that are answered as pending
	// instead of accepted.
	PendingReplies int
	// LostReplies is the number of further commands that commit but whose answer is lost.
	LostReplies int
	// Unavailable makes every call fail before it commits.
	Unavailable bool

	mu      sync.Mutex
	machine *control.Machine
}

// New returns a control group with one host, "a", that supports all schema versions.
func New() *Control {
	c := &Control{machine: control.NewMachine()}
	c.machine.Execute(&controlapi.Command{OpenSession: &controlapi.OpenSession{
		Session: "s1", Host: "a", Zone: "z1", Address: "127.0.0.2:1", SchemaMin: 1, SchemaMax: 2,
	}})
	return c
}

// Execute implements controlapi.Client.
func (c *Control) Execute(_ context.Context, command *controlapi.Command) (*controlapi.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Unavailable {
		return nil, errkind.New(errkind.ControlUnavailable, "no leader")
	}
	result := c.machine.Execute(command)
	if c.LostReplies > 0 {
		c.LostReplies--
		return nil, errkind.New(errkind.ControlUnavailable, "the answer was lost")
	}
	if result.Configure != nil && result.Err == nil {
		result.Configure.Accepted = c.PendingReplies == 0
		c.PendingReplies = max(0, c.PendingReplies-1)
	}
	return result, nil
}

// Query implements controlapi.Client.
func (c *Control) Query(_ context.Context, request *controlapi.QueryRequest) (*controlapi.QueryReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Unavailable {
		return nil, errkind.New(errkind.ControlUnavailable, "no leader")
	}
	reply := c.machine.Query(request)
	for i := range reply.Hosts {
		reply.Hosts[i].Revision = c.HostRevision
	}
	if request.Replicas {
		reply.Replicas = c.Replicas
		reply.CanLose = &c.CanLose
	}
	return reply, nil
}
