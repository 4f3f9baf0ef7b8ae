package control

import (
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/request"
)

// maxIDBytes bounds the ids of requests, sessions, operations and upstreams, in bytes.
const maxIDBytes = 128

// begin opens the record of a request, gives an open one of a dead owner to
// the sender, or tells what became of it.
func (m *Machine) begin(b *controlapi.BeginRequest) *controlapi.Result {
	if err := checkBegin(b); err != nil {
		return refuse(err)
	}
	if !m.sessions.isOpen(b.Session) {
		return refuse(errkind.New(errkind.SessionExpired, "session %s is not open", b.Session))
	}
	r := m.requests.Get(b.RequestID)
	if r == nil {
		return m.beginNew(b)
	}
	if r.BodyHash != b.BodyHash || r.Caller != b.Caller {
		return refuse(errkind.New(errkind.KeyReused, "the idempotency key was used for another request"))
	}
	switch r.State {
	case request.Open:
		return m.beginOpen(b, r)
	case request.Settled:
		return &controlapi.Result{Begin: &controlapi.BeginReply{
			Status: controlapi.BeginSettled, Attempt: r.Attempt, Answer: r.Answer, Charged: r.Charged, Partial: r.Partial,
		}}
	case request.Unknown:
		return refuse(errkind.New(errkind.OutcomeUnknown, "request %s may have run", r.ID))
	case request.Released:
		return m.beginAgain(b, r)
	default:
		return refuse(errkind.New(errkind.Internal, "request %s is %s", r.ID, r.State))
	}
}

func checkBegin(b *controlapi.BeginRequest) *errkind.Error {
	for _, id := range []string{b.RequestID, b.BodyHash, b.Session, b.Budget, b.Caller, b.Organisation, b.Service} {
		if id == "" || len(id) > maxIDBytes {
			return errkind.New(errkind.InvalidRequest, "begin lacks a field, or one is longer than %d bytes", maxIDBytes)
		}
	}
	if b.Tokens < 0 || b.Tokens > config.MaxRequestTokens {
		return errkind.New(errkind.InvalidRequest, "reservation of %d tokens is out of range", b.Tokens)
	}
	if len(b.Upstream) > maxIDBytes {
		return errkind.New(errkind.InvalidRequest, "upstream id is longer than %d bytes", maxIDBytes)
	}
	return nil
}

// beginFirst reserves the worst case and takes in r, an open record, by add.
// Nothing is changed if the request is refused.
func (m *Machine) beginFirst(b *controlapi.BeginRequest, r *request.Record, add func(*request.Record)) *controlapi.Result {
	a, err := m.accountFor(b)
	if err != nil {
		return refuse(err)
	}
	if refusal := m.checkUpstream(b); refusal != nil {
		return refusal
	}
	if err := a.Reserve(b.Tokens); err != nil {
		return refuse(err)
	}
	add(r)
	m.openFirst(b, r)
	return m.startedReply(r)
}

func (m *Machine) beginNew(b *controlapi.BeginRequest) *controlapi.Result {
	r := request.New(b)
	if m.requests.Full(r) {
		return refuse(errkind.New(errkind.Overloaded, "too many request records are kept"))
	}
	return m.beginFirst(b, r, m.requests.Add)
}

// beginAgain runs a released request anew.
func (m *Machine) beginAgain(b *controlapi.BeginRequest, r *request.Record) *controlapi.Result {
	if r.IsLateResend(b) {
		return refuse(errkind.New(errkind.StaleAttempt, "attempt %d of request %s was released", r.Attempt, r.ID).WithOutcome(errkind.NotRun))
	}
	return m.beginFirst(b, r, func(r *request.Record) {
		m.requests.Reopen(r, func() { r.Restart(b) })
	})
}

// accountFor returns the account that a request is charged to.
func (m *Machine) accountFor(b *controlapi.BeginRequest) (*account, error) {
	organisation, ok := m.store.BudgetOrganisation(b.Budget)
	if !ok {
		return nil, errkind.New(errkind.NotFound, "there is no budget %s", b.Budget)
	}
	if organisation != b.Organisation {
		return nil, errkind.New(errkind.Forbidden, "budget %s is not of organisation %s", b.Budget, b.Organisation)
	}
	return m.account(b.Budget, organisation), nil
}

func (m *Machine) account(name, organisation string) *account {
	a := m.accounts[name]
	if a == nil {
		a = &account{organisation: organisation}
		m.accounts[name] = a
	}
	return a
}

// checkUpstream returns the refusal of the body on the first upstream that b
// names, or of a quarantined body; nil if there is none.
func (m *Machine) checkUpstream(b *controlapi.BeginRequest) *controlapi.Result {
	if err := m.bodies.CheckQuarantine(b.BodyHash, m.nowMS); err != nil {
		return refuse(err)
	}
	if b.Upstream == "" {
		return nil
	}
	return m.checkInstance(b.BodyHash, firstInstance(b))
}

// checkInstance returns the refusal of a body on an upstream; nil if there is
// none. The request's own earlier dispatches have ended by its owner's word.
func (m *Machine) checkInstance(body string, to controlapi.Instance, own ...controlapi.Instance) *controlapi.Result {
	err, runOn := m.bodies.CheckDispatch(body, to, m.nowMS, own...)
	if err == nil {
		return nil
	}
	return &controlapi.Result{Err: err, Begin: &controlapi.BeginReply{AllowedInstances: runOn, Suspect: m.bodies.IsSuspect(body)}}
}

func firstInstance(b *controlapi.BeginRequest) controlapi.Instance {
	return controlapi.Instance{Upstream: b.Upstream, Incarnation: b.UpstreamIncarnation}
}

// openFirst counts the first upstream that b names as dispatched.
func (m *Machine) openFirst(b *controlapi.BeginRequest, r *request.Record) {
	if b.Upstream == "" {
		return
	}
	r.AddDispatch(firstInstance(b))
	m.bodies.RecordDispatch(r.BodyHash, firstInstance(b))
}

// beginOpen answers a Begin that meets an open record.
func (m *Machine) beginOpen(b *controlapi.BeginRequest, r *request.Record) *controlapi.Result {
	if r.IsResend(b) {
		return m.startedReply(r)
	}
	if !r.Orphaned && !r.IsSupersededBy(b) {
		return &controlapi.Result{Begin: &controlapi.BeginReply{
			Status: controlapi.BeginInProgress, Attempt: r.Attempt, Owner: r.Session,
		}}
	}
	return m.takeOver(b, r)
}

// takeOver gives an open record, with its reservation, to the sender of b. The
// upstream that b names counts as dispatched only if nothing has run before.
func (m *Machine) takeOver(b *controlapi.BeginRequest, r *request.Record) *controlapi.Result {
	mayHaveRun := len(r.Dispatches) > 0
	if !mayHaveRun {
		if refusal := m.checkUpstream(b); refusal != nil {
			return refusal
		}
	}
	m.requests.ChangeOwner(r, func() { r.TakeOver(b) })
	if !mayHaveRun {
		m.openFirst(b, r)
	}
	return m.startedReply(r)
}

// startedReply tells the owner of an open record what it owns. A resend of its
// Begin gets the same reply.
func (m *Machine) startedReply(r *request.Record) *controlapi.Result {
	reply := &controlapi.BeginReply{
		Status:     controlapi.BeginStarted,
		Attempt:    r.Attempt,
		MayHaveRun: r.MayHaveRun(),
		Suspect:    m.bodies.IsSuspect(r.BodyHash),
	}
	if r.TakenOver {
		reply.Status = controlapi.BeginTakenOver
	}
	if d, ok := r.LastEarlierDispatch(); ok {
		reply.Upstream = d.Upstream
		reply.UpstreamIncarnation = d.Incarnation
	}
	return &controlapi.Result{Begin: reply}
}
