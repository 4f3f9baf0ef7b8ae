// Package control implements the replicated state machine of the control group: the
// ledger of budgets, grants and requests, the configuration, the sessions of hosts,
// the orders to upstreams and the containment of crashes. The machine is
// deterministic: the same commands in the same order give the same results and the
// same state on every replica.
package control

import (
	"cmp"
	"slices"

	"github.com/godwitbend/godwitbend/internal/budget"
	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/containment"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/grant"
	"github.com/godwitbend/godwitbend/internal/orders"
	"github.com/godwitbend/godwitbend/internal/request"
)

// account is a budget and the organisation that owns it. Once tokens were paid in,
// the account is retained when the budget's configuration record is deleted.
type account struct {
	budget.Budget
	organisation string
}

// Machine is the state machine of a control group. It is not safe for concurrent use.
type Machine struct {
	nowMS            int64
	store            *config.Store
	revision         uint64
	schema           int
	history          history
	accounts         map[string]*account
	requests         *request.Table
	containment      *containment.Tracker
	sessions         sessions
	configOperations *operations
	ledgerOperations *operations
	grants           *grant.Book
	orders           *orders.Book
}

// NewMachine returns a machine in its initial state.
func NewMachine() *Machine {
	return &Machine{
		store:            config.NewStore(),
		schema:           config.MinSchema,
		accounts:         make(map[string]*account),
		requests:         request.NewTable(),
		containment:      containment.New(),
		sessions:         newSessions(),
		configOperations: newOperations(maxConfigOperations, configOperationRetentionMS, evictOldest),
		ledgerOperations: newOperations(maxLedgerOperations, ledgerOperationRetentionMS, refuseNew),
		grants:           grant.NewBook(),
		orders:           orders.NewBook(),
	}
}

// Apply executes an encoded command of the log and returns its
// *controlapi.Result. A command that cannot be decoded does not change the state.
func (m *Machine) Apply(_ uint64, command []byte) any {
	var cmd controlapi.Command
	if err := codec.Unmarshal(command, &cmd); err != nil {
		return refuse(errkind.New(errkind.InvalidRequest, "cannot decode command: %v", err))
	}
	return m.Execute(&cmd)
}

// Execute executes one command. The state time advances to the time of the command
// and never goes back.
func (m *Machine) Execute(cmd *controlapi.Command) *controlapi.Result {
	m.advanceTime(cmd.TimeMS)
	switch {
	case cmd.Begin != nil:
		return m.begin(cmd.Begin)
	case cmd.Dispatch != nil:
		return m.dispatch(cmd.Dispatch)
	case cmd.Settle != nil:
		return m.settle(cmd.Settle)
	case cmd.Release != nil:
		return m.release(cmd.Release)
	case cmd.Crash != nil:
		return m.recordCrash(cmd.Crash)
	case cmd.ClearBody != nil:
		return m.clearBody(cmd.ClearBody)
	case cmd.OpenSession != nil:
		return m.openSession(cmd.OpenSession)
	case cmd.EndSession != nil:
		return m.endSession(cmd.EndSession)
	case cmd.Configure != nil:
		return m.configure(cmd.Configure)
	case cmd.TopUp != nil:
		return m.topUp(cmd.TopUp)
	case cmd.Grant != nil:
		return m.grant(cmd.Grant)
	case cmd.ReturnGrant != nil:
		return m.returnGrant(cmd.ReturnGrant)
	case cmd.MergeJournal != nil:
		return m.mergeJournal(cmd.MergeJournal)
	case cmd.WriteOffGrant != nil:
		return m.writeOffGrant(cmd.WriteOffGrant)
	case cmd.PlaceOrder != nil:
		return m.placeOrder(cmd.PlaceOrder)
	case cmd.FinishOrder != nil:
		return m.finishOrder(cmd.FinishOrder)
	default:
		return refuse(errkind.New(errkind.InvalidRequest, "command has no body"))
	}
}

// advanceTime advances the state time, recovers the orphaned records that are due
// and removes expired state.
func (m *Machine) advanceTime(timeMS int64) {
	m.nowMS = max(m.nowMS, timeMS)
	for _, r := range m.requests.DueOrphans(m.nowMS) {
		m.recoverOrphan(r)
	}
	m.expireRequests()
	m.containment.Sweep(m.nowMS)
	m.configOperations.expire(m.nowMS)
	m.ledgerOperations.expire(m.nowMS)
}

// expireRequests removes closed records after their retention. It keeps the records
// of budgets whose grants to ended sessions are outstanding: a journal that is yet to
// be merged may contain the same requests, and the merge would charge them again.
func (m *Machine) expireRequests() {
	unmergedBudgets := m.grants.BudgetsOfEndedSessions()
	if len(unmergedBudgets) == 0 {
		m.requests.Expire(m.nowMS, nil)
		return
	}
	m.requests.Expire(m.nowMS, func(r *request.Record) bool { return unmergedBudgets[r.Budget] })
}

// Now returns the state time, in milliseconds since the Unix epoch.
func (m *Machine) Now() int64 { return m.nowMS }

// ActiveSchema returns the schema version in which records are stored.
func (m *Machine) ActiveSchema() int { return m.schema }

// CheckInvariants returns an Internal error if the state is inconsistent: a record
// or a budget is invalid, or the reservations and grants of a budget differ from the
// sums over its open requests and grant holders.
func (m *Machine) CheckInvariants() error {
	reserved := make(map[string]int64)
	for r := range m.requests.All() {
		if err := r.Check(); err != nil {
			return err
		}
		reserved[r.Budget] += r.Reserved
	}
	granted := m.grants.Outstanding()
	for name, a := range m.accounts {
		if err := a.Check(); err != nil {
			return err
		}
		if a.State().Granted != granted[name] {
			return errkind.New(errkind.Internal, "budget %s has %d tokens granted, its holders %d", name, a.State().Granted, granted[name])
		}
		if a.State().Reserved != reserved[name] {
			return errkind.New(errkind.Internal, "budget %s has %d tokens reserved, its requests %d", name, a.State().Reserved, reserved[name])
		}
		delete(reserved, name)
	}
	for name, tokens := range reserved {
		if tokens != 0 {
			return errkind.New(errkind.Internal, "%d tokens are reserved on budget %s, which has no account", tokens, name)
		}
	}
	return nil
}

// refuse returns a result with the refusal err.
func refuse(err error) *controlapi.Result {
	return &controlapi.Result{Err: errkind.From(err)}
}

// must panics on an error that the checks of the machine rule out: the machine would
// otherwise charge wrong amounts.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

func compareSessions(a, b controlapi.HostInfo) int { return cmp.Compare(a.Session, b.Session) }

// Sessions returns the hosts of the open sessions, ordered by session id.
func (m *Machine) Sessions() []controlapi.HostInfo {
	return slices.Clone(m.sessions.openList().hosts)
}

// SessionOpen reports whether a session is open.
func (m *Machine) SessionOpen(id string) bool { return m.sessions.isOpen(id) }

// SessionsVersion returns a hash that identifies the set of open sessions.
func (m *Machine) SessionsVersion() uint64 { return m.sessions.openList().version }
