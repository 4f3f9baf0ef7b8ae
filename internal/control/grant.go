package control

import (
	"github.com/godwitbend/godwitbend/internal/budget"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/grant"
)

// grant raises the tokens granted to a session to a total.
func (m *Machine) grant(g *controlapi.GrantRequest) *controlapi.Result {
	if !m.sessions.isOpen(g.Session) {
		return refuse(errkind.New(errkind.SessionExpired, "session %s is not open", g.Session))
	}
	organisation, ok := m.store.BudgetOrganisation(g.Budget)
	if !ok {
		return refuse(errkind.New(errkind.NotFound, "there is no budget %s", g.Budget))
	}
	if g.Total <= 0 || g.Total > budget.MaxTokens {
		return refuse(errkind.New(errkind.InvalidRequest, "total grant of %d tokens is out of range", g.Total))
	}
	missing := m.grants.MissingTokens(g.Session, g.Budget, g.Total)
	if err := m.ensureAccount(g.Budget, organisation).Grant(missing); err != nil {
		return refuse(err)
	}
	return grantResult(g.Session, m.grants.Add(g.Session, g.Budget, missing), false)
}

// returnGrant returns unspent tokens of a session to the budget. The session may
// have ended; its journal must be merged first.
func (m *Machine) returnGrant(g *controlapi.ReturnGrantRequest) *controlapi.Result {
	h, err := m.grants.Holder(g.Session)
	if err != nil {
		return refuse(err)
	}
	updated, tokens, err := m.grants.Return(h, g.Budget, g.Total)
	if err != nil {
		return refuse(err)
	}
	must(m.accounts[g.Budget].EndGrant(tokens, 0))
	return grantResult(g.Session, updated, h.Ended)
}

// writeOffGrant charges the outstanding grants of an ended session whose journal is
// lost. The session may have spent all of them; to charge less would risk overspend.
func (m *Machine) writeOffGrant(w *controlapi.WriteOffGrantRequest) *controlapi.Result {
	return m.ledgerOperations.executeOnce(w.OperationID, w, m.nowMS, func() *controlapi.Result {
		h, err := m.grants.Holder(w.Session)
		if err != nil {
			return refuse(err)
		}
		if !h.Ended {
			return refuse(errkind.New(errkind.Conflict, "session %s is open", w.Session))
		}
		result := &controlapi.Result{}
		for _, g := range m.grants.WriteOff(h) {
			must(m.accounts[g.Budget].EndGrant(g.Outstanding(), g.Outstanding()))
			result.WrittenOff += g.Outstanding()
		}
		return result
	})
}

func grantResult(session string, g grant.Grant, ended bool) *controlapi.Result {
	status := grantStatus(session, g, ended)
	return &controlapi.Result{Grant: &status}
}

func grantStatus(session string, g grant.Grant, ended bool) controlapi.GrantStatus {
	return controlapi.GrantStatus{
		Session: session, Budget: g.Budget, Granted: g.Granted, Returned: g.Returned,
		Charged: g.Charged, Outstanding: g.Outstanding(), Ended: ended,
	}
}

// listGrants lists the grants of the sessions, or of all holders if there are none.
func (m *Machine) listGrants(sessions []string) []controlapi.GrantStatus {
	holders := m.grants.Holders()
	if len(sessions) > 0 {
		holders = m.grants.HoldersForSessions(sessions)
	}
	var list []controlapi.GrantStatus
	for _, h := range holders {
		for _, g := range h.Grants {
			list = append(list, grantStatus(h.Session, g, h.Ended))
		}
	}
	return list
}
