package control

import (
	"github.com/godwitbend/godwitbend/internal/containment"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/request"
)

// dispatch records that the request is about to be sent to a further upstream.
func (m *Machine) dispatch(d *controlapi.DispatchRequest) *controlapi.Result {
	r, err := m.attemptRecord(d.RequestID, d.Attempt, d.Session)
	if err != nil {
		return refuse(err)
	}
	if err := r.CheckOpen(); err != nil {
		return refuse(err)
	}
	if !m.sessions.isOpen(r.Session) {
		return refuse(errkind.New(errkind.SessionExpired, "session %s is not open", r.Session))
	}
	if err := r.AcceptDispatchSequence(d.Sequence); err != nil {
		return refuse(err)
	}
	m.dropNotRunDispatches(r, d.NotRun)
	to := controlapi.Instance{Upstream: d.Upstream, Incarnation: d.UpstreamIncarnation}
	if to.Upstream == "" || len(to.Upstream) > maxIDBytes {
		return refuse(errkind.New(errkind.InvalidRequest, "upstream id has %d bytes, 1 to %d are allowed", len(to.Upstream), maxIDBytes))
	}
	if r.IsDispatchResend(to) {
		return &controlapi.Result{}
	}
	return m.dispatchTo(r, to, d.EarlierNotRun)
}

// dispatchTo records the dispatch of r to an instance if containment allows it.
// earlierNotRun ends all earlier dispatches as not run.
func (m *Machine) dispatchTo(r *request.Record, to controlapi.Instance, earlierNotRun bool) *controlapi.Result {
	if err := r.CheckDispatch(earlierNotRun); err != nil {
		return refuse(err)
	}
	if err := m.containment.CheckQuarantine(r.BodyHash, m.nowMS); err != nil {
		return refuse(err)
	}
	if earlierNotRun {
		m.containment.EndDispatches(r.BodyHash, r.ClearDispatches(), containment.NotRun, m.nowMS)
	}
	if refusal := m.checkInstance(r.BodyHash, to, r.Dispatches...); refusal != nil {
		return refusal
	}
	r.AddDispatch(to)
	m.containment.RecordDispatch(r.BodyHash, to)
	return &controlapi.Result{}
}

// dropNotRunDispatches removes dispatches that the owner of the attempt reports as not run.
func (m *Machine) dropNotRunDispatches(r *request.Record, notRun []controlapi.Instance) {
	if dropped := r.DropDispatches(notRun); len(dropped) > 0 {
		m.containment.EndDispatches(r.BodyHash, dropped, containment.NotRun, m.nowMS)
	}
}

// attemptRecord returns the record of a request if the attempt is its current one
// and the session owns it.
func (m *Machine) attemptRecord(id string, attempt uint32, session string) (*request.Record, error) {
	r := m.requests.Get(id)
	if r == nil {
		return nil, errkind.New(errkind.NotFound, "request %s has no record", id).WithOutcome(errkind.Unknown)
	}
	if err := r.CheckAttempt(attempt, session); err != nil {
		return nil, err
	}
	return r, nil
}
