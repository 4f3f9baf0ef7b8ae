package control

import (
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// topUp pays tokens into a budget, once per operation id.
func (m *Machine) topUp(t *controlapi.TopUpRequest) *controlapi.Result {
	return m.ledgerOperations.executeOnce(t.OperationID, t, m.nowMS, func() *controlapi.Result {
		organisation, ok := m.store.BudgetOrganisation(t.Budget)
		if !ok {
			return refuse(errkind.New(errkind.NotFound, "there is no budget %s", t.Budget))
		}
		if err := m.ensureAccount(t.Budget, organisation).TopUp(t.Tokens); err != nil {
			return refuse(err)
		}
		status := m.budgetStatus(t.Budget)
		return &controlapi.Result{Budget: &status}
	})
}
