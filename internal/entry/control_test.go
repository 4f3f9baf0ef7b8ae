package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwitbend/godwitbend/internal/control"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// localControl is the control group's state machine in memory, without replicas.
type localControl struct {
	mu      sync.Mutex
	machine *control.Machine
	// down makes every call fail before it commits.
	down bool
	// loseAnswer names a command whose next answer is lost after it committed.
	loseAnswer string
	// onSettle, if set, is called before a Settle is committed.
	onSettle func()
	// onBegun, if set, is called after a Begin has committed.
	onBegun func()
	// log holds the names of the commands that committed.
	log []string
	// reserved holds the reservations that the committed Begins asked for.
	reserved map[string]int64
}

func newLocalControl() *localControl {
	return &localControl{machine: control.NewMachine(), reserved: map[string]int64{}}
}

// Execute implements controlapi.Client.
func (c *localControl) Execute(_ context.Context, cmd *controlapi.Command) (*controlapi.Result, error) {
	if cmd.Settle != nil && c.onSettle != nil {
		c.onSettle()
	}
	if cmd.Begin != nil && c.onBegun != nil {
		defer c.onBegun()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return nil, errkind.New(errkind.ControlUnavailable, "no leader")
	}
	cmd.TimeMS = time.Now().UnixMilli()
	result := c.machine.Execute(cmd)
	if err := c.machine.CheckInvariants(); err != nil {
		panic(err)
	}
	name := commandName(cmd)
	c.log = append(c.log, name)
	if cmd.Begin != nil && result.Err == nil {
		c.reserved[cmd.Begin.RequestID] = cmd.Begin.Tokens
	}
	if c.loseAnswer == name {
		c.loseAnswer = ""
		return nil, errkind.New(errkind.ControlUnavailable, "the answer was lost")
	}
	return result, nil
}

func commandName(cmd *controlapi.Command) string {
	switch {
	case cmd.Begin != nil:
		return "begin"
	case cmd.Dispatch != nil:
		return "dispatch"
	case cmd.Settle != nil:
		return "settle"
	case cmd.Release != nil:
		return "release"
	case cmd.Crash != nil:
		return "crash"
	default:
		return "other"
	}
}

// Query implements controlapi.Client.
func (c *localControl) Query(_ context.Context, q *controlapi.QueryRequest) (*controlapi.QueryReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return nil, errkind.New(errkind.ControlUnavailable, "no leader")
	}
	return c.machine.Query(q), nil
}

// hostControl is the control group as one host reaches it.
type hostControl struct {
	*localControl
	dead atomic.Bool
}

// Execute implements controlapi.Client.
func (c *hostControl) Execute(ctx context.Context, cmd *controlapi.Command) (*controlapi.Result, error) {
	if c.dead.Load() {
		return nil, errkind.New(errkind.ControlUnavailable, "the host is lost")
	}
	return c.localControl.Execute(ctx, cmd)
}

// setDown cuts the group off or brings it back.
func (c *localControl) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// count returns how many commands of a name committed.
func (c *localControl) count(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, entry := range c.log {
		if entry == name {
			n++
		}
	}
	return n
}

// only returns the single record.
func (c *localControl) only() controlapi.RequestStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := c.machine.Query(&controlapi.QueryRequest{Requests: true})
	if len(reply.Requests) != 1 {
		return controlapi.RequestStatus{}
	}
	return reply.Requests[0]
}

// charged returns the charge of the budget.
func (c *localControl) charged() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Query(&controlapi.QueryRequest{Budgets: true}).Budgets[0].Charged
}
