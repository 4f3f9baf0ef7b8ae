package control_test

import (
	"slices"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/request"
)

// fact is one thing that happened in the naive ledger.
type fact struct {
	what      string
	id        string // of the request
	session   string
	budget    string
	body      string
	upstream  string
	tokens    int64
	attempt   uint32
	try       uint64
	sequence  uint64
	atMS      int64
	takenOver bool
}

// naiveLedger is a plain list of facts. Every question is answered by going
// through all of them. It knows neither retention nor containment.
type naiveLedger struct {
	facts      []fact
	nowMS      int64
	repeatable func(id string) bool
}

// outcome is what the naive ledger and the machine must agree on.
type outcome struct {
	Refusal    errkind.Kind
	Status     controlapi.BeginStatus
	Attempt    uint32
	MayHaveRun bool
	Tokens     int64
}

func outcomeOf(r *controlapi.Result) outcome {
	o := outcome{Tokens: r.Settled}
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

func refusal(kind errkind.Kind) outcome { return outcome{Refusal: kind} }

// story is what the facts tell of one request.
type story struct {
	fact             // the last begin
	state            request.State
	charged          int64
	sent, sentBefore []string
}

func (n *naiveLedger) story(id string) story {
	var s story
	for _, f := range n.facts {
		if f.id != id {
			continue
		}
		switch f.what {
		case "begin":
			if f.takenOver {
				s.sentBefore = slices.Concat(s.sentBefore, s.sent)
			} else {
				s.sentBefore = nil
			}
			s.fact, s.state, s.sent = f, request.Open, nil
		case "sent":
			s.sent = append(s.sent, f.upstream)
		case "not run":
			s.sent, s.sentBefore = nil, nil
		case "settled", "merged":
			s.state, s.charged = request.Settled, f.tokens
			s.body = f.body
			s.attempt = max(s.attempt, f.attempt)
		case "unknown":
			s.state, s.charged = request.Unknown, f.tokens
		case "released":
			s.state = request.Released
		}
	}
	return s
}

func (n *naiveLedger) sum(matches func(fact) bool) int64 {
	var sum int64
	for _, f := range n.facts {
		if matches(f) {
			sum += f.tokens
		}
	}
	return sum
}

func (n *naiveLedger) of(what, session, budget string) int64 {
	return n.sum(func(f fact) bool {
		return f.what == what && (session == "" || f.session == session) && f.budget == budget
	})
}

func (n *naiveLedger) ids() []string {
	var ids []string
	for _, f := range n.facts {
		if f.id != "" && !slices.Contains(ids, f.id) {
			ids = append(ids, f.id)
		}
	}
	return ids
}

// budget returns the figures paid in, charged, reserved and granted.
func (n *naiveLedger) budget(name string) [4]int64 {
	var reserved int64
	for _, id := range n.ids() {
		if s := n.story(id); s.state == request.Open && s.budget == name {
			reserved += s.tokens
		}
	}
	merged := n.of("merged", "", name)
	charged := n.of("settled", "", name) + n.of("unknown", "", name) + merged
	return [4]int64{n.of("paid", "", name), charged, reserved, n.of("granted", "", name) - n.of("returned", "", name) - merged}
}

func (n *naiveLedger) take(budget string, tokens int64) errkind.Kind {
	b := n.budget(budget)
	switch {
	case tokens <= b[0]-b[1]-b[2]-b[3]:
		return ""
	case tokens <= b[0]-b[1]:
		return errkind.BudgetReserved
	default:
		return errkind.BudgetExhausted
	}
}

func (n *naiveLedger) add(f fact) { n.facts = append(n.facts, f) }

func (n *naiveLedger) ended(session string) (atMS int64, ended bool) {
	for _, f := range n.facts {
		if f.what == "ended" && f.session == session {
			return f.atMS, true
		}
	}
	return 0, false
}

// advance recovers the orphans that are due.
func (n *naiveLedger) advance(nowMS int64) {
	n.nowMS = nowMS
	for _, id := range n.ids() {
		s := n.story(id)
		atMS, ended := n.ended(s.session)
		if s.state != request.Open || !ended || atMS+request.OrphanTimeoutMS > nowMS {
			continue
		}
		if n.repeatable(id) {
			n.add(fact{what: "released", id: id})
		} else {
			n.add(fact{what: "unknown", id: id, budget: s.budget, tokens: s.tokens})
		}
	}
}

func (n *naiveLedger) end(session string) {
	if _, ended := n.ended(session); ended {
		return
	}
	n.add(fact{what: "ended", session: session, atMS: n.nowMS})
	for _, id := range n.ids() {
		s := n.story(id)
		if s.state == request.Open && s.session == session && len(s.sent)+len(s.sentBefore) == 0 {
			n.add(fact{what: "released", id: id})
		}
	}
}

func (n *naiveLedger) begin(b *controlapi.BeginRequest) outcome {
	if _, ended := n.ended(b.Session); ended {
		return refusal(errkind.SessionExpired)
	}
	s := n.story(b.RequestID)
	_, orphaned := n.ended(s.session)
	switch {
	case s.state != "" && s.body != b.BodyHash:
		return refusal(errkind.KeyReused)
	case s.state == request.Unknown:
		return refusal(errkind.OutcomeUnknown)
	case s.state == request.Settled:
		return outcome{Status: controlapi.BeginSettled, Attempt: s.attempt, Tokens: s.charged}
	case s.state == request.Open && s.session == b.Session && s.try == b.BeginSequence &&
		(b.Upstream == "" || len(s.sentBefore) > 0 || slices.Contains(s.sent, b.Upstream)):
		return n.started(b.RequestID)
	case s.state == request.Open && !orphaned && (!b.Takeover || b.Supersedes != 0 && b.Supersedes != s.attempt):
		return outcome{Status: controlapi.BeginInProgress, Attempt: s.attempt}
	}
	if s.state == request.Released && b.BeginSequence != 0 && s.session == b.Session && s.try == b.BeginSequence {
		return refusal(errkind.StaleAttempt)
	}
	f := fact{what: "begin", id: b.RequestID, session: b.Session, budget: b.Budget, body: b.BodyHash, tokens: b.Tokens, attempt: s.attempt + 1, try: b.BeginSequence}
	if s.state == request.Open {
		f.takenOver, f.tokens, f.budget = true, s.tokens, s.budget
	} else if kind := n.take(b.Budget, b.Tokens); kind != "" {
		return refusal(kind)
	}
	n.add(f)
	if b.Upstream != "" && len(n.story(b.RequestID).sentBefore) == 0 {
		n.add(fact{what: "sent", id: b.RequestID, upstream: b.Upstream})
	}
	return n.started(b.RequestID)
}

func (n *naiveLedger) started(id string) outcome {
	s := n.story(id)
	o := outcome{Status: controlapi.BeginStarted, Attempt: s.attempt, MayHaveRun: len(s.sentBefore) > 0}
	if s.takenOver {
		o.Status = controlapi.BeginTakenOver
	}
	return o
}

// own returns the story of an attempt, or the refusal of a command that names it.
func (n *naiveLedger) own(id string, attempt uint32) (story, errkind.Kind) {
	s := n.story(id)
	switch {
	case s.state == "":
		return s, errkind.NotFound
	case s.attempt != attempt:
		return s, errkind.StaleAttempt
	}
	return s, ""
}

func (n *naiveLedger) dispatch(d *controlapi.DispatchRequest) outcome {
	s, kind := n.own(d.RequestID, d.Attempt)
	_, ended := n.ended(s.session)
	switch {
	case kind != "":
		return refusal(kind)
	case s.state != request.Open:
		return refusal(errkind.StaleAttempt)
	case ended:
		return refusal(errkind.SessionExpired)
	case slices.Contains(s.sent, d.Upstream), n.repeatable(s.id) && slices.Contains(s.sentBefore, d.Upstream):
		return outcome{}
	case d.EarlierNotRun:
		n.add(fact{what: "not run", id: s.id})
	case !n.repeatable(s.id) && len(s.sent)+len(s.sentBefore) > 0:
		return refusal(errkind.OutcomeUnknown)
	}
	n.add(fact{what: "sent", id: s.id, upstream: d.Upstream})
	return outcome{}
}

func (n *naiveLedger) settle(c *controlapi.SettleRequest) outcome {
	s, kind := n.own(c.RequestID, c.Attempt)
	switch {
	case kind != "":
		return refusal(kind)
	case s.state == request.Settled || s.state == request.Unknown:
		return outcome{Tokens: s.charged}
	case s.state == request.Released:
		return refusal(errkind.StaleAttempt)
	case c.Unknown && n.repeatable(s.id):
		return refusal(errkind.InvalidRequest)
	case c.Unknown:
		n.add(fact{what: "unknown", id: s.id, budget: s.budget, tokens: s.tokens})
		return outcome{Tokens: s.tokens}
	}
	charged := min(c.Tokens, s.tokens)
	n.add(fact{what: "settled", id: s.id, budget: s.budget, body: s.body, tokens: charged})
	return outcome{Tokens: charged}
}

func (n *naiveLedger) release(c *controlapi.ReleaseRequest) outcome {
	s, kind := n.own(c.RequestID, c.Attempt)
	switch {
	case kind != "":
		return refusal(kind)
	case s.state == request.Released:
		return outcome{}
	case s.state != request.Open:
		return refusal(errkind.StaleAttempt)
	case c.MayHaveRun && !n.repeatable(s.id):
		return refusal(errkind.OutcomeUnknown)
	}
	n.add(fact{what: "released", id: s.id})
	return outcome{}
}

func (n *naiveLedger) outstanding(session, budget string) int64 {
	return n.of("granted", session, budget) - n.of("returned", session, budget) - n.of("merged", session, budget)
}

func (n *naiveLedger) grant(g *controlapi.GrantRequest) outcome {
	if _, ended := n.ended(g.Session); ended {
		return refusal(errkind.SessionExpired)
	}
	missing := max(0, g.Total-n.of("granted", g.Session, g.Budget))
	if kind := n.take(g.Budget, missing); kind != "" {
		return refusal(kind)
	}
	n.add(fact{what: "granted", session: g.Session, budget: g.Budget, tokens: missing})
	return outcome{Tokens: n.outstanding(g.Session, g.Budget)}
}

// holds tells whether the session holds a grant: an ended one is forgotten
// when it has nothing outstanding.
func (n *naiveLedger) holds(session string) bool {
	holds, outstanding := false, false
	for _, budget := range budgetNames {
		holds = holds || n.of("granted", session, budget) > 0
		outstanding = outstanding || n.outstanding(session, budget) > 0
	}
	_, ended := n.ended(session)
	return holds && (outstanding || !ended)
}

func (n *naiveLedger) returnGrant(g *controlapi.ReturnGrantRequest) outcome {
	if !n.holds(g.Session) || n.of("granted", g.Session, g.Budget) == 0 {
		return refusal(errkind.NotFound)
	}
	tokens := max(0, g.Total-n.of("returned", g.Session, g.Budget))
	if tokens > n.outstanding(g.Session, g.Budget) {
		return refusal(errkind.InvalidRequest)
	}
	n.add(fact{what: "returned", session: g.Session, budget: g.Budget, tokens: tokens})
	return outcome{Tokens: n.outstanding(g.Session, g.Budget)}
}

// merged returns the sequence of the last entry that the session has merged.
func (n *naiveLedger) merged(session string) uint64 {
	last := uint64(0)
	for _, f := range n.facts {
		if (f.what == "merged" || f.what == "seen") && f.session == session {
			last = f.sequence
		}
	}
	return last
}

// merge merges one entry, whose request has the body that the entry names.
func (n *naiveLedger) merge(j *controlapi.MergeJournalRequest) outcome {
	if !n.holds(j.Session) {
		return refusal(errkind.NotFound)
	}
	e := j.Entries[0]
	last := n.merged(j.Session)
	switch {
	case e.Sequence > last+1:
		return refusal(errkind.Conflict)
	case e.Sequence <= last:
		return outcome{}
	}
	id := e.RequestID
	if s := n.story(id); s.state != "" && s.body != e.BodyHash {
		id += "/" + e.BodyHash
	}
	f := fact{what: "merged", id: id, session: j.Session, budget: e.Budget, body: e.BodyHash, sequence: e.Sequence, attempt: 1}
	if s := n.story(id); s.state == request.Settled || s.state == request.Unknown {
		f.what, f.id = "seen", ""
	} else {
		f.tokens = min(e.Tokens, n.outstanding(j.Session, e.Budget))
	}
	n.add(f)
	return outcome{Tokens: f.tokens}
}
