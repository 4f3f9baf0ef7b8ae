// Package standby lets a host that is cut off from the control group serve
// repeatable requests from standby grants. Each charge is durable in a journal
// before the end of the answer, and is merged when the group is reached again.
package standby

import (
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// localAttempt marks the attempts of requests that were begun from a grant.
// The control group's attempts never come near it.
const localAttempt uint32 = 1 << 31

// openRequest is a request that is being served from a grant.
type openRequest struct {
	begin   *controlapi.BeginRequest
	attempt uint32
	// sent is the Begin that may have reached the control group; nil if none was sent.
	sent *controlapi.Command
}

// grantState is what a ledger knows of one grant.
type grantState struct {
	status controlapi.GrantStatus
	// returnTotal is the sum of all tokens that were ever sent back.
	returnTotal int64
}

// ledger holds the grants of one session and what was spent from them.
// Invariant, per budget: open worst cases + unmerged charges ≤ what the control
// group holds outstanding for the session, less what is on its way back.
type ledger struct {
	session string
	grants  map[string]*grantState
	open    map[string]*openRequest
	// charged holds the unmerged entries by request id; unmerged holds them in order.
	charged  map[string]*controlapi.JournalEntry
	unmerged []*controlapi.JournalEntry
	sequence uint64
	// durable is the sequence of the last entry that the store has taken.
	durable  uint64
	attempts uint32
}

func newLedger(session string) *ledger {
	return &ledger{
		session: session,
		grants:  make(map[string]*grantState),
		open:    make(map[string]*openRequest),
		charged: make(map[string]*controlapi.JournalEntry),
	}
}

// recoveredLedger returns the ledger of a session whose journal was read from disk.
func recoveredLedger(session string, entries []*controlapi.JournalEntry) *ledger {
	l := newLedger(session)
	for _, e := range entries {
		if e.Sequence > l.sequence {
			l.add(e)
		}
	}
	l.durable = l.sequence
	return l
}

// pending returns the entries that the store has not taken yet.
func (l *ledger) pending() []Record {
	var records []Record
	for _, e := range l.unmerged {
		if e.Sequence > l.durable {
			records = append(records, Record{Entry: e})
		}
	}
	return records
}

func (l *ledger) add(e *controlapi.JournalEntry) {
	l.unmerged = append(l.unmerged, e)
	l.charged[e.RequestID] = e
	l.sequence = max(l.sequence, e.Sequence)
}

// available returns the tokens of a budget that may still be reserved.
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
	for _, o := range l.open {
		if o.begin.Budget == budget {
			tokens -= o.begin.Tokens
		}
	}
	return tokens
}

// begin reserves the worst case of a repeatable request from the session's grant.
func (l *ledger) begin(b *controlapi.BeginRequest) (*controlapi.BeginReply, error) {
	if e, ok := l.charged[b.RequestID]; ok {
		return settledReply(e, b)
	}
	if o, ok := l.open[b.RequestID]; ok {
		return &controlapi.BeginReply{Status: controlapi.BeginInProgress, Attempt: o.attempt, Owner: l.session}, nil
	}
	if !b.Repeatable {
		return nil, errkind.New(errkind.ControlUnavailable, "a request that may not be repeated needs the control group")
	}
	if l.available(b.Budget) < b.Tokens {
		return nil, errkind.New(errkind.ControlUnavailable, "the standby grant does not cover the request")
	}
	l.attempts++
	o := &openRequest{begin: b, attempt: localAttempt | l.attempts}
	l.open[b.RequestID] = o
	return &controlapi.BeginReply{Status: controlapi.BeginStarted, Attempt: o.attempt}, nil
}

func settledReply(e *controlapi.JournalEntry, b *controlapi.BeginRequest) (*controlapi.BeginReply, error) {
	if e.BodyHash != b.BodyHash {
		return nil, errkind.New(errkind.KeyReused, "the idempotency key was used for another request")
	}
	return &controlapi.BeginReply{Status: controlapi.BeginSettled, Attempt: localAttempt, Charged: e.Tokens, Partial: e.Partial}, nil
}

// owns tells whether the request is open under this attempt.
func (l *ledger) owns(requestID string, attempt uint32) bool {
	o, ok := l.open[requestID]
	return ok && o.attempt == attempt
}

// settle moves an open request to the unmerged entries, charged at most its reservation.
func (l *ledger) settle(requestID string, tokens int64, partial bool) *controlapi.JournalEntry {
	b := l.open[requestID].begin
	delete(l.open, requestID)
	e := &controlapi.JournalEntry{
		Sequence:     l.sequence + 1,
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
	l.add(e)
	return e
}

// release frees the reservation of an open request.
func (l *ledger) release(requestID string) {
	delete(l.open, requestID)
}

// refresh takes in the grants as the control group has them after it merged
// the journal up to an entry.
func (l *ledger) refresh(merged uint64, statuses []controlapi.GrantStatus) {
	kept := l.unmerged[:0]
	for _, e := range l.unmerged {
		if e.Sequence > merged {
			kept = append(kept, e)
			continue
		}
		delete(l.charged, e.RequestID)
	}
	l.unmerged = kept
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

// giveBack takes up to tokens of what is available out of the grant and returns
// the new sum of all returns, or false if there is nothing to send.
func (l *ledger) giveBack(budget string, tokens int64) (int64, bool) {
	g := l.grant(budget)
	g.returnTotal = max(g.returnTotal, g.status.Returned)
	tokens = min(tokens, l.available(budget))
	if tokens > 0 {
		g.returnTotal += tokens
	}
	return g.returnTotal, g.returnTotal > g.status.Returned
}

// idle tells that nothing is open and nothing waits to be merged.
func (l *ledger) idle() bool { return len(l.open) == 0 && len(l.unmerged) == 0 }
