// Package fakecontrol is an in-memory controlapi.Client for tests: the state
// machine of the control group without replication, with faults on demand.
package fakecontrol

import (
	"context"
	"sync"

	"github.com/godwitbend/godwitbend/internal/control"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// Control is the fake. The exported fields may be set while no call runs.
type Control struct {
	// Replicas is given as it is.
	Replicas []controlapi.ReplicaStatus
	// CanLose is the number of replicas that the group can still lose.
	CanLose int
	// HostRevision is the revision that each host says it serves under.
	HostRevision uint64
	// PendingReplies is the number of times a change is answered as not yet accepted.
	PendingReplies int
	// LostReplies is the number of commands that commit while their answer is lost.
	LostReplies int
	// Down makes every call fail before it commits.
	Down bool

	mu      sync.Mutex
	machine *control.Machine
}

// New returns a fake with one host, "a", that supports all schema versions.
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
	if c.Down {
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
	if c.Down {
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
