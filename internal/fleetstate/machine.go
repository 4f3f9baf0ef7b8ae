// Package fleetstate implements the state machine that the control group of a gateway
// fleet replicates: the configuration document in force, the ledger of prepaid budgets and the
// evacuated availability zones.
package fleetstate

import (
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/prepaid"
)

// Document is a configuration as an operator submitted it.
type Document struct {
	Version uint64 `cbor:"1,keyasint"`
	// Content is the unmodified document, compressed with Compress.
	Content []byte `cbor:"2,keyasint"`
	// Prepaid holds the total number of tokens paid in, by organisation.
	Prepaid map[string]int64 `cbor:"3,keyasint,omitempty"`
}

// HostReport is a gateway host's account of its use, with the time of its arrival.
type HostReport struct {
	Host   string         `cbor:"1,keyasint"`
	Report prepaid.Report `cbor:"2,keyasint"`
	// ArrivalTime is the wall clock of the control host when the report arrived, in Unix ns.
	ArrivalTime int64 `cbor:"3,keyasint,omitempty"`
}

// SessionClosing ends the session of a host that shuts down.
type SessionClosing struct {
	Host    string `cbor:"1,keyasint"`
	Session uint64 `cbor:"2,keyasint"`
}

// Command is an entry of the replicated log. The document is applied first, then the
// openings, the ceiling answers, the reports, the closings, the evacuation, BootClocks and ClockAgreement.
type Command struct {
	Document *Document                `cbor:"1,keyasint,omitempty"`
	Openings []prepaid.SessionOpening `cbor:"2,keyasint,omitempty"`
	Reports  []HostReport             `cbor:"3,keyasint,omitempty"`
	Closings []SessionClosing         `cbor:"4,keyasint,omitempty"`
	// CeilingAnswers are the answers of witnesses on terminated sessions.
	CeilingAnswers []prepaid.CeilingAnswer `cbor:"5,keyasint,omitempty"`
	// Evacuation is understood by replicas whose Features are FeatureEvacuations or more. Others
	// ignore it, so that it is proposed only if no voter is one of those.
	Evacuation *Evacuation `cbor:"6,keyasint,omitempty"`
	// BootClocks makes the ledger measure the gaps of terminated processes by boot-time clocks only,
	// from this entry on. It is understood by replicas whose Features are FeatureBootClocks or more.
	// Others ignore it, so that it is proposed only if no member of the group is one of those.
	BootClocks bool `cbor:"7,keyasint,omitempty"`
	// ClockAgreement makes the ledger measure the gaps of terminated processes by boot-time clocks and, where these
	// can't, by wall clocks that agree, from this entry on. It is understood by replicas whose Features are
	// FeatureClockAgreement or more, and proposed as BootClocks is.
	ClockAgreement bool `cbor:"8,keyasint,omitempty"`
}

// Result is the result of applying a Command.
type Result struct {
	// Index is the index of the command in the log.
	Index uint64
	// Version is the version of the document in force.
	Version uint64
	// Replies holds the replies to the reports, in the order of the reports.
	Replies []prepaid.Reply
	// Settlements describes how the sessions of replaced processes were settled.
	Settlements []prepaid.SessionSettlement
	// CeilingQueries holds the queries for each reporting host as a witness, in the order of
	// Replies.
	CeilingQueries [][]prepaid.CeilingQuery
	// Recovered is the number of tokens of terminated sessions that the CeilingAnswers freed.
	Recovered int64
	// Evacuation is the result of the Evacuation.
	Evacuation EvacuationResult
	// Err is set if the command could not be decoded.
	Err error
}

// state is the content of a snapshot.
type state struct {
	Document Document      `cbor:"1,keyasint"`
	Book     *prepaid.Book `cbor:"2,keyasint"`
	// Evacuations is nil, and absent from the encoding, before the first effective evacuation.
	Evacuations *Evacuations `cbor:"3,keyasint,omitempty"`
}

// Machine implements replica.StateMachine. Document, Evacuations, BootClocks, ClockAgreement and NeededFeatures may be called from any
// goroutine, the other methods only from the replica's event loop.
type Machine struct {
	state       state
	document    atomic.Pointer[Document]
	evacuations atomic.Pointer[Evacuations]
	bootClocks  atomic.Bool
	agreement   atomic.Bool
}

// New returns a machine in its initial, empty state.
func New() *Machine {
	m := &Machine{state: state{Book: prepaid.NewBook()}}
	m.publish()
	return m
}

// Document returns the document in force in the part of the log that this replica has
// applied. Its version is 0 before the first document. It must not be modified.
func (m *Machine) Document() *Document { return m.document.Load() }

// Evacuations returns the evacuated zones in the part of the log that this replica has applied.
// It must not be modified.
func (m *Machine) Evacuations() *Evacuations { return m.evacuations.Load() }

// BootClocks reports whether the part of the log that this replica has applied makes the ledger use
// boot-time clocks only.
func (m *Machine) BootClocks() bool { return m.bootClocks.Load() }

// ClockAgreement reports whether the part of the log that this replica has applied makes the ledger
// use wall clocks only where they agree.
func (m *Machine) ClockAgreement() bool { return m.agreement.Load() }

// NeededFeatures returns the Features that a host needs to keep the ledger of the part of the log that this replica
// has applied.
func (m *Machine) NeededFeatures() int {
	switch {
	case m.ClockAgreement():
		return FeatureClockAgreement
	case m.BootClocks():
		return FeatureBootClocks
	}
	return 0
}

// Book returns the ledger of the budgets.
func (m *Machine) Book() *prepaid.Book { return m.state.Book }

// publish makes the current state available to the methods that may be called from any goroutine.
func (m *Machine) publish() {
	m.bootClocks.Store(m.state.Book.BootClocks)
	m.agreement.Store(m.state.Book.ClockAgreement)
	d := m.state.Document
	m.document.Store(&d)
	if m.state.Evacuations == nil {
		m.evacuations.Store(&Evacuations{})
		return
	}
	m.evacuations.Store(m.state.Evacuations)
}

// Apply implements replica.StateMachine. It returns a *Result.
func (m *Machine) Apply(index uint64, command []byte) any {
	var c Command
	if err := codec.Unmarshal(command, &c); err != nil {
		return &Result{Index: index, Version: m.state.Document.Version, Err: eris.Wrap(err, "decode a command of the log")}
	}
	m.replaceDocument(c.Document)
	result := &Result{Index: index, Version: m.state.Document.Version}
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
	if c.Evacuation != nil {
		result.Evacuation = m.applyEvacuation(c.Evacuation)
	}
	if c.BootClocks {
		m.state.Book.UseBootClocks()
		m.publish()
	}
	if c.ClockAgreement {
		m.state.Book.ClockAgreement = true
		m.publish()
	}
	return result
}

func (m *Machine) applyEvacuation(c *Evacuation) EvacuationResult {
	next, result := m.evacuations.Load().after(c)
	if next.Revision > 0 {
		m.state.Evacuations = &next
		m.publish()
	}
	return result
}

// replaceDocument puts d in force if its version is higher than the current one.
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
		return eris.Wrap(err, "decode the snapshot of the fleet state")
	}
	if s.Book == nil {
		return eris.New("the snapshot of the fleet state has no ledger")
	}
	if err := s.Book.FinishDecoding(); err != nil {
		return eris.Wrap(err, "decode the snapshot of the fleet state")
	}
	m.state = s
	m.publish()
	return nil
}
