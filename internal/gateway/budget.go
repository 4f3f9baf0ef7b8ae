package gateway

import (
	"context"
	"time"

	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/prepaid"
)

const (
	// tokensWait bounds the wait for the control group. It answers within some ten
	// milliseconds, and within a hundred where it serves many hosts.
	tokensWait = 200 * time.Millisecond
	// tokensRetry is when a host is likely to have got tokens that others gave back.
	tokensRetry = 500 * time.Millisecond
	// cutOffRetry is the time to come back to a host without tokens that is cut off.
	cutOffRetry = time.Second
)

// budgeted tells whether the request draws on a prepaid budget.
func (q *request) budgeted() bool {
	return q.organisation != nil && q.organisation.Prepaid != nil && q.InputTokens+q.OutputTokens > 0
}

// reserve sets the worst case of the request aside. If this host holds too
// little, it asks the control group while that can be reached, and then other hosts.
func (q *request) reserve() *errkind.Error {
	if !q.budgeted() {
		return nil
	}
	need := q.cost().worst()
	if need > *q.organisation.Prepaid {
		return errkind.New(errkind.BudgetExhausted, "the request is larger than what was paid in")
	}
	switch q.tryReserve(need) {
	case prepaid.Granted:
		return nil
	case prepaid.Exhausted:
		return q.exhausted(need)
	case prepaid.Short:
	}
	inTouch := q.handler.Sync.InTouch(time.Now()) && q.awaitGroup()
	if inTouch {
		switch q.tryReserve(need) {
		case prepaid.Granted:
			return nil
		case prepaid.Exhausted:
			return q.exhausted(need)
		case prepaid.Short:
		}
	}
	lacking := need - max(q.tokens.Allowed, 0)
	if q.handler.Sync.Fetch(q.ctx, q.organisation.Name, lacking) && q.tryReserve(need) == prepaid.Granted {
		return nil
	}
	retry := cutOffRetry
	if inTouch {
		retry = tokensRetry
	}
	return errkind.New(errkind.BudgetReserved, "this host lacks %d tokens", need).WithRetryAfter(retry)
}

func (q *request) awaitGroup() bool {
	waiting, cancel := context.WithTimeout(q.ctx, tokensWait)
	defer cancel()
	return q.handler.Sync.AwaitContact(waiting)
}

func (q *request) tryReserve(need int64) prepaid.Verdict {
	d := q.handler.Sync.Allowance().Reserve(q.organisation.Name, need, q.handler.Clock())
	q.tokens = &d
	if d.Verdict == prepaid.Granted {
		q.reserved = need
	}
	return d.Verdict
}

func (q *request) exhausted(need int64) *errkind.Error {
	return errkind.New(errkind.BudgetExhausted, "the balance does not cover %d tokens", need)
}

// cost returns how the request is charged.
func (q *request) cost() tokenCost {
	c := tokenCost{input: q.InputTokens, output: q.OutputTokens, perEvent: 1}
	if q.service != nil && q.service.Engine != nil {
		c.perEvent = max(q.service.Engine.EventTokens, 1)
	}
	return c
}

// tokenCost is the size of a request in tokens.
type tokenCost struct {
	input, output int64
	// perEvent is the number of output tokens that an event counts for. The last
	// event counts for as many, also if fewer tokens were left.
	perEvent int64
}

// worst is the most that the request can be charged.
func (c tokenCost) worst() int64 {
	events := (c.output + c.perEvent - 1) / c.perEvent
	return c.input + events*c.perEvent
}

// used is the charge after events reached the caller.
func (c tokenCost) used(events int64) int64 { return c.input + events*c.perEvent }

// settle charges what was used: nothing if no upstream ran the request, and
// otherwise the prompt and the events that reached the caller.
func (q *request) settle() {
	if q.reserved == 0 {
		return
	}
	used := int64(0)
	if q.ran {
		used = q.cost().used(q.events)
	}
	q.handler.Sync.Allowance().Settle(q.organisation.Name, q.reserved, used)
}
