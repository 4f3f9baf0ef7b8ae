package control

import (
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// topUp pays tokens into a budget, once per operation id. A resend gets the
// first result.
func (m *Machine) topUp(t *controlapi.TopUpRequest) *controlapi.Result {
	content := contentOf(t)
	first, err := m.topUps.find(t.OperationID, content)
	if err != nil {
		return refuse(err)
	}
	if first != nil {
		return first
	}
	if m.topUps.full() {
		return refuse(errkind.New(errkind.Overloaded, "%d top-ups are remembered, no more fit", maxTopUps))
	}
	result := m.payIn(t)
	m.topUps.add(&operation{ID: t.OperationID, Content: content, AtMS: m.nowMS, Result: result})
	return copyResult(result)
}

func (m *Machine) payIn(t *controlapi.TopUpRequest) *controlapi.Result {
	organisation, ok := m.store.BudgetOrganisation(t.Budget)
	if !ok {
		return refuse(errkind.New(errkind.NotFound, "there is no budget %s", t.Budget))
	}
	if err := m.account(t.Budget, organisation).TopUp(t.Tokens); err != nil {
		return refuse(err)
	}
	status := m.budgetStatus(t.Budget)
	return &controlapi.Result{Budget: &status}
}
