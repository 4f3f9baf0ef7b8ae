package control

import (
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// Limits on the configuration.
const (
	maxWritesPerRequest = 1000
	maxConfigRecords    = 200_000
)

// configure writes configuration records atomically, once per operation id.
func (m *Machine) configure(c *controlapi.ConfigureRequest) *controlapi.Result {
	return m.configOperations.executeOnce(c.OperationID, c, m.nowMS, func() *controlapi.Result { return m.applyWrites(c) })
}

// applyWrites validates all writes of c and then applies them as one revision.
func (m *Machine) applyWrites(c *controlapi.ConfigureRequest) *controlapi.Result {
	if len(c.Writes) == 0 || len(c.Writes) > maxWritesPerRequest || m.store.Len()+len(c.Writes) > maxConfigRecords {
		return refuse(errkind.New(errkind.InvalidRequest, "%d writes; 1 to %d, and %d records in all, are allowed", len(c.Writes), maxWritesPerRequest, maxConfigRecords))
	}
	records := make([]config.Record, len(c.Writes))
	for i := range c.Writes {
		w := &c.Writes[i]
		if refusal := m.checkRevision(w); refusal != nil {
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

// checkRevision returns nil if the write is based on the current revision of its
// record or is forced, and otherwise a refusal that contains the current record.
func (m *Machine) checkRevision(w *controlapi.ConfigWrite) *controlapi.Result {
	current, exists := m.store.Get(w.Record.ID())
	if w.Record.Deleted && !exists {
		return refuse(errkind.New(errkind.NotFound, "there is no %s %s", w.Record.Kind, w.Record.Name))
	}
	if w.Force || current.Revision == w.IfRevision {
		return nil
	}
	err := errkind.New(errkind.Conflict, "%s %s is at revision %d, not %d", w.Record.Kind, w.Record.Name, current.Revision, w.IfRevision)
	reply := &controlapi.ConfigureReply{Revision: m.revision}
	if exists {
		reply.Winner = &current
	}
	return &controlapi.Result{Err: err, Configure: reply}
}

// checkBudgets refuses to delete a budget that has uncharged tokens, and to change the
// organisation of a budget that has ever received a top-up.
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

// applyChange applies a validated change under a new revision and adds it to the history.
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
		m.syncAccount(r)
	}
	return &controlapi.Result{Configure: &controlapi.ConfigureReply{Revision: m.revision, Records: records}}
}

// syncAccount creates or updates the account of a written budget record. It deletes
// the account of a deleted budget that was never paid into and has no open requests.
func (m *Machine) syncAccount(r config.Record) {
	if r.Kind != config.KindBudget {
		return
	}
	organisation, ok := m.store.BudgetOrganisation(r.Name)
	a := m.accounts[r.Name]
	switch {
	case ok && a == nil:
		m.ensureAccount(r.Name, organisation)
	case ok:
		a.organisation = organisation
	case a != nil && a.State().PaidIn == 0 && !m.requests.HasOpenInBudget(r.Name):
		delete(m.accounts, r.Name)
	}
}
