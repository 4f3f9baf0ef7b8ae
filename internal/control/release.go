package control

import (
	"github.com/godwitbend/godwitbend/internal/containment"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/request"
)

// release frees the reservation of a request that did not run, or of a repeatable
// one that may have run but delivered no answer. A non-repeatable request that its
// owner abandons is orphaned instead.
func (m *Machine) release(c *controlapi.ReleaseRequest) *controlapi.Result {
	r, err := m.attemptRecord(c.RequestID, c.Attempt, c.Session)
	if err != nil {
		return refuse(err)
	}
	if r.State == request.Released {
		return &controlapi.Result{}
	}
	if err := r.CheckOpen(); err != nil {
		return refuse(err)
	}
	if c.Abandoned && !r.Repeatable {
		m.requests.MarkOrphaned(r, m.nowMS)
		return &controlapi.Result{}
	}
	if c.MayHaveRun && !r.Repeatable {
		return refuse(errkind.New(errkind.OutcomeUnknown, "request %s may not be repeated and may have run", r.ID))
	}
	m.dropNotRunDispatches(r, c.NotRun)
	ending := containment.NotRun
	if c.MayHaveRun {
		ending = containment.EndUnknown
	}
	m.closeRecord(r, ending, r.Release)
	return &controlapi.Result{}
}

// recoverOrphan closes an orphaned record that was not taken over. Its answer was not
// delivered completely, because that requires a Settle. A request that was never
// dispatched or is repeatable is released; the outcome of any other is unknown.
func (m *Machine) recoverOrphan(r *request.Record) {
	switch {
	case len(r.Dispatches) == 0:
		m.closeRecord(r, containment.NotRun, r.Release)
	case r.Repeatable:
		m.closeRecord(r, containment.EndUnknown, r.Release)
	default:
		m.closeRecord(r, containment.EndUnknown, r.SettleUnknown)
	}
}
