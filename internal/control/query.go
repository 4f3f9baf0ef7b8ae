package control

import (
	"maps"
	"slices"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/request"
)

// allKinds selects the records of all kinds in a query.
const allKinds = config.Kind(config.Wildcard)

// maxListedRequests is the maximum number of request records in a reply.
const maxListedRequests = 1000

// Query answers a read-only query.
func (m *Machine) Query(q *controlapi.QueryRequest) *controlapi.QueryReply {
	reply := &controlapi.QueryReply{Revision: m.revision, Schema: m.schema}
	switch {
	case q.Records != "":
		reply.Records = m.listRecords(q)
	case q.Budgets:
		reply.Budgets = m.listBudgets(q)
	case q.Request != "":
		if r := m.requests.Get(q.Request); r != nil {
			reply.Requests = []controlapi.RequestStatus{requestStatus(r)}
		}
	case q.Requests:
		reply.Requests, reply.Truncated = m.listRequests(q.Organisation)
	case q.History:
		reply.History = m.history.after(q.HistoryAfter)
	case q.Grants:
		reply.Grants = m.listGrants(q.Only)
	case q.Orders:
		reply.Orders = m.listOrders()
	case q.Suspects:
		reply.Suspects = m.containment.Suspects()
	case q.Hosts:
		reply.Hosts = m.Sessions()
	}
	return reply
}

func (m *Machine) listRecords(q *controlapi.QueryRequest) []config.Record {
	var records []config.Record
	for _, r := range m.store.Records() {
		if q.Records != allKinds && q.Records != r.Kind || q.Name != "" && q.Name != r.Name {
			continue
		}
		records = append(records, r)
	}
	return records
}

func (m *Machine) listBudgets(q *controlapi.QueryRequest) []controlapi.BudgetStatus {
	names := q.Only
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(m.accounts))
	}
	var list []controlapi.BudgetStatus
	for _, name := range names {
		a, ok := m.accounts[name]
		if ok && (q.Organisation == "" || q.Organisation == a.organisation) {
			list = append(list, m.budgetStatus(name))
		}
	}
	return list
}

func (m *Machine) budgetStatus(name string) controlapi.BudgetStatus {
	a := m.accounts[name]
	s := a.State()
	return controlapi.BudgetStatus{
		Budget: name, Organisation: a.organisation,
		PaidIn: s.PaidIn, Charged: s.Charged, Reserved: s.Reserved, Granted: s.Granted,
	}
}

func (m *Machine) listRequests(organisation string) (list []controlapi.RequestStatus, truncated bool) {
	for r := range m.requests.All() {
		if organisation != "" && organisation != r.Organisation {
			continue
		}
		if len(list) == maxListedRequests {
			return list, true
		}
		list = append(list, requestStatus(r))
	}
	return list, false
}

func requestStatus(r *request.Record) controlapi.RequestStatus {
	return controlapi.RequestStatus{
		RequestID: r.ID, Organisation: r.Organisation, Caller: r.Caller, Service: r.Service,
		State: string(r.State), Attempt: r.Attempt, Reserved: r.Reserved, Charged: r.Charged, ChargedByCompletions: r.ChargedByCompletions, Session: r.Session,
	}
}
