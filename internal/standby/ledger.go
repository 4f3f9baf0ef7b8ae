// Package standby lets a host that cannot reach the control group serve repeatable requests
// from standby grants. Each charge is durable in a journal before the answer ends, and is
// merged once the control group is reachable again.
package standby

import (
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// localAttemptFlag is set in the attempts of requests that were begun from a grant. The
// control group counts the attempts of a request from 1, so they stay far below it.
const localAttemptFlag uint32 = 1 << 31

// inFlightRequest is a request that is being served from a grant.
type inFlightRequest struct {
	begin   *controlapi.BeginRequest
	attempt uint32
	// sentBegin is the Begin that may have reached the control group; nil if none was sent.
	sentBegin *controlapi.Command
}

// grantState is the state of one grant in a ledger.
type grantState struct {
	status controlapi.GrantStatus
	// returnTotal is the total of tokens ever returned, including returns that the control
	// group has not confirmed.
	returnTotal int64
}

// ledger tracks the grants of one session and the spending from them. Invariant per budget:
// worst-case reservations of in-flight requests + unmerged charges ≤ the session's
// outstanding grant in the control group - unconfirmed returns.
type ledger struct {
	session  string
	grants   map[string]*grantState
	inFlight map[string]*inFlightRequest
	// unmergedByRequest holds the unmerged entries by request ID; unmerged holds them in
	// order.
	unmergedByRequest map[string]*controlapi.JournalEntry
	unmerged          []*controlapi.JournalEntry
	lastSequence      uint64
	// lastDurable is the sequence number of the last entry that is durable in the store.
	lastDurable uint64
	attempts    uint32
}

func newLedger(session string) *ledger {
	return &ledger{
		session:           session,
		grants:            make(map[string]*grantState),
		inFlight:          make(map[string]*inFlightRequest),
		unmergedByRequest: make(map[string]*controlapi.JournalEntry),
	}
}

// recoveredLedger returns the ledger of a session from its journal. It skips entries that
// the journal contains more than once.
func recoveredLedger(session string, entries []*controlapi.JournalEntry) *ledger {
	l := newLedger(session)
	for _, e := range entries {
		if e.Sequence > l.lastSequence {
			l.appendEntry(e)
		}
	}
	l.lastDurable = l.lastSequence
	return l
}

// nonDurableRecords returns the entries that are not yet durable in the store.
func (l *ledger) nonDurableRecords() []Record {
	var records []Record
	for _, e := range l.unmerged {
		if e.Sequence > l.lastDurable {
			records = append(records, Record{Entry: e})
		}
	}
	return records
}

func (l *ledger) appendEntry(e *controlapi.JournalEntry) {
	l.unmerged = append(l.unmerged, e)
	l.unmergedByRequest[e.RequestID] = e
	l.lastSequence = max(l.lastSequence, e.Sequence)
}

// available returns the tokens of a budget's grant that may still be reserved.
func (l *ledger) available(budget string) int64 {
	g, ok := l.grants[budget]
	if !ok {
		return 0
	}
	tokens := g.status.Outstanding - max(0, g.returnTotal-g.status.Returned)
	for _, e := range l.unmerged {
		if e.Budget == budget {
			tokens -= e.Tokens
		}
	}
	for _, r := range l.inFlight {
		if r.begin.Budget == budget {
			tokens -= r.begin.Tokens
		}
	}
	return tokens
}

// begin reserves the worst-case cost of a repeatable request from the session's grant.
func (l *ledger) begin(b *controlapi.BeginRequest) (*controlapi.BeginReply, error) {
	if e, ok := l.unmergedByRequest[b.RequestID]; ok {
		return settledReply(e, b)
	}
	if r, ok := l.inFlight[b.RequestID]; ok {
		return &controlapi.BeginReply{Status: controlapi.BeginInProgress, Attempt: r.attempt, Owner: l.session}, nil
	}
	if !b.Repeatable {
		return nil, errkind.New(errkind.ControlUnavailable, "a non-repeatable request requires the control group")
	}
	if l.available(b.Budget) < b.Tokens {
		return nil, errkind.New(errkind.ControlUnavailable, "the standby grant does not cover the request")
	}
	l.attempts++
	r := &inFlightRequest{begin: b, attempt: localAttemptFlag | l.attempts}
	l.inFlight[b.RequestID] = r
	return &controlapi.BeginReply{Status: controlapi.BeginStarted, Attempt: r.attempt}, nil
}

func settledReply(e *controlapi.JournalEntry, b *controlapi.BeginRequest) (*controlapi.BeginReply, error) {
	if e.BodyHash != b.BodyHash {
		return nil, errkind.New(errkind.KeyReused, "the idempotency key was used for another request")
	}
	return &controlapi.BeginReply{Status: controlapi.BeginSettled, Attempt: localAttemptFlag, Charged: e.Tokens, Partial: e.Partial}, nil
}

// hasAttempt reports whether the request is in flight under this attempt.
func (l *ledger) hasAttempt(requestID string, attempt uint32) bool {
	r, ok := l.inFlight[requestID]
	return ok && r.attempt == attempt
}

// settle turns an in-flight request into an unmerged entry, which charges at most the
// request's reservation.
func (l *ledger) settle(requestID string, tokens int64, partial bool) *controlapi.JournalEntry {
	b := l.inFlight[requestID].begin
	delete(l.inFlight, requestID)
	e := &controlapi.JournalEntry{
		Sequence:     l.lastSequence + 1,
		RequestID:    requestID,
		Organisation: b.Organisation,
		Caller:       b.Caller,
		Budget:       b.Budget,
		Service:      b.Service,
		BodyHash:     b.BodyHash,
		Tokens:       min(tokens, b.Tokens),
		Unkeyed:      b.Unkeyed,
		Partial:      partial,
		Completes:    b.Completes,
	}
	l.appendEntry(e)
	return e
}

// release frees the reservation of an in-flight request.
func (l *ledger) release(requestID string) {
	delete(l.inFlight, requestID)
}

// refresh updates the grants to the control group's statuses. These include the journal's
// entries up to the sequence number merged, which are removed from the unmerged ones.
func (l *ledger) refresh(merged uint64, statuses []controlapi.GrantStatus) {
	remaining := l.unmerged[:0]
	for _, e := range l.unmerged {
		if e.Sequence > merged {
			remaining = append(remaining, e)
			continue
		}
		delete(l.unmergedByRequest, e.RequestID)
	}
	l.unmerged = remaining
	known := make(map[string]bool)
	for _, status := range statuses {
		if status.Session != l.session {
			continue
		}
		known[status.Budget] = true
		l.grant(status.Budget).status = status
	}
	for budget, g := range l.grants {
		if !known[budget] {
			g.status.Outstanding = 0
		}
	}
}

func (l *ledger) grant(budget string) *grantState {
	g, ok := l.grants[budget]
	if !ok {
		g = &grantState{status: controlapi.GrantStatus{Session: l.session, Budget: budget}}
		l.grants[budget] = g
	}
	return g
}

// prepareReturn withdraws up to tokens of the available tokens from the grant. It returns
// the new total of returns, and whether the control group has yet to confirm it.
func (l *ledger) prepareReturn(budget string, tokens int64) (int64, bool) {
	g := l.grant(budget)
	g.returnTotal = max(g.returnTotal, g.status.Returned)
	tokens = min(tokens, l.available(budget))
	if tokens > 0 {
		g.returnTotal += tokens
	}
	return g.returnTotal, g.returnTotal > g.status.Returned
}

// idle reports whether the ledger has no in-flight requests and no unmerged entries.
func (l *ledger) idle() bool { return len(l.inFlight) == 0 && len(l.unmerged) == 0 }
