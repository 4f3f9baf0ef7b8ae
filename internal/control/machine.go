// Package control holds the state machine of the control group: the ledger of
// budgets and requests, the configuration, the sessions of entry hosts and the
// containment of crashes. The machine is deterministic: equal commands in
// equal order give equal results and equal states on every replica.
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

// account is a budget with the organisation that it belongs to. It outlives
// the budget's configuration record once tokens were paid in.
type account struct {
	budget.Budget
	organisation string
}

// Machine is the control state. It is owned by one goroutine.
type Machine struct {
	nowMS          int64
	store          *config.Store
	revision       uint64
	schema         int
	history        history
	accounts       map[string]*account
	requests       *request.Table
	bodies         *containment.Tracker
	sessions       sessions
	configurations *operations
	payments       *operations
	grants         *grant.Book
	orders         *orders.Book
}

// NewMachine returns the machine before the first command.
func NewMachine() *Machine {
	return &Machine{
		store:          config.NewStore(),
		schema:         config.MinSchema,
		accounts:       make(map[string]*account),
		requests:       request.NewTable(),
		bodies:         containment.New(),
		sessions:       newSessions(),
		configurations: newOperations(maxConfigurations, configurationRetentionMS, displaceOldest),
		payments:       newOperations(maxPayments, paymentRetentionMS, refuseNew),
		grants:         grant.NewBook(),
		orders:         orders.NewBook(),
	}
}

// Apply executes an encoded command of the log and returns its
// *controlapi.Result. A command that cannot be decoded changes nothing.
func (m *Machine) Apply(_ uint64, command []byte) any {
	var cmd controlapi.Command
	if err := codec.Unmarshal(command, &cmd); err != nil {
		return refuse(errkind.New(errkind.InvalidRequest, "command: %v", err))
	}
	return m.Execute(&cmd)
}

// Execute executes one command. Its state time is that of the command, or the
// time of an earlier command if that is later.
func (m *Machine) Execute(cmd *controlapi.Command) *controlapi.Result {
	m.advance(cmd.TimeMS)
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
		return m.crash(cmd.Crash)
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
		return refuse(errkind.New(errkind.InvalidRequest, "command without a body"))
	}
}

// advance moves the state time forward and does what has become due.
func (m *Machine) advance(timeMS int64) {
	m.nowMS = max(m.nowMS, timeMS)
	for _, r := range m.requests.DueOrphans(m.nowMS) {
		m.recoverOrphan(r)
	}
	m.expireRequests()
	m.bodies.Sweep(m.nowMS)
	m.configurations.expire(m.nowMS)
	m.payments.expire(m.nowMS)
}

// expireRequests drops closed records. Those that a journal may hold which is
// still to be merged are kept, because the merge would bill them again.
func (m *Machine) expireRequests() {
	stranded := m.grants.BudgetsOfEndedSessions()
	if len(stranded) == 0 {
		m.requests.Expire(m.nowMS, nil)
		return
	}
	m.requests.Expire(m.nowMS, func(r *request.Record) bool { return stranded[r.Budget] })
}

// Now returns the state time, in milliseconds since 1970.
func (m *Machine) Now() int64 { return m.nowMS }

// ActiveSchema returns the schema version in which records are stored.
func (m *Machine) ActiveSchema() int { return m.schema }

// CheckInvariants returns an Internal error if the state contradicts itself:
// a budget is overspent, or its reservations and grants are not those of its
// open requests and holders.
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
			return errkind.New(errkind.Internal, "budget %s grants %d tokens, its holders have %d", name, a.State().Granted, granted[name])
		}
		if a.State().Reserved != reserved[name] {
			return errkind.New(errkind.Internal, "budget %s reserves %d tokens, its requests %d", name, a.State().Reserved, reserved[name])
		}
		delete(reserved, name)
	}
	for name, tokens := range reserved {
		if tokens != 0 {
			return errkind.New(errkind.Internal, "%d tokens are reserved on no budget %s", tokens, name)
		}
	}
	return nil
}

// refuse returns the result of a refused command.
func refuse(err error) *controlapi.Result {
	return &controlapi.Result{Err: errkind.From(err)}
}

// must panics on an error of an aggregate that the machine's own checks rule
// out: to go on would charge wrong amounts.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

func compareSessions(a, b controlapi.HostInfo) int { return cmp.Compare(a.Session, b.Session) }

// Sessions returns the open sessions in the order of their ids.
func (m *Machine) Sessions() []controlapi.HostInfo {
	return slices.Clone(m.sessions.listed().hosts)
}

// SessionOpen tells whether a session is open.
func (m *Machine) SessionOpen(id string) bool { return m.sessions.isOpen(id) }

// SessionsVersion identifies the set of open sessions.
func (m *Machine) SessionsVersion() uint64 { return m.sessions.listed().version }
