package control

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// maxEndedSessions bounds the ended sessions that are remembered, so that
// their ids are not opened again.
const maxEndedSessions = 4096

// sessions are the sessions of entry hosts.
type sessions struct {
	open map[string]controlapi.OpenSession
	// ended are the ids of the sessions that ended last, oldest first.
	ended []string
	// list is the cached list of the open sessions; nil after a change.
	list *sessionList
}

// sessionList is the list of the open sessions, in the order of their ids.
type sessionList struct {
	hosts   []controlapi.HostInfo
	version uint64
}

// listed returns the list of the open sessions, which must not be changed.
func (s *sessions) listed() *sessionList {
	if s.list != nil {
		return s.list
	}
	list := &sessionList{hosts: make([]controlapi.HostInfo, 0, len(s.open))}
	for _, o := range s.open {
		list.hosts = append(list.hosts, controlapi.HostInfo{Session: o.Session, Host: o.Host, Zone: o.Zone, Address: o.Address})
	}
	slices.SortFunc(list.hosts, compareSessions)
	digest := xxhash.New()
	for _, h := range list.hosts {
		_, _ = digest.WriteString(h.Session + "\x00")
	}
	list.version = digest.Sum64()
	s.list = list
	return list
}

func newSessions() sessions { return sessions{open: make(map[string]controlapi.OpenSession)} }

func (s *sessions) isOpen(id string) bool {
	_, ok := s.open[id]
	return ok
}

func (s *sessions) end(id string) {
	delete(s.open, id)
	s.list = nil
	s.ended = append(s.ended, id)
	if len(s.ended) > maxEndedSessions {
		s.ended = slices.Clone(s.ended[len(s.ended)-maxEndedSessions:])
	}
}

// openSession opens the session of an entry host and moves the active schema
// version to the highest one that every open session supports.
func (m *Machine) openSession(o *controlapi.OpenSession) *controlapi.Result {
	if o.Session == "" || len(o.Session) > maxIDBytes {
		return refuse(errkind.New(errkind.InvalidRequest, "session id has %d bytes, 1 to %d are allowed", len(o.Session), maxIDBytes))
	}
	if present, ok := m.sessions.open[o.Session]; ok {
		if present != *o {
			return refuse(errkind.New(errkind.Conflict, "session %s is open with other content", o.Session))
		}
		return &controlapi.Result{}
	}
	if slices.Contains(m.sessions.ended, o.Session) {
		return refuse(errkind.New(errkind.SessionExpired, "session %s has ended", o.Session))
	}
	if err := m.activateSchema(o); err != nil {
		return refuse(err)
	}
	m.sessions.open[o.Session] = *o
	m.sessions.list = nil
	return &controlapi.Result{}
}

// endSession ends a session. Its open requests that were never dispatched are
// released; the others may be taken over.
func (m *Machine) endSession(e *controlapi.EndSession) *controlapi.Result {
	if !m.sessions.isOpen(e.Session) {
		return &controlapi.Result{}
	}
	m.sessions.end(e.Session)
	m.grants.EndSession(e.Session)
	for _, r := range m.requests.OpenInSession(e.Session) {
		if len(r.Dispatches) == 0 {
			m.recoverOrphan(r)
			continue
		}
		m.requests.MarkOrphaned(r, m.nowMS)
	}
	// An error leaves the version as it is: the remaining sessions support it.
	_ = m.activateSchema(nil)
	return &controlapi.Result{}
}

// activateSchema moves the active version to the highest one that the open
// sessions and the joining one, if any, support. It returns Conflict if there
// is none or the records cannot be expressed in it.
func (m *Machine) activateSchema(joining *controlapi.OpenSession) error {
	low, high := config.MinSchema, config.MaxSchema
	for _, s := range m.sessions.open {
		low, high = max(low, s.SchemaMin), min(high, s.SchemaMax)
	}
	if joining != nil {
		low, high = max(low, joining.SchemaMin), min(high, joining.SchemaMax)
	}
	if low > high {
		return errkind.New(errkind.Conflict, "no schema version is supported by every host")
	}
	if joining == nil && (len(m.sessions.open) == 0 || high <= m.schema) || high == m.schema {
		return nil
	}
	if err := m.store.ConvertAll(high); err != nil {
		return errkind.New(errkind.Conflict, "records cannot be stored in schema version %d: %v", high, err)
	}
	m.schema = high
	return nil
}
