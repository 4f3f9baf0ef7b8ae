package control

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// maxEndedSessions is the maximum number of ended session ids that are retained to
// refuse their reuse.
const maxEndedSessions = 4096

// sessions holds the sessions of hosts.
type sessions struct {
	open map[string]controlapi.OpenSession
	// ended holds the ids of the most recently ended sessions, oldest first.
	ended []string
	// cachedOpenList caches the list of open sessions; nil after a change.
	cachedOpenList *sessionList
}

// sessionList is a list of open sessions, ordered by id, with a hash of the ids.
type sessionList struct {
	hosts   []controlapi.HostInfo
	version uint64
}

// openList returns the list of open sessions, which the caller must not modify.
func (s *sessions) openList() *sessionList {
	if s.cachedOpenList != nil {
		return s.cachedOpenList
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
	s.cachedOpenList = list
	return list
}

func newSessions() sessions { return sessions{open: make(map[string]controlapi.OpenSession)} }

func (s *sessions) isOpen(id string) bool {
	_, ok := s.open[id]
	return ok
}

// end moves a session to the ended ones and removes the oldest of these beyond the limit.
func (s *sessions) end(id string) {
	delete(s.open, id)
	s.cachedOpenList = nil
	s.ended = append(s.ended, id)
	if len(s.ended) > maxEndedSessions {
		s.ended = slices.Clone(s.ended[len(s.ended)-maxEndedSessions:])
	}
}

// openSession opens the session of a host and sets the active schema version to the
// highest one that every open session supports.
func (m *Machine) openSession(o *controlapi.OpenSession) *controlapi.Result {
	if o.Session == "" || len(o.Session) > maxIDBytes {
		return refuse(errkind.New(errkind.InvalidRequest, "session id has %d bytes, 1 to %d are allowed", len(o.Session), maxIDBytes))
	}
	if existing, ok := m.sessions.open[o.Session]; ok {
		if existing != *o {
			return refuse(errkind.New(errkind.Conflict, "session %s is already open with different properties", o.Session))
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
	m.sessions.cachedOpenList = nil
	return &controlapi.Result{}
}

// endSession ends a session. Its open requests that were never dispatched are
// released; the others are orphaned and may be taken over.
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
	// On an error the active version does not change; the remaining sessions support it.
	_ = m.activateSchema(nil)
	return &controlapi.Result{}
}

// activateSchema sets the active schema version to the highest one that the open
// sessions and the joining one, if any, support. It returns a Conflict if there is no
// such version or the records cannot be converted to it.
func (m *Machine) activateSchema(joining *controlapi.OpenSession) error {
	low, high := config.MinSchema, config.MaxSchema
	for _, s := range m.sessions.open {
		low, high = max(low, s.SchemaMin), min(high, s.SchemaMax)
	}
	if joining != nil {
		low, high = max(low, joining.SchemaMin), min(high, joining.SchemaMax)
	}
	if low > high {
		return errkind.New(errkind.Conflict, "no schema version is supported by all hosts")
	}
	if joining == nil && (len(m.sessions.open) == 0 || high <= m.schema) || high == m.schema {
		return nil
	}
	if err := m.store.ConvertAll(high); err != nil {
		return errkind.New(errkind.Conflict, "cannot convert records to schema version %d: %v", high, err)
	}
	m.schema = high
	return nil
}
