package control

import (
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/request"
)

// maxIDBytes is the maximum length of request, session, operation and upstream ids, in bytes.
const maxIDBytes = 128

// begin opens the record of a request. If the record exists, begin reports its state,
// or transfers it to the sender if the session of its owner has ended or b supersedes
// the attempt.
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
		return m.beginReleased(b, r)
	default:
		return refuse(errkind.New(errkind.Internal, "request %s is %s", r.ID, r.State))
	}
}

// checkBegin checks that all required fields are set and all fields are in range.
func checkBegin(b *controlapi.BeginRequest) *errkind.Error {
	for _, id := range []string{b.RequestID, b.BodyHash, b.Session, b.Budget, b.Caller, b.Organisation, b.Service} {
		if id == "" || len(id) > maxIDBytes {
			return errkind.New(errkind.InvalidRequest, "begin: a required field is empty or longer than %d bytes", maxIDBytes)
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

// reserveAndOpen reserves b.Tokens, the maximum that the request may cost, and
// stores its open record r with add. A refused request changes nothing.
func (m *Machine) reserveAndOpen(b *controlapi.BeginRequest, r *request.Record, add func(*request.Record)) *controlapi.Result {
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
	m.recordFirstDispatch(b, r)
	return m.startedReply(r)
}

// beginNew begins a request that has no record.
func (m *Machine) beginNew(b *controlapi.BeginRequest) *controlapi.Result {
	r := request.New(b)
	if m.requests.Full(r) {
		return refuse(errkind.New(errkind.Overloaded, "the limit on retained request records is reached"))
	}
	return m.reserveAndOpen(b, r, m.requests.Add)
}

// beginReleased reopens the record of a released request with a new attempt.
func (m *Machine) beginReleased(b *controlapi.BeginRequest, r *request.Record) *controlapi.Result {
	if r.IsLateResend(b) {
		return refuse(errkind.New(errkind.StaleAttempt, "attempt %d of request %s was released", r.Attempt, r.ID).WithOutcome(errkind.NotRun))
	}
	return m.reserveAndOpen(b, r, func(r *request.Record) {
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
		return nil, errkind.New(errkind.Forbidden, "budget %s does not belong to organisation %s", b.Budget, b.Organisation)
	}
	return m.ensureAccount(b.Budget, organisation), nil
}

// ensureAccount returns the account of the budget, which it creates if there is none.
func (m *Machine) ensureAccount(name, organisation string) *account {
	a := m.accounts[name]
	if a == nil {
		a = &account{organisation: organisation}
		m.accounts[name] = a
	}
	return a
}

// checkUpstream returns the refusal if the body is quarantined or must not be
// dispatched to the upstream that b names, and nil otherwise.
func (m *Machine) checkUpstream(b *controlapi.BeginRequest) *controlapi.Result {
	if err := m.containment.CheckQuarantine(b.BodyHash, m.nowMS); err != nil {
		return refuse(err)
	}
	if b.Upstream == "" {
		return nil
	}
	return m.checkInstance(b.BodyHash, firstInstance(b))
}

// checkInstance returns the refusal if the body must not be dispatched to the
// instance, and nil otherwise. The owner of the request has reported that its
// earlier dispatches, own, have ended.
func (m *Machine) checkInstance(body string, to controlapi.Instance, own ...controlapi.Instance) *controlapi.Result {
	err, runOn := m.containment.CheckDispatch(body, to, m.nowMS, own...)
	if err == nil {
		return nil
	}
	return &controlapi.Result{Err: err, Begin: &controlapi.BeginReply{AllowedInstances: runOn, Suspect: m.containment.IsSuspect(body)}}
}

// firstInstance returns the instance of the first dispatch, which b names.
func firstInstance(b *controlapi.BeginRequest) controlapi.Instance {
	return controlapi.Instance{Upstream: b.Upstream, Incarnation: b.UpstreamIncarnation}
}

// recordFirstDispatch records the dispatch to the upstream that b names, if any.
func (m *Machine) recordFirstDispatch(b *controlapi.BeginRequest, r *request.Record) {
	if b.Upstream == "" {
		return
	}
	r.AddDispatch(firstInstance(b))
	m.containment.RecordDispatch(r.BodyHash, firstInstance(b))
}

// beginOpen handles a Begin whose request has an open record.
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

// takeOver transfers an open record, with its reservation, to the sender of b. The
// dispatch to the upstream that b names is recorded only if the record has no
// earlier dispatches.
func (m *Machine) takeOver(b *controlapi.BeginRequest, r *request.Record) *controlapi.Result {
	mayHaveRun := len(r.Dispatches) > 0
	if !mayHaveRun {
		if refusal := m.checkUpstream(b); refusal != nil {
			return refusal
		}
	}
	m.requests.ChangeOwner(r, func() { r.TakeOver(b) })
	if !mayHaveRun {
		m.recordFirstDispatch(b, r)
	}
	return m.startedReply(r)
}

// startedReply returns the reply to the owner of an open record. A resend of its
// Begin gets the same reply.
func (m *Machine) startedReply(r *request.Record) *controlapi.Result {
	reply := &controlapi.BeginReply{
		Status:     controlapi.BeginStarted,
		Attempt:    r.Attempt,
		MayHaveRun: r.MayHaveRun(),
		Suspect:    m.containment.IsSuspect(r.BodyHash),
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
