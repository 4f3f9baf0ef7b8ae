package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/budget"
	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/containment"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/grant"
)

// snapshotFormat is the version of the snapshot encoding.
const snapshotFormat = 1

// snapshot is the encoded state of a machine. Machines with equal state have equal
// snapshots. Requests holds encoded records, which are copied as byte strings.
type snapshot struct {
	Format           int                       `cbor:"1,keyasint,omitempty"`
	NowMS            int64                     `cbor:"2,keyasint,omitempty"`
	Revision         uint64                    `cbor:"3,keyasint,omitempty"`
	Schema           int                       `cbor:"4,keyasint,omitempty"`
	Records          []config.Record           `cbor:"5,keyasint,omitempty"`
	History          []controlapi.HistoryEntry `cbor:"6,keyasint,omitempty"`
	HistoryTrimmed   uint64                    `cbor:"7,keyasint,omitempty"`
	Accounts         []accountState            `cbor:"8,keyasint,omitempty"`
	Requests         [][]byte                  `cbor:"9,keyasint,omitempty"`
	RequestSequence  uint64                    `cbor:"10,keyasint,omitempty"`
	Bodies           containment.State         `cbor:"11,keyasint,omitempty"`
	Sessions         []controlapi.OpenSession  `cbor:"12,keyasint,omitempty"`
	EndedSessions    []string                  `cbor:"13,keyasint,omitempty"`
	ConfigOperations []*operation              `cbor:"14,keyasint,omitempty"`
	LedgerOperations []*operation              `cbor:"15,keyasint,omitempty"`
	Grants           []*grant.Holder           `cbor:"16,keyasint,omitempty"`
	Orders           []*controlapi.OrderStatus `cbor:"17,keyasint,omitempty"`
}

// accountState is an account in a snapshot.
type accountState struct {
	Name         string       `cbor:"1,keyasint"`
	Organisation string       `cbor:"2,keyasint"`
	Budget       budget.State `cbor:"3,keyasint"`
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	return codec.Marshal(&snapshot{
		Format:           snapshotFormat,
		NowMS:            m.nowMS,
		Revision:         m.revision,
		Schema:           m.schema,
		Records:          m.store.Records(),
		History:          m.history.entries,
		HistoryTrimmed:   m.history.trimmedRevision,
		Accounts:         m.accountStates(),
		Requests:         m.requests.EncodeSnapshot(),
		RequestSequence:  m.requests.Sequence(),
		Bodies:           m.containment.State(),
		Sessions:         m.sessions.sorted(),
		EndedSessions:    m.sessions.ended,
		ConfigOperations: m.configOperations.oldestFirst,
		LedgerOperations: m.ledgerOperations.oldestFirst,
		Grants:           m.grants.Holders(),
		Orders:           m.orders.All(),
	})
}

func (m *Machine) accountStates() []accountState {
	states := make([]accountState, 0, len(m.accounts))
	for _, name := range slices.Sorted(maps.Keys(m.accounts)) {
		a := m.accounts[name]
		states = append(states, accountState{name, a.organisation, a.State()})
	}
	return states
}

func (s *sessions) sorted() []controlapi.OpenSession {
	return slices.SortedFunc(maps.Values(s.open), func(a, b controlapi.OpenSession) int {
		return cmp.Compare(a.Session, b.Session)
	})
}

// Restore replaces the state with that of a snapshot. On an error the state does not change.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := codec.Unmarshal(data, &s); err != nil {
		return err
	}
	if s.Format != snapshotFormat {
		return eris.Errorf("snapshot has format %d, want %d", s.Format, snapshotFormat)
	}
	restored := NewMachine()
	if err := restored.load(&s); err != nil {
		return err
	}
	if err := restored.CheckInvariants(); err != nil {
		return eris.Wrap(err, "snapshot")
	}
	*m = *restored
	return nil
}

func (m *Machine) load(s *snapshot) error {
	m.nowMS = s.NowMS
	m.revision = s.Revision
	m.schema = s.Schema
	m.history = history{entries: s.History, trimmedRevision: s.HistoryTrimmed}
	for _, r := range s.Records {
		if err := m.store.Load(r); err != nil {
			return eris.Wrap(err, "snapshot")
		}
	}
	for _, a := range s.Accounts {
		b, err := budget.FromState(a.Budget)
		if err != nil {
			return eris.Wrapf(err, "budget %s of the snapshot", a.Name)
		}
		m.accounts[a.Name] = &account{b, a.Organisation}
	}
	if err := m.loadRequests(s); err != nil {
		return eris.Wrap(err, "requests of the snapshot")
	}
	for _, o := range s.Sessions {
		m.sessions.open[o.Session] = o
	}
	m.sessions.cachedOpenList = nil
	m.sessions.ended = s.EndedSessions
	for _, op := range s.ConfigOperations {
		m.configOperations.add(op)
	}
	m.grants.Load(s.Grants)
	m.orders.Load(s.Orders)
	for _, op := range s.LedgerOperations {
		m.ledgerOperations.add(op)
	}
	return nil
}

func (m *Machine) loadRequests(s *snapshot) error {
	open, err := m.requests.LoadSnapshot(s.Requests, s.RequestSequence)
	if err != nil {
		return err
	}
	m.containment = containment.FromState(s.Bodies)
	for _, r := range open {
		for _, d := range r.Dispatches {
			m.containment.RestoreDispatch(r.BodyHash, d)
		}
	}
	return nil
}
