// Package registry tracks the upstreams that announce themselves. Announcements
// of an upstream are ordered by incarnation and sequence; readers use immutable
// snapshots of the index.
package registry

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwitbend/godwitbend/internal/announce"
)

// DefaultUpstreamTimeout is the default time without an announcement after which an
// upstream receives no new requests.
const DefaultUpstreamTimeout = 3 * time.Second

// maxAnnouncementDelay is the time for which an announcement may have been in transit.
const maxAnnouncementDelay = 5 * time.Second

// retention is the time without an announcement after which an entry is removed.
const retention = 10 * time.Minute

// State is the known state of one upstream. It is immutable.
type State struct {
	announce.Announcement
	// ReceivedAt is the time at which the latest announcement was received.
	ReceivedAt time.Time
	// FirstSeen is the time at which the first announcement of this incarnation was
	// received.
	FirstSeen time.Time
	// LocalInFlight is the number of in-flight requests of this host when the
	// announcement was received.
	LocalInFlight int64
	// Restarted reports whether an earlier incarnation was seen that had not left.
	Restarted bool
}

// Serves reports whether the upstream offers service.
func (s *State) Serves(service string) bool {
	for i := range s.Services {
		if s.Services[i].Name == service {
			return true
		}
	}
	return false
}

// Entry is one upstream. All incarnations of an upstream share one Entry.
type Entry struct {
	// ID is the upstream's id.
	ID    string
	state atomic.Pointer[State]
	// inFlight counts the in-flight requests of this host at the upstream.
	inFlight atomic.Int64
	// unreachable is set when a connection is refused, until the next announcement.
	unreachable atomic.Bool
	// lostAt is the time at which the current incarnation was marked lost, or nil.
	lostAt atomic.Pointer[time.Time]
	// claimMu makes changes of inFlight and exclusive atomic.
	claimMu sync.Mutex
	// exclusive is set while one request of this host holds the upstream exclusively.
	exclusive atomic.Bool
}

// State returns the state after the latest announcement.
func (e *Entry) State() *State { return e.state.Load() }

// InFlight returns the number of in-flight requests of this host at the upstream.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// Claim counts a request as in flight. With exclusive set it succeeds only if the
// host has no in-flight request at the upstream, and rejects others until Release.
func (e *Entry) Claim(exclusive bool) bool {
	e.claimMu.Lock()
	defer e.claimMu.Unlock()
	if e.exclusive.Load() || exclusive && e.inFlight.Load() > 0 {
		return false
	}
	e.exclusive.Store(exclusive)
	e.inFlight.Add(1)
	return true
}

// Release ends a request that was counted by Claim with the same argument.
func (e *Entry) Release(exclusive bool) {
	e.claimMu.Lock()
	defer e.claimMu.Unlock()
	e.inFlight.Add(-1)
	if exclusive {
		e.exclusive.Store(false)
	}
}

// MarkUnreachable stops new requests to an upstream that refused a connection,
// until its next announcement.
func (e *Entry) MarkUnreachable() { e.unreachable.Store(true) }

// MarkLost stops new requests to an incarnation whose connections broke, until a
// later one is announced. An announcement of the same incarnation counts only after
// maxAnnouncementDelay, as it may have been sent before the break; requests sent
// earlier could be run by a new incarnation that is not yet registered.
func (e *Entry) MarkLost(incarnation uint64, now time.Time) {
	if e.state.Load().Incarnation == incarnation {
		e.lostAt.Store(&now)
	}
}

// Usable reports whether the upstream may receive new requests at time now.
func (e *Entry) Usable(now time.Time, timeout time.Duration) bool {
	s := e.state.Load()
	if s.State != announce.StateServing || e.unreachable.Load() || e.lostAt.Load() != nil || e.exclusive.Load() {
		return false
	}
	return now.Sub(s.ReceivedAt) < timeout
}

// Load estimates the number of requests at the upstream: the announced load plus
// the change of this host's in-flight requests since, which is multiplied by hosts
// on the assumption that the other hosts, which receive the same announcements,
// route alike.
func (e *Entry) Load(hosts int) int64 {
	s := e.state.Load()
	local := e.inFlight.Load()
	load := int64(s.InFlight+s.Queued) + (local-s.LocalInFlight)*int64(max(hosts, 1))
	return max(load, local, 0)
}

// Pool holds the upstreams of one service.
type Pool struct {
	// All holds the upstreams sorted by id.
	All []*Entry
	// ByZone holds the upstreams by availability zone.
	ByZone map[string][]*Entry
}

// Snapshot is an immutable index of the upstreams. The state of its entries still
// changes.
type Snapshot struct {
	// Entries holds all upstreams by id.
	Entries map[string]*Entry
	// Pools holds the upstreams by service.
	Pools map[string]*Pool
}

// Registry holds the latest state of each upstream. It is safe for concurrent use.
type Registry struct {
	upstreamTimeout time.Duration
	mu              sync.Mutex
	// entries holds the upstreams by id; it is guarded by mu.
	entries map[string]*Entry
	// snapshotStale is set when snapshot no longer matches entries.
	snapshotStale atomic.Bool
	snapshot      atomic.Pointer[Snapshot]
}

// New returns an empty registry. An upstreamTimeout of 0 means DefaultUpstreamTimeout.
func New(upstreamTimeout time.Duration) *Registry {
	if upstreamTimeout <= 0 {
		upstreamTimeout = DefaultUpstreamTimeout
	}
	r := &Registry{upstreamTimeout: upstreamTimeout, entries: map[string]*Entry{}}
	r.snapshot.Store(buildSnapshot(nil))
	return r
}

// UpstreamTimeout returns the time without an announcement after which an upstream
// receives no new requests.
func (r *Registry) UpstreamTimeout() time.Duration { return r.upstreamTimeout }

// Snapshot returns the current index. It is rebuilt on demand, and not by Apply, so
// that many upstreams joining at the same time cost one rebuild.
func (r *Registry) Snapshot() *Snapshot {
	if !r.snapshotStale.Load() {
		return r.snapshot.Load()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.snapshotStale.Load() {
		r.snapshot.Store(buildSnapshot(maps.Clone(r.entries)))
		// Cleared after the store: readers that find it clear load the snapshot without
		// taking the lock.
		r.snapshotStale.Store(false)
	}
	return r.snapshot.Load()
}

// Apply applies an announcement and reports whether it is new. An announcement that
// is not newer than the latest one changes nothing.
func (r *Registry) Apply(a announce.Announcement, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, known := r.entries[a.ID]
	if !known {
		r.insert(a, now)
		return true
	}
	old := entry.state.Load()
	if !isNewer(old, &a) {
		return false
	}
	next := nextState(old, a, now, entry.inFlight.Load())
	entry.state.Store(next)
	entry.unreachable.Store(false)
	if lostAt := entry.lostAt.Load(); lostAt != nil && (a.Incarnation > old.Incarnation || now.Sub(*lostAt) >= maxAnnouncementDelay) {
		entry.lostAt.Store(nil)
	}
	if !sameIndexKeys(old, next) {
		r.snapshotStale.Store(true)
	}
	return true
}

// Expire removes the upstreams without an announcement for the retention time, except
// those with in-flight requests.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.entries {
		if now.Sub(e.State().ReceivedAt) >= retention && e.InFlight() == 0 {
			delete(r.entries, id)
			r.snapshotStale.Store(true)
		}
	}
}

func (r *Registry) insert(a announce.Announcement, now time.Time) {
	entry := &Entry{ID: a.ID}
	entry.state.Store(&State{Announcement: a, ReceivedAt: now, FirstSeen: now})
	r.entries[a.ID] = entry
	r.snapshotStale.Store(true)
}

// isNewer reports whether a is newer than old by incarnation and sequence.
func isNewer(old *State, a *announce.Announcement) bool {
	if a.Incarnation != old.Incarnation {
		return a.Incarnation > old.Incarnation
	}
	return a.Sequence > old.Sequence
}

// nextState returns the state after a. Leaving is final within an incarnation.
func nextState(old *State, a announce.Announcement, now time.Time, localInFlight int64) *State {
	next := &State{Announcement: a, ReceivedAt: now, FirstSeen: old.FirstSeen, LocalInFlight: localInFlight, Restarted: old.Restarted}
	if a.Incarnation != old.Incarnation {
		next.FirstSeen = now
		next.Restarted = old.State != announce.StateLeaving
		return next
	}
	if old.State == announce.StateLeaving {
		next.State = announce.StateLeaving
	}
	return next
}

func sameIndexKeys(a, b *State) bool {
	if a.Zone != b.Zone || len(a.Services) != len(b.Services) {
		return false
	}
	for i := range a.Services {
		if a.Services[i].Name != b.Services[i].Name {
			return false
		}
	}
	return true
}
