// Package fakecontrol is an in-memory controlapi.Client for tests of the
// operators' side. It keeps records, budgets and results of operations only.
package fakecontrol

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// Control is the fake. The exported fields may be set while no call runs.
type Control struct {
	// Hosts, Replicas and Requests are given as they are.
	Hosts    []controlapi.HostInfo
	Replicas []controlapi.ReplicaStatus
	Requests []controlapi.RequestStatus
	// PendingReplies is the number of times a change is answered as not yet accepted.
	PendingReplies int
	// LostReplies is the number of commands that commit while their answer is lost.
	LostReplies int
	// Down makes every call fail before it commits.
	Down bool

	mu       sync.Mutex
	revision uint64
	records  map[recordKey]config.Record
	budgets  map[string]*controlapi.BudgetStatus
	results  map[string]*controlapi.Result
	history  []controlapi.HistoryEntry
}

type recordKey struct {
	kind config.Kind
	name string
}

// New returns an empty fake.
func New() *Control {
	return &Control{
		records: map[recordKey]config.Record{},
		budgets: map[string]*controlapi.BudgetStatus{},
		results: map[string]*controlapi.Result{},
	}
}

// Execute implements controlapi.Client for Configure and TopUp.
func (c *Control) Execute(_ context.Context, command *controlapi.Command) (*controlapi.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Down {
		return nil, errkind.New(errkind.ControlUnavailable, "no leader")
	}
	result := c.once(command)
	if c.LostReplies > 0 {
		c.LostReplies--
		return nil, errkind.New(errkind.ControlUnavailable, "the answer was lost")
	}
	if result.Configure == nil || result.Err != nil {
		return result, nil
	}
	answer := *result.Configure
	answer.Accepted = c.PendingReplies == 0
	c.PendingReplies = max(0, c.PendingReplies-1)
	return &controlapi.Result{Configure: &answer}, nil
}

// once runs a command, or returns the result of the operation that has its id.
func (c *Control) once(command *controlapi.Command) *controlapi.Result {
	id := ""
	switch {
	case command.Configure != nil:
		id = command.Configure.OperationID
	case command.TopUp != nil:
		id = command.TopUp.OperationID
	}
	if result, done := c.results[id]; done {
		return result
	}
	result := c.run(command)
	c.results[id] = result
	return result
}

func (c *Control) run(command *controlapi.Command) *controlapi.Result {
	switch {
	case command.Configure != nil:
		return c.configure(command.Configure)
	case command.TopUp != nil:
		return c.topUp(command.TopUp)
	default:
		return &controlapi.Result{Err: errkind.New(errkind.Internal, "not a command of operators")}
	}
}

func (c *Control) configure(request *controlapi.ConfigureRequest) *controlapi.Result {
	for _, w := range request.Writes {
		present, exists := c.records[recordKey{w.Record.Kind, w.Record.Name}]
		if !w.Force && w.IfRevision != present.Revision {
			reply := &controlapi.ConfigureReply{Revision: c.revision}
			if exists {
				reply.Winner = &present
			}
			err := errkind.New(errkind.Conflict, "%s %q is at revision %d", w.Record.Kind, w.Record.Name, present.Revision)
			return &controlapi.Result{Err: err, Configure: reply}
		}
	}
	c.revision++
	reply := &controlapi.ConfigureReply{Revision: c.revision}
	for _, w := range request.Writes {
		record := w.Record
		record.Revision = c.revision
		c.write(record)
		reply.Records = append(reply.Records, record)
		c.history = append(c.history, controlapi.HistoryEntry{
			Revision: c.revision, OperationID: request.OperationID, Operator: request.Operator,
			Kind: record.Kind, Name: record.Name, Deleted: record.Deleted,
		})
	}
	return &controlapi.Result{Configure: reply}
}

func (c *Control) write(record config.Record) {
	key := recordKey{record.Kind, record.Name}
	if record.Deleted {
		delete(c.records, key)
		return
	}
	c.records[key] = record
	if record.Kind == config.KindBudget && c.budgets[record.Name] == nil {
		c.budgets[record.Name] = &controlapi.BudgetStatus{Budget: record.Name}
	}
}

func (c *Control) topUp(request *controlapi.TopUpRequest) *controlapi.Result {
	budget := c.budgets[request.Budget]
	if budget == nil {
		return &controlapi.Result{Err: errkind.New(errkind.NotFound, "no budget %q", request.Budget)}
	}
	budget.PaidIn += request.Tokens
	status := *budget
	return &controlapi.Result{Budget: &status}
}

// Query implements controlapi.Client.
func (c *Control) Query(_ context.Context, request *controlapi.QueryRequest) (*controlapi.QueryReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Down {
		return nil, errkind.New(errkind.ControlUnavailable, "no leader")
	}
	reply := &controlapi.QueryReply{Revision: c.revision, Schema: 1}
	switch {
	case request.Records != "":
		reply.Records = c.find(request.Records, request.Name)
	case request.Budgets:
		for _, b := range c.budgets {
			reply.Budgets = append(reply.Budgets, *b)
		}
		slices.SortFunc(reply.Budgets, func(a, b controlapi.BudgetStatus) int { return strings.Compare(a.Budget, b.Budget) })
	case request.Request != "":
		for _, r := range c.Requests {
			if r.RequestID == request.Request {
				reply.Requests = append(reply.Requests, r)
			}
		}
	case request.Requests:
		reply.Requests = c.Requests
	case request.History:
		for _, h := range c.history {
			if h.Revision > request.HistoryMin {
				reply.History = append(reply.History, h)
			}
		}
	case request.Hosts:
		reply.Hosts = c.Hosts
	case request.Replicas:
		reply.Replicas = c.Replicas
	}
	return reply, nil
}

func (c *Control) find(kind config.Kind, name string) []config.Record {
	var found []config.Record
	for key, record := range c.records {
		if (kind == "*" || kind == key.kind) && (name == "" || name == key.name) {
			found = append(found, record)
		}
	}
	slices.SortFunc(found, func(a, b config.Record) int {
		return strings.Compare(string(a.Kind)+"/"+a.Name, string(b.Kind)+"/"+b.Name)
	})
	return found
}
