package control

import (
	"github.com/godwitbend/godwitbend/internal/containment"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/request"
)

// settle charges a request that ran. A resent Settle of the attempt gets the first result.
func (m *Machine) settle(s *controlapi.SettleRequest) *controlapi.Result {
	r, err := m.attemptRecord(s.RequestID, s.Attempt, s.Session)
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
		return refuse(errkind.New(errkind.InvalidRequest, "charge of %d tokens is negative", s.Tokens))
	}
	if s.Unknown && r.Repeatable {
		return refuse(errkind.New(errkind.InvalidRequest, "request %s may be repeated: release it instead of settling it as unknown", r.ID))
	}
	tokens := m.tokensToCharge(r.Completes, s.Tokens)
	switch {
	case s.Unknown:
		m.closeRecord(r, containment.EndUnknown, r.SettleUnknown)
	case s.Partial:
		r.Partial = true
		m.closeRecord(r, containment.EndUnknown, func() int64 { return r.Settle(tokens, s.Answer) })
		m.recordCompletion(r)
	default:
		m.closeRecord(r, containment.Completed, func() int64 { return r.Settle(tokens, s.Answer) })
		m.recordCompletion(r)
	}
	return settledResult(r)
}

// tokensToCharge returns the charge for a request that used tokens. It is 0 if the
// request completes another one that was meanwhile charged in full.
func (m *Machine) tokensToCharge(completes string, tokens int64) int64 {
	if completes == "" {
		return tokens
	}
	original := m.requests.Get(completes)
	if original != nil && original.State == request.Settled && !original.Partial {
		return 0
	}
	return tokens
}

// recordCompletion adds the charge of the settled record r to the record of the
// partially served request that r completes, if any.
func (m *Machine) recordCompletion(r *request.Record) {
	if r.Completes == "" {
		return
	}
	original := m.requests.Get(r.Completes)
	if original == nil || original.State != request.Settled || !original.Partial {
		return
	}
	original.ChargedByCompletions += r.Charged
	original.Partial = r.Partial
	m.requests.Retain(original, m.nowMS)
}

// settleDelivered charges a request whose answer was delivered completely, but whose
// attempt was superseded or whose reservation was freed before the Settle arrived.
// A record that is already charged does not change. Without a reservation, the charge
// is at most what the budget has available.
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

// closeRecord closes an open record with transition, which returns the reservation
// to end, settles the reservation with the budget and ends the dispatches.
func (m *Machine) closeRecord(r *request.Record, ending containment.Ending, transition func() int64) {
	dispatches := r.Dispatches
	reserved := transition()
	must(m.accounts[r.Budget].Settle(reserved, r.Charged))
	m.requests.Close(r, m.nowMS)
	if len(dispatches) > 0 {
		m.containment.EndDispatches(r.BodyHash, dispatches, ending, m.nowMS)
	}
}
