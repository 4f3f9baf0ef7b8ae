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
	if err != nil {
		return refuse(err)
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
	switch {
	case s.Unknown:
		m.closeRecord(r, containment.NoEnd, r.SettleUnknown)
	case s.Partial:
		r.Partial = true
		m.closeRecord(r, containment.NoEnd, func() int64 { return r.Settle(s.Tokens, s.Answer) })
	default:
		m.closeRecord(r, containment.Completed, func() int64 { return r.Settle(s.Tokens, s.Answer) })
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
		m.bodies.Close(r.BodyHash, dispatches, ending, m.nowMS)
	}
}
