// Package fleetstate is the state machine that the control group of a gateway
// fleet replicates: the configuration document in force and the book of prepaid
// budgets.
package fleetstate

import (
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/prepaid"
)

// Document is a configuration as it was sent.
type Document struct {
	Version uint64 `cbor:"1,keyasint"`
	// Content is the document byte for byte, compressed by Compress.
	Content []byte `cbor:"2,keyasint"`
	// Prepaid holds the totals paid in by organisation.
	Prepaid map[string]int64 `cbor:"3,keyasint,omitempty"`
}

// HostReport is a report of a host.
type HostReport struct {
	Host   string         `cbor:"1,keyasint"`
	Report prepaid.Report `cbor:"2,keyasint"`
	// Stamp is the time of day of the control host at which it arrived, in Unix ns.
	ArrivalTime int64 `cbor:"3,keyasint,omitempty"`
}

// Closing ends the session of a host that stops.
type SessionClosing struct {
	Host    string `cbor:"1,keyasint"`
	Session uint64 `cbor:"2,keyasint"`
}

// Command is an entry of the log. Its parts are applied in the order of the fields.
type Command struct {
	Document *Document                `cbor:"1,keyasint,omitempty"`
	Openings []prepaid.SessionOpening `cbor:"2,keyasint,omitempty"`
	Reports  []HostReport             `cbor:"3,keyasint,omitempty"`
	Closings []SessionClosing         `cbor:"4,keyasint,omitempty"`
	// Statements are the words of witnesses of dead sessions.
	CeilingAnswers []prepaid.CeilingAnswer `cbor:"5,keyasint,omitempty"`
}

// Result is what Apply returns.
type Result struct {
	// Version is the version in force.
	Version uint64
	// Replies answer the reports, in their order.
	Replies []prepaid.Reply
	// Ended tells how the sessions of processes that were replaced were settled.
	Settlements []prepaid.SessionSettlement
	// Questions are for the witnesses among the reporting hosts, in the order of Replies.
	CeilingQueries [][]prepaid.CeilingQuery
	// Recovered is the number of tokens that came back by Statements.
	Recovered int64
	// Err tells that the command could not be read.
	Err error
}

// state is what snapshots hold.
type state struct {
	Document Document      `cbor:"1,keyasint"`
	Book     *prepaid.Book `cbor:"2,keyasint"`
}

// Machine implements replica.StateMachine. Document may be called from any
// goroutine, everything else only from the control goroutine.
type Machine struct {
	state    state
	document atomic.Pointer[Document]
}

// New returns the empty state.
func New() *Machine {
	m := &Machine{state: state{Book: prepaid.NewBook()}}
	m.publish()
	return m
}

// Document returns the document in force as far as this replica has applied the
// log. Its version is 0 before the first one. It must not be changed.
func (m *Machine) Document() *Document { return m.document.Load() }

// Book returns the budgets.
func (m *Machine) Book() *prepaid.Book { return m.state.Book }

func (m *Machine) publish() {
	d := m.state.Document
	m.document.Store(&d)
}

// Apply implements replica.StateMachine; it returns a *Result.
func (m *Machine) Apply(_ uint64, command []byte) any {
	var c Command
	if err := codec.Unmarshal(command, &c); err != nil {
		return &Result{Version: m.state.Document.Version, Err: eris.Wrap(err, "read a command of the log")}
	}
	m.replaceDocument(c.Document)
	result := &Result{Version: m.state.Document.Version}
	for _, o := range c.Openings {
		if settlement := m.state.Book.OpenSession(o); settlement != nil {
			result.Settlements = append(result.Settlements, *settlement)
		}
	}
	for _, answer := range c.CeilingAnswers {
		result.Recovered += m.state.Book.ApplyCeilingAnswer(answer)
	}
	for i := range c.Reports {
		r := &c.Reports[i]
		result.CeilingQueries = append(result.CeilingQueries, m.state.Book.CeilingQueries(r.Report.Session))
		result.Replies = append(result.Replies, m.state.Book.ApplyReport(r.Host, &r.Report, r.ArrivalTime))
	}
	for _, closing := range c.Closings {
		m.state.Book.CloseSession(closing.Host, closing.Session)
	}
	return result
}

// put replaces the document by one of a higher version.
func (m *Machine) replaceDocument(d *Document) {
	if d == nil || d.Version <= m.state.Document.Version {
		return
	}
	m.state.Document = *d
	m.state.Book.SetPrepaid(d.Prepaid)
	m.publish()
}

// Snapshot implements replica.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) { return codec.Marshal(&m.state) }

// Restore implements replica.StateMachine.
func (m *Machine) Restore(data []byte) error {
	s := state{Book: prepaid.NewBook()}
	if err := codec.Unmarshal(data, &s); err != nil {
		return eris.Wrap(err, "read the state of the fleet")
	}
	if s.Book.Provisional == nil {
		s.Book.Provisional = map[uint64]*prepaid.ProvisionalCharge{}
	}
	m.state = s
	m.publish()
	return nil
}
