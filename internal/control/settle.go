package control

import (
	"github.com/godwitbend/godwitbend/internal/containment"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/request"
)

// settle charges a request that ran. A repeated Settle of the attempt gets the first result.
func (m *Machine) settle(s *controlapi.SettleRequest) *controlapi.Result {
	r, err := m.attempt(s.RequestID, s.Attempt, s.Session)
	if s.Delivered && errkind.Is(err, errkind.StaleAttempt) {
		return m.settleDelivered(m.requests.Get(s.RequestID), s)
	}
	if err != nil {
		return refuse(err)
	}
	if s.Delivered && r.State == request.Released {
		return m.settleDelivered(r, s)
	}
	if r.State == request.Settled || r.State == request.Unknown {
		return settledResult(r)
	}
	if err := r.CheckOpen(); err != nil {
		return refuse(err)
	}
	if s.Tokens < 0 {
		return refuse(errkind.New(errkind.InvalidRequest, "charge of %d tokens", s.Tokens))
	}
	if s.Unknown && r.Repeatable {
		return refuse(errkind.New(errkind.InvalidRequest, "request %s may be repeated, so it is released", r.ID))
	}
	tokens := m.priceOf(r.Completes, s.Tokens)
	switch {
	case s.Unknown:
		m.closeRecord(r, containment.EndUnknown, r.SettleUnknown)
	case s.Partial:
		r.Partial = true
		m.closeRecord(r, containment.EndUnknown, func() int64 { return r.Settle(tokens, s.Answer) })
		m.noteCompletion(r)
	default:
		m.closeRecord(r, containment.Completed, func() int64 { return r.Settle(tokens, s.Answer) })
		m.noteCompletion(r)
	}
	return settledResult(r)
}

// priceOf returns what a request is charged that used tokens. One that
// completes another, which has been charged in full meanwhile, costs nothing.
func (m *Machine) priceOf(completes string, tokens int64) int64 {
	if completes == "" {
		return tokens
	}
	first := m.requests.Get(completes)
	if first != nil && first.State == request.Settled && !first.Partial {
		return 0
	}
	return tokens
}

// noteCompletion tells the record of a request that was cut off what the
// settled record r, which completes it, has charged.
func (m *Machine) noteCompletion(r *request.Record) {
	if r.Completes == "" {
		return
	}
	first := m.requests.Get(r.Completes)
	if first == nil || first.State != request.Settled || !first.Partial {
		return
	}
	first.ChargedByCompletions += r.Charged
	first.Partial = r.Partial
	m.requests.Retain(first, m.nowMS)
}

// settleDelivered charges a request whose answer was delivered whole by an
// attempt that was superseded, or whose reservation was freed, before its
// settlement arrived. A record that is charged already stays as it is. Without
// a reservation at most what the budget has left is charged.
func (m *Machine) settleDelivered(r *request.Record, s *controlapi.SettleRequest) *controlapi.Result {
	if s.Tokens < 0 || s.Partial || s.Unknown || s.Attempt > r.Attempt {
		return refuse(errkind.New(errkind.StaleAttempt, "request %s is at attempt %d", r.ID, r.Attempt))
	}
	switch r.State {
	case request.Open:
		m.closeRecord(r, containment.EndUnknown, func() int64 { return r.Settle(s.Tokens, s.Answer) })
	case request.Released:
		a := m.accounts[r.Budget]
		charged := min(s.Tokens, max(a.Available(), 0))
		must(a.Reserve(charged))
		must(a.Settle(charged, charged))
		r.SettleFromGrant(charged, s.Tokens)
		r.Answer = s.Answer
		m.requests.Retain(r, m.nowMS)
	}
	return settledResult(r)
}

func settledResult(r *request.Record) *controlapi.Result {
	return &controlapi.Result{Settled: r.Charged, Overrun: r.Overrun}
}

// closeRecord closes an open record by transition, which returns the
// reservation that ends, and moves its tokens accordingly.
func (m *Machine) closeRecord(r *request.Record, ending containment.Ending, transition func() int64) {
	dispatches := r.Dispatches
	reserved := transition()
	must(m.accounts[r.Budget].Settle(reserved, r.Charged))
	m.requests.Close(r, m.nowMS)
	if len(dispatches) > 0 {
		m.bodies.EndDispatches(r.BodyHash, dispatches, ending, m.nowMS)
	}
}
