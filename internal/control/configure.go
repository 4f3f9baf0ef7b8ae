package control

import (
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// Bounds on the configuration.
const (
	maxWrites  = 1000
	maxRecords = 200_000
)

// configure writes records, all or none.
func (m *Machine) configure(c *controlapi.ConfigureRequest) *controlapi.Result {
	return m.configurations.once(c.OperationID, c, m.nowMS, func() *controlapi.Result { return m.write(c) })
}

func (m *Machine) write(c *controlapi.ConfigureRequest) *controlapi.Result {
	if len(c.Writes) == 0 || len(c.Writes) > maxWrites || m.store.Len()+len(c.Writes) > maxRecords {
		return refuse(errkind.New(errkind.InvalidRequest, "%d writes; 1 to %d, and %d records in all, are allowed", len(c.Writes), maxWrites, maxRecords))
	}
	records := make([]config.Record, len(c.Writes))
	for i := range c.Writes {
		w := &c.Writes[i]
		if refusal := m.compareRevision(w); refusal != nil {
			return refusal
		}
		records[i] = w.Record
	}
	change, faults := m.store.Check(records, m.schema)
	if len(faults) > 0 {
		return refuse(errkind.New(errkind.InvalidRequest, "%v", faults))
	}
	if err := m.checkBudgets(records, change); err != nil {
		return refuse(err)
	}
	return m.applyChange(c, change)
}

// compareRevision returns the refusal of a write that did not see the present
// record, with that record; nil if it did.
func (m *Machine) compareRevision(w *controlapi.ConfigWrite) *controlapi.Result {
	present, exists := m.store.Get(w.Record.ID())
	if w.Record.Deleted && !exists {
		return refuse(errkind.New(errkind.NotFound, "there is no %s %s", w.Record.Kind, w.Record.Name))
	}
	if w.Force || present.Revision == w.IfRevision {
		return nil
	}
	err := errkind.New(errkind.Conflict, "%s %s is at revision %d, not %d", w.Record.Kind, w.Record.Name, present.Revision, w.IfRevision)
	reply := &controlapi.ConfigureReply{Revision: m.revision}
	if exists {
		reply.Winner = &present
	}
	return &controlapi.Result{Err: err, Configure: reply}
}

// checkBudgets refuses to delete a budget, or to move it to another
// organisation, while it holds tokens of its organisation.
func (m *Machine) checkBudgets(records []config.Record, change *config.Change) error {
	for _, r := range records {
		if r.Kind != config.KindBudget {
			continue
		}
		a := m.accounts[r.Name]
		if a == nil {
			continue
		}
		organisation, _ := change.BudgetOrganisation(r.Name)
		if organisation == a.organisation {
			continue
		}
		if s := a.State(); s.PaidIn > s.Charged || s.PaidIn > 0 && !r.Deleted {
			return errkind.New(errkind.Conflict, "budget %s holds tokens of organisation %s", r.Name, a.organisation)
		}
	}
	return nil
}

func (m *Machine) applyChange(c *controlapi.ConfigureRequest, change *config.Change) *controlapi.Result {
	m.revision++
	change.SetRevision(m.revision)
	m.store.Apply(change)
	records := change.Records()
	for _, r := range records {
		m.history.add(controlapi.HistoryEntry{
			Revision: m.revision, OperationID: c.OperationID, Operator: c.Operator,
			Kind: r.Kind, Name: r.Name, Deleted: r.Deleted, TimeMS: m.nowMS,
		})
		m.followBudget(r)
	}
	return &controlapi.Result{Configure: &controlapi.ConfigureReply{Revision: m.revision, Records: records}}
}

// followBudget opens the account of a written budget, and drops the account
// of a deleted one that was never paid into.
func (m *Machine) followBudget(r config.Record) {
	if r.Kind != config.KindBudget {
		return
	}
	organisation, ok := m.store.BudgetOrganisation(r.Name)
	a := m.accounts[r.Name]
	switch {
	case ok && a == nil:
		m.account(r.Name, organisation)
	case ok:
		a.organisation = organisation
	case a != nil && a.State().PaidIn == 0 && !m.requests.HasOpenInBudget(r.Name):
		delete(m.accounts, r.Name)
	}
}
