package control_test

import (
	"slices"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/request"
)

// event is an event in the ledger model. Its kind is "begin", "sent" (dispatched), "not run",
// "settled", "unknown", "released", "paid", "granted", "returned", "ended" (a session),
// "merged" (a charged journal entry) or "seen" (one whose request was charged before).
type event struct {
	kind          string
	id            string // request id
	session       string
	budget        string
	body          string
	upstream      string
	tokens        int64
	attempt       uint32
	beginSequence uint64
	sequence      uint64
	atMS          int64
	takenOver     bool
}

// ledgerModel is a reference model of the ledger: a list of events from which every
// query is computed. It models neither retention nor containment.
type ledgerModel struct {
	events     []event
	nowMS      int64
	repeatable func(id string) bool
}

// response holds the parts of a result in which the model and the machine must agree.
type response struct {
	Refusal    errkind.Kind
	Status     controlapi.BeginStatus
	Attempt    uint32
	MayHaveRun bool
	Tokens     int64
}

func responseOf(r *controlapi.Result) response {
	o := response{Tokens: r.Settled}
	if r.Err != nil {
		o.Refusal = r.Err.Kind
	}
	if r.Begin != nil && r.Err == nil {
		o.Status, o.Attempt, o.MayHaveRun = r.Begin.Status, r.Begin.Attempt, r.Begin.MayHaveRun
		o.Tokens = r.Begin.Charged
	}
	if r.Grant != nil {
		o.Tokens = r.Grant.Outstanding
	}
	if r.Merge != nil {
		o.Tokens = r.Merge.Charged
	}
	return o
}

func refusal(kind errkind.Kind) response { return response{Refusal: kind} }

// requestSummary is the state of one request according to its events.
type requestSummary struct {
	event                         // the last "begin" event
	state                         request.State
	charged                       int64
	dispatched, dispatchedEarlier []string
}

func (m *ledgerModel) summarize(id string) requestSummary {
	var s requestSummary
	for _, ev := range m.events {
		if ev.id != id {
			continue
		}
		switch ev.kind {
		case "begin":
			if ev.takenOver {
				s.dispatchedEarlier = slices.Concat(s.dispatchedEarlier, s.dispatched)
			} else {
				s.dispatchedEarlier = nil
			}
			s.event, s.state, s.dispatched = ev, request.Open, nil
		case "sent":
			s.dispatched = append(s.dispatched, ev.upstream)
		case "not run":
			s.dispatched, s.dispatchedEarlier = nil, nil
		case "settled", "merged":
			s.state, s.charged = request.Settled, ev.tokens
			s.body = ev.body
			s.attempt = max(s.attempt, ev.attempt)
		case "unknown":
			s.state, s.charged = request.Unknown, ev.tokens
		case "released":
			s.state = request.Released
		}
	}
	return s
}

func (m *ledgerModel) sumTokens(matches func(event) bool) int64 {
	var sum int64
	for _, ev := range m.events {
		if matches(ev) {
			sum += ev.tokens
		}
	}
	return sum
}

func (m *ledgerModel) total(kind, session, budget string) int64 {
	return m.sumTokens(func(ev event) bool {
		return ev.kind == kind && (session == "" || ev.session == session) && ev.budget == budget
	})
}

func (m *ledgerModel) requestIDs() []string {
	var ids []string
	for _, ev := range m.events {
		if ev.id != "" && !slices.Contains(ids, ev.id) {
			ids = append(ids, ev.id)
		}
	}
	return ids
}

// balances returns the tokens of a budget paid in, charged, reserved and granted.
func (m *ledgerModel) balances(name string) [4]int64 {
	var reserved int64
	for _, id := range m.requestIDs() {
		if s := m.summarize(id); s.state == request.Open && s.budget == name {
			reserved += s.tokens
		}
	}
	merged := m.total("merged", "", name)
	charged := m.total("settled", "", name) + m.total("unknown", "", name) + merged
	return [4]int64{m.total("paid", "", name), charged, reserved, m.total("granted", "", name) - m.total("returned", "", name) - merged}
}

// checkAvailable returns the kind of the refusal if the budget lacks the tokens.
func (m *ledgerModel) checkAvailable(budget string, tokens int64) errkind.Kind {
	b := m.balances(budget)
	switch {
	case tokens <= b[0]-b[1]-b[2]-b[3]:
		return ""
	case tokens <= b[0]-b[1]:
		return errkind.BudgetReserved
	default:
		return errkind.BudgetExhausted
	}
}

func (m *ledgerModel) add(ev event) { m.events = append(m.events, ev) }

func (m *ledgerModel) sessionEnd(session string) (atMS int64, ended bool) {
	for _, ev := range m.events {
		if ev.kind == "ended" && ev.session == session {
			return ev.atMS, true
		}
	}
	return 0, false
}

// advanceTime sets the time and recovers the orphaned requests that are due.
func (m *ledgerModel) advanceTime(nowMS int64) {
	m.nowMS = nowMS
	for _, id := range m.requestIDs() {
		s := m.summarize(id)
		atMS, ended := m.sessionEnd(s.session)
		if s.state != request.Open || !ended || atMS+request.OrphanTimeoutMS > nowMS {
			continue
		}
		if m.repeatable(id) {
			m.add(event{kind: "released", id: id})
		} else {
			m.add(event{kind: "unknown", id: id, budget: s.budget, tokens: s.tokens})
		}
	}
}

func (m *ledgerModel) endSession(session string) {
	if _, ended := m.sessionEnd(session); ended {
		return
	}
	m.add(event{kind: "ended", session: session, atMS: m.nowMS})
	for _, id := range m.requestIDs() {
		s := m.summarize(id)
		if s.state == request.Open && s.session == session && len(s.dispatched)+len(s.dispatchedEarlier) == 0 {
			m.add(event{kind: "released", id: id})
		}
	}
}

func (m *ledgerModel) begin(b *controlapi.BeginRequest) response {
	if _, ended := m.sessionEnd(b.Session); ended {
		return refusal(errkind.SessionExpired)
	}
	s := m.summarize(b.RequestID)
	_, orphaned := m.sessionEnd(s.session)
	switch {
	case s.state != "" && s.body != b.BodyHash:
		return refusal(errkind.KeyReused)
	case s.state == request.Unknown:
		return refusal(errkind.OutcomeUnknown)
	case s.state == request.Settled:
		return response{Status: controlapi.BeginSettled, Attempt: s.attempt, Tokens: s.charged}
	case s.state == request.Open && s.session == b.Session && s.beginSequence == b.BeginSequence &&
		(b.Upstream == "" || len(s.dispatchedEarlier) > 0 || slices.Contains(s.dispatched, b.Upstream)):
		return m.startedResponse(b.RequestID)
	case s.state == request.Open && !orphaned && (!b.Takeover || b.Supersedes != 0 && b.Supersedes != s.attempt):
		return response{Status: controlapi.BeginInProgress, Attempt: s.attempt}
	}
	if s.state == request.Released && b.BeginSequence != 0 && s.session == b.Session && s.beginSequence == b.BeginSequence {
		return refusal(errkind.StaleAttempt)
	}
	ev := event{kind: "begin", id: b.RequestID, session: b.Session, budget: b.Budget, body: b.BodyHash, tokens: b.Tokens, attempt: s.attempt + 1, beginSequence: b.BeginSequence}
	if s.state == request.Open {
		ev.takenOver, ev.tokens, ev.budget = true, s.tokens, s.budget
	} else if kind := m.checkAvailable(b.Budget, b.Tokens); kind != "" {
		return refusal(kind)
	}
	m.add(ev)
	if b.Upstream != "" && len(m.summarize(b.RequestID).dispatchedEarlier) == 0 {
		m.add(event{kind: "sent", id: b.RequestID, upstream: b.Upstream})
	}
	return m.startedResponse(b.RequestID)
}

func (m *ledgerModel) startedResponse(id string) response {
	s := m.summarize(id)
	o := response{Status: controlapi.BeginStarted, Attempt: s.attempt, MayHaveRun: len(s.dispatchedEarlier) > 0}
	if s.takenOver {
		o.Status = controlapi.BeginTakenOver
	}
	return o
}

// summarizeAttempt returns the summary of a request, and the kind of the refusal if
// attempt is not its current one.
func (m *ledgerModel) summarizeAttempt(id string, attempt uint32) (requestSummary, errkind.Kind) {
	s := m.summarize(id)
	switch {
	case s.state == "":
		return s, errkind.NotFound
	case s.attempt != attempt:
		return s, errkind.StaleAttempt
	}
	return s, ""
}

func (m *ledgerModel) dispatch(d *controlapi.DispatchRequest) response {
	s, kind := m.summarizeAttempt(d.RequestID, d.Attempt)
	_, ended := m.sessionEnd(s.session)
	switch {
	case kind != "":
		return refusal(kind)
	case s.state != request.Open:
		return refusal(errkind.StaleAttempt)
	case ended:
		return refusal(errkind.SessionExpired)
	case slices.Contains(s.dispatched, d.Upstream), m.repeatable(s.id) && slices.Contains(s.dispatchedEarlier, d.Upstream):
		return response{}
	case d.EarlierNotRun:
		m.add(event{kind: "not run", id: s.id})
	case !m.repeatable(s.id) && len(s.dispatched)+len(s.dispatchedEarlier) > 0:
		return refusal(errkind.OutcomeUnknown)
	}
	m.add(event{kind: "sent", id: s.id, upstream: d.Upstream})
	return response{}
}

func (m *ledgerModel) settle(c *controlapi.SettleRequest) response {
	s, kind := m.summarizeAttempt(c.RequestID, c.Attempt)
	switch {
	case kind != "":
		return refusal(kind)
	case s.state == request.Settled || s.state == request.Unknown:
		return response{Tokens: s.charged}
	case s.state == request.Released:
		return refusal(errkind.StaleAttempt)
	case c.Unknown && m.repeatable(s.id):
		return refusal(errkind.InvalidRequest)
	case c.Unknown:
		m.add(event{kind: "unknown", id: s.id, budget: s.budget, tokens: s.tokens})
		return response{Tokens: s.tokens}
	}
	charged := min(c.Tokens, s.tokens)
	m.add(event{kind: "settled", id: s.id, budget: s.budget, body: s.body, tokens: charged})
	return response{Tokens: charged}
}

func (m *ledgerModel) release(c *controlapi.ReleaseRequest) response {
	s, kind := m.summarizeAttempt(c.RequestID, c.Attempt)
	switch {
	case kind != "":
		return refusal(kind)
	case s.state == request.Released:
		return response{}
	case s.state != request.Open:
		return refusal(errkind.StaleAttempt)
	case c.MayHaveRun && !m.repeatable(s.id):
		return refusal(errkind.OutcomeUnknown)
	}
	m.add(event{kind: "released", id: s.id})
	return response{}
}

func (m *ledgerModel) outstanding(session, budget string) int64 {
	return m.total("granted", session, budget) - m.total("returned", session, budget) - m.total("merged", session, budget)
}

func (m *ledgerModel) grant(g *controlapi.GrantRequest) response {
	if _, ended := m.sessionEnd(g.Session); ended {
		return refusal(errkind.SessionExpired)
	}
	missing := max(0, g.Total-m.total("granted", g.Session, g.Budget))
	if kind := m.checkAvailable(g.Budget, missing); kind != "" {
		return refusal(kind)
	}
	m.add(event{kind: "granted", session: g.Session, budget: g.Budget, tokens: missing})
	return response{Tokens: m.outstanding(g.Session, g.Budget)}
}

// holdsGrant reports whether the session holds a grant. An ended session without
// outstanding tokens no longer does.
func (m *ledgerModel) holdsGrant(session string) bool {
	holds, outstanding := false, false
	for _, budget := range budgetNames {
		holds = holds || m.total("granted", session, budget) > 0
		outstanding = outstanding || m.outstanding(session, budget) > 0
	}
	_, ended := m.sessionEnd(session)
	return holds && (outstanding || !ended)
}

func (m *ledgerModel) returnGrant(g *controlapi.ReturnGrantRequest) response {
	if !m.holdsGrant(g.Session) || m.total("granted", g.Session, g.Budget) == 0 {
		return refusal(errkind.NotFound)
	}
	tokens := max(0, g.Total-m.total("returned", g.Session, g.Budget))
	if tokens > m.outstanding(g.Session, g.Budget) {
		return refusal(errkind.InvalidRequest)
	}
	m.add(event{kind: "returned", session: g.Session, budget: g.Budget, tokens: tokens})
	return response{Tokens: m.outstanding(g.Session, g.Budget)}
}

// lastMerged returns the sequence number of the session's last merged entry.
func (m *ledgerModel) lastMerged(session string) uint64 {
	last := uint64(0)
	for _, ev := range m.events {
		if (ev.kind == "merged" || ev.kind == "seen") && ev.session == session {
			last = ev.sequence
		}
	}
	return last
}

// merge merges the first journal entry of j.
func (m *ledgerModel) merge(j *controlapi.MergeJournalRequest) response {
	if !m.holdsGrant(j.Session) {
		return refusal(errkind.NotFound)
	}
	e := j.Entries[0]
	last := m.lastMerged(j.Session)
	switch {
	case e.Sequence > last+1:
		return refusal(errkind.Conflict)
	case e.Sequence <= last:
		return response{}
	}
	id := e.RequestID
	if s := m.summarize(id); s.state != "" && s.body != e.BodyHash {
		id += "/" + e.BodyHash
	}
	ev := event{kind: "merged", id: id, session: j.Session, budget: e.Budget, body: e.BodyHash, sequence: e.Sequence, attempt: 1}
	if s := m.summarize(id); s.state == request.Settled || s.state == request.Unknown {
		ev.kind, ev.id = "seen", ""
	} else {
		ev.tokens = min(e.Tokens, m.outstanding(j.Session, e.Budget))
	}
	m.add(ev)
	return response{Tokens: ev.tokens}
}
