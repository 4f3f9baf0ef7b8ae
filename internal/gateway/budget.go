package gateway

import (
	"context"
	"time"

	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/prepaid"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// controlGroupTimeout bounds one wait for the control group, which answers within
	// about 10 ms, or 100 ms in a fleet of many hosts.
	controlGroupTimeout = 200 * time.Millisecond
	// tokenRetryInterval is the time between two attempts to reserve tokens. Hosts return
	// unneeded tokens with their reports, four times a second. In large fleets, where many
	// hosts ask the same few, it doubles up to maxTokenRetryDoublings times.
	tokenRetryInterval     = 50 * time.Millisecond
	maxTokenRetryDoublings = 3
	// tokenRetryAfter is the time in which a host usually receives tokens that others returned.
	tokenRetryAfter = 500 * time.Millisecond
	// controlUnreachableRetryAfter applies if the control group is unreachable and a host
	// that lacks tokens has no estimate of when it may spend more.
	controlUnreachableRetryAfter = time.Second
	// minTokenRetryAfter keeps callers from retrying at once.
	minTokenRetryAfter = 100 * time.Millisecond
)

// drawsOnBudget reports whether the request is charged to a prepaid budget.
func (q *request) drawsOnBudget() bool {
	return q.organisation != nil && q.organisation.Prepaid != nil && q.InputTokens+q.OutputTokens > 0
}

// reserve reserves the maximum charge of the request. If the allowance of this host is
// too small, it tries to obtain tokens until the latency objective has passed.
func (q *request) reserve() *errkind.Error {
	if !q.drawsOnBudget() {
		return nil
	}
	need := q.cost().worstCase()
	if need > *q.organisation.Prepaid {
		return errkind.New(errkind.BudgetExhausted, "the request needs more tokens than the prepaid budget holds in total")
	}
	if refusal := q.checkUpstreams(); refusal != nil {
		return refusal
	}
	// Waiting is better than a refusal, as a retry would miss the latency objective anyway.
	waitUntil := q.arrived.Add(q.route.LatencyObjective)
	for tries := 0; ; tries++ {
		search := q.acquireTokens(need)
		q.tokenSearch = search
		switch search.verdict {
		case prepaid.Granted:
			return nil
		case prepaid.Exhausted:
			q.abandonTokens()
			return errkind.New(errkind.BudgetExhausted, "the balance does not cover the %d tokens of the request", need)
		case prepaid.Insufficient:
		}
		pause, retry := search.nextAttempt(q.budgetDecision, tries, time.Until(waitUntil))
		if retry > 0 || !timing.Sleep(q.ctx, pause) {
			q.abandonTokens()
			return errkind.New(errkind.BudgetReserved, "this host's allowance does not cover the %d tokens of the request", need).WithRetryAfter(max(retry, minTokenRetryAfter))
		}
	}
}

// tokenSearch is the result of an attempt to reserve tokens wherever they may be.
type tokenSearch struct {
	verdict prepaid.Verdict
	// controlReachable reports whether the control group replied.
	controlReachable bool
	// borrows reports whether few hosts hold the organisation's tokens, and this host does not.
	borrows bool
	// holderAnswered reports whether another host answered.
	holderAnswered bool
	// holderWait is the time after which another host may send the lacking tokens; 0 if none
	// of those asked holds so many.
	holderWait time.Duration
}

// acquireTokens tries to reserve need tokens. If the allowance is insufficient, it asks the
// control group for more if that is reachable, and then other hosts. A host that borrows
// asks the holders first, which costs the control group nothing.
func (q *request) acquireTokens(need int64) *tokenSearch {
	s := &tokenSearch{borrows: q.handler.Sync.Borrows(q.organisation.Name)}
	if s.verdict = q.tryReserve(need); s.verdict != prepaid.Insufficient {
		return s
	}
	if s.borrows {
		if q.fetchTokens(s, need); s.verdict != prepaid.Insufficient {
			return s
		}
	}
	s.controlReachable = q.handler.Sync.ControlReachable(time.Now())
	if s.borrows && s.holderAnswered {
		return s // the control group gives its tokens to the holders
	}
	if s.controlReachable = s.controlReachable && q.awaitControlGroup(); s.controlReachable {
		if s.verdict = q.tryReserve(need); s.verdict != prepaid.Insufficient {
			return s
		}
	}
	if !s.borrows {
		q.fetchTokens(s, need)
	}
	return s
}

// fetchTokens asks other hosts for the lacking tokens, and tries to reserve the request's tokens
// again if they sent them or told the balance.
func (q *request) fetchTokens(s *tokenSearch, need int64) {
	missing := need - max(q.budgetDecision.Allowed, 0)
	fetched := q.handler.Sync.FetchTokens(q.ctx, q.organisation.Name, missing)
	s.holderWait, s.holderAnswered = fetched.Wait, fetched.Answered
	if fetched.Received || s.borrows {
		s.verdict = q.tryReserve(need)
	}
}

// nextAttempt returns either the pause before the next attempt to reserve tokens or the
// time after which the caller should retry. A host can lack tokens despite a sufficient
// balance if other hosts hold them until their next reports, which affects large requests,
// or in the first second without the control group, when all reserves are still closed.
func (s *tokenSearch) nextAttempt(d *prepaid.Decision, tries int, timeLeft time.Duration) (pause, retry time.Duration) {
	switch {
	case s.controlReachable && timeLeft > 0 && s.borrows:
		return min(tokenRetryInterval<<min(tries, maxTokenRetryDoublings), timeLeft), 0
	case s.controlReachable && timeLeft > 0:
		return tokenRetryInterval, 0
	case s.controlReachable:
		return 0, tokenRetryAfter
	case s.holderWait > 0 && s.holderWait <= timeLeft:
		return max(s.holderWait, tokenRetryInterval), 0
	case s.holderWait > 0:
		return 0, s.holderWait
	case s.borrows && d.AllowedIn == 0:
		return 0, controlUnreachableRetryAfter
	case d.AllowedIn > 0 && d.AllowedIn <= timeLeft:
		return d.AllowedIn, 0
	case !d.ReserveOpen && max(d.ReserveOpensIn, tokenRetryInterval) <= timeLeft:
		return max(d.ReserveOpensIn, tokenRetryInterval), 0
	case d.AllowedIn > 0:
		return 0, d.AllowedIn
	}
	return 0, controlUnreachableRetryAfter
}

func (q *request) awaitControlGroup() bool {
	waiting, cancel := context.WithTimeout(q.ctx, controlGroupTimeout)
	defer cancel()
	return q.handler.Sync.AwaitSync(waiting)
}

func (q *request) tryReserve(need int64) prepaid.Verdict {
	d := q.handler.Sync.Allowance().Reserve(q.organisation.Name, need, q.handler.Clock())
	q.budgetDecision = &d
	if d.Verdict == prepaid.Granted {
		q.reservedTokens = need
	}
	return d.Verdict
}

// cost returns the size of the request and the tokens that one output event counts for.
func (q *request) cost() tokenCost {
	c := tokenCost{input: q.InputTokens, output: q.OutputTokens, tokensPerEvent: 1}
	if q.service != nil && q.service.Engine != nil {
		c.tokensPerEvent = max(q.service.Engine.MaxTokensPerEvent, 1)
	}
	return c
}

// tokenCost is the size of a request in tokens.
type tokenCost struct {
	input, output int64
	// tokensPerEvent is the number of output tokens that each event is charged as. The
	// last event is charged in full, even if it holds fewer tokens.
	tokensPerEvent int64
}

// worstCase returns the maximum charge of the request.
func (c tokenCost) worstCase() int64 {
	events := (c.output + c.tokensPerEvent - 1) / c.tokensPerEvent
	return c.input + events*c.tokensPerEvent
}

// charge returns the charge if the given number of events reached the caller.
func (c tokenCost) charge(events int64) int64 { return c.input + events*c.tokensPerEvent }

// settle ends the reservation. The charge is 0 if no upstream began to answer; otherwise
// it covers the prompt and the events that reached the caller.
func (q *request) settle() {
	if q.reservedTokens == 0 {
		return
	}
	used := int64(0)
	switch {
	case q.mayHaveBegun:
		used = q.cost().charge(q.eventsSent)
	case q.mayHaveRun:
		q.handler.uncharged.Inc(1)
	}
	q.handler.Sync.Allowance().Settle(q.organisation.Name, q.reservedTokens, used)
	go q.handler.Sync.ReturnTokens(q.organisation.Name)
}

// abandonTokens gives up what was obtained for the request, which is refused.
func (q *request) abandonTokens() {
	q.handler.Sync.Allowance().Abandon(q.organisation.Name)
	go q.handler.Sync.ReturnTokens(q.organisation.Name)
}
