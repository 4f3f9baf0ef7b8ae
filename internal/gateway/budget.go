package gateway

import (
	"context"
	"time"

	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/prepaid"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// tokensWait bounds one wait for the control group. It answers within some ten
	// milliseconds, and within a hundred where it serves many hosts.
	tokensWait = 200 * time.Millisecond
	// tokensPause is the time between two tries. Hosts give back what they don't need
	// with their reports, four times a second.
	tokensPause = 50 * time.Millisecond
	// tokensRetry is when a host is likely to have got tokens that others gave back.
	tokensRetry = 500 * time.Millisecond
	// cutOffRetry is the time to come back to a host without tokens that is cut off,
	// where nothing better is known.
	cutOffRetry = time.Second
	// leastTokensRetry keeps callers from coming back at once.
	leastTokensRetry = 100 * time.Millisecond
)

// budgeted tells whether the request draws on a prepaid budget.
func (q *request) budgeted() bool {
	return q.organisation != nil && q.organisation.Prepaid != nil && q.InputTokens+q.OutputTokens > 0
}

// reserve sets the worst case of the request aside. If this host holds too little,
// it tries to get more for as long as that is likely to help.
func (q *request) reserve() *errkind.Error {
	if !q.budgeted() {
		return nil
	}
	need := q.cost().worst()
	if need > *q.organisation.Prepaid {
		return errkind.New(errkind.BudgetExhausted, "the request is larger than what was paid in")
	}
	// A caller that is sent away comes back too late for the objective anyway.
	until := q.arrived.Add(q.route.Objective)
	for {
		verdict, inTouch := q.gather(need)
		switch verdict {
		case prepaid.Granted:
			return nil
		case prepaid.Exhausted:
			return errkind.New(errkind.BudgetExhausted, "the balance does not cover %d tokens", need)
		case prepaid.Insufficient:
		}
		pause, retry := nextTry(q.tokens, inTouch, time.Until(until))
		if retry > 0 || !timing.Sleep(q.ctx, pause) {
			return errkind.New(errkind.BudgetReserved, "this host lacks %d tokens", need).WithRetryAfter(max(retry, leastTokensRetry))
		}
	}
}

// gather asks the control group for tokens while that can be reached, and then other hosts.
func (q *request) gather(need int64) (verdict prepaid.Verdict, inTouch bool) {
	if verdict = q.tryReserve(need); verdict != prepaid.Insufficient {
		return verdict, false
	}
	if inTouch = q.handler.Sync.InTouch(time.Now()) && q.awaitGroup(); inTouch {
		if verdict = q.tryReserve(need); verdict != prepaid.Insufficient {
			return verdict, true
		}
	}
	lacking := need - max(q.tokens.Allowed, 0)
	if q.handler.Sync.Fetch(q.ctx, q.organisation.Name, lacking) {
		return q.tryReserve(need), inTouch
	}
	return prepaid.Insufficient, inTouch
}

// nextTry returns the pause before a request that is short of tokens tries again, or
// the time after which its caller should. It answers the two loads under which tokens
// are short though the balance isn't: a large request whose organisation's tokens are
// with other hosts, which give them back with their reports; and the first second of
// a cut, in which the envelopes of all hosts are closed.
func nextTry(d *prepaid.Decision, inTouch bool, patience time.Duration) (pause, retry time.Duration) {
	switch {
	case inTouch && patience > 0:
		return tokensPause, 0
	case inTouch:
		return 0, tokensRetry
	case d.AllowedIn > 0 && d.AllowedIn <= patience:
		return d.AllowedIn, 0
	case !d.ReserveOpen && max(d.ReserveOpensIn, tokensPause) <= patience:
		return max(d.ReserveOpensIn, tokensPause), 0
	case d.AllowedIn > 0:
		return 0, d.AllowedIn
	}
	return 0, cutOffRetry
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
