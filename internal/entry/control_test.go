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

// localControl runs the control group's state machine in memory, without replication.
type localControl struct {
	mu      sync.Mutex
	machine *control.Machine
	// unavailable makes every call fail before it commits.
	unavailable bool
	// loseReplyTo names a command whose next reply is dropped after the commit.
	loseReplyTo string
	// beforeSettle, if set, is called before a Settle is committed.
	beforeSettle func()
	// afterBegin, if set, is called after a Begin was committed.
	afterBegin func()
	// committed holds the names of the committed commands.
	committed []string
	// reserved holds the tokens that each committed Begin reserved, by request id.
	reserved map[string]int64
}

func newLocalControl() *localControl {
	return &localControl{machine: control.NewMachine(), reserved: map[string]int64{}}
}

// Execute implements controlapi.Client.
func (c *localControl) Execute(_ context.Context, cmd *controlapi.Command) (*controlapi.Result, error) {
	if cmd.Settle != nil && c.beforeSettle != nil {
		c.beforeSettle()
	}
	if cmd.Begin != nil && c.afterBegin != nil {
		defer c.afterBegin()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unavailable {
		return nil, errkind.New(errkind.ControlUnavailable, "no leader")
	}
	cmd.TimeMS = time.Now().UnixMilli()
	result := c.machine.Execute(cmd)
	if err := c.machine.CheckInvariants(); err != nil {
		panic(err)
	}
	name := commandName(cmd)
	c.committed = append(c.committed, name)
	if cmd.Begin != nil && result.Err == nil {
		c.reserved[cmd.Begin.RequestID] = cmd.Begin.Tokens
	}
	if c.loseReplyTo == name {
		c.loseReplyTo = ""
		return nil, errkind.New(errkind.ControlUnavailable, "the reply was lost")
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
	if c.unavailable {
		return nil, errkind.New(errkind.ControlUnavailable, "no leader")
	}
	return c.machine.Query(q), nil
}

// hostControl is the control group client of one host, which can be cut off.
type hostControl struct {
	*localControl
	terminated atomic.Bool
}

// Execute implements controlapi.Client.
func (c *hostControl) Execute(ctx context.Context, cmd *controlapi.Command) (*controlapi.Result, error) {
	if c.terminated.Load() {
		return nil, errkind.New(errkind.ControlUnavailable, "the host is terminated")
	}
	return c.localControl.Execute(ctx, cmd)
}

// setUnavailable makes the control group unavailable or available.
func (c *localControl) setUnavailable(unavailable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailable = unavailable
}

// committedCount returns how many commands of the given name were committed.
func (c *localControl) committedCount(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, entry := range c.committed {
		if entry == name {
			n++
		}
	}
	return n
}

// onlyRecord returns the single record, or a zero value if there isn't exactly one.
func (c *localControl) onlyRecord() controlapi.RequestStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := c.machine.Query(&controlapi.QueryRequest{Requests: true})
	if len(reply.Requests) != 1 {
		return controlapi.RequestStatus{}
	}
	return reply.Requests[0]
}

// charged returns the total charged to the budget.
func (c *localControl) charged() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Query(&controlapi.QueryRequest{Budgets: true}).Budgets[0].Charged
}
