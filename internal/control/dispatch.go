package control

import (
	"github.com/godwitbend/godwitbend/internal/containment"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/request"
)

// dispatch records that a further upstream is about to be tried.
func (m *Machine) dispatch(d *controlapi.DispatchRequest) *controlapi.Result {
	r, err := m.attempt(d.RequestID, d.Attempt, d.Session)
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
	m.dropNotRun(r, d.NotRun)
	to := controlapi.Instance{Upstream: d.Upstream, Incarnation: d.UpstreamIncarnation}
	if to.Upstream == "" || len(to.Upstream) > maxIDBytes {
		return refuse(errkind.New(errkind.InvalidRequest, "upstream id has %d bytes, 1 to %d are allowed", len(to.Upstream), maxIDBytes))
	}
	if r.IsDispatchResend(to) {
		return &controlapi.Result{}
	}
	return m.dispatchTo(r, to, d.EarlierNotRun)
}

func (m *Machine) dispatchTo(r *request.Record, to controlapi.Instance, earlierNotRun bool) *controlapi.Result {
	if err := r.CheckDispatch(earlierNotRun); err != nil {
		return refuse(err)
	}
	if err := m.bodies.CheckQuarantine(r.BodyHash, m.nowMS); err != nil {
		return refuse(err)
	}
	if earlierNotRun {
		m.bodies.EndDispatches(r.BodyHash, r.ClearDispatches(), containment.NotRun, m.nowMS)
	}
	if refusal := m.checkInstance(r.BodyHash, to, r.Dispatches...); refusal != nil {
		return refusal
	}
	r.AddDispatch(to)
	m.bodies.RecordDispatch(r.BodyHash, to)
	return &controlapi.Result{}
}

// dropNotRun takes the owner's word that dispatches of its attempt did not run.
func (m *Machine) dropNotRun(r *request.Record, notRun []controlapi.Instance) {
	if dropped := r.DropDispatches(notRun); len(dropped) > 0 {
		m.bodies.EndDispatches(r.BodyHash, dropped, containment.NotRun, m.nowMS)
	}
}

// attempt returns the record of a command that names an attempt of a request.
func (m *Machine) attempt(id string, attempt uint32, session string) (*request.Record, error) {
	r := m.requests.Get(id)
	if r == nil {
		return nil, errkind.New(errkind.NotFound, "there is no record of request %s", id).WithOutcome(errkind.Unknown)
	}
	if err := r.CheckAttempt(attempt, session); err != nil {
		return nil, err
	}
	return r, nil
}
