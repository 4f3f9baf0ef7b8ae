// Package registry holds the upstreams that announced themselves, ordered by
// incarnation and sequence, and hands out immutable snapshots of them.
package registry

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwitbend/godwitbend/internal/announce"
)

// DefaultFreshness is the time without an announcement after which an upstream gets no new work.
const DefaultFreshness = 3 * time.Second

// lostDoubt is the time for which an announcement may have been on its way.
const lostDoubt = 5 * time.Second

// retention is the time without an announcement after which an upstream is forgotten.
const retention = 10 * time.Minute

// State is what is known of one upstream. It is immutable.
type State struct {
	announce.Announcement
	// Seen is the time at which the latest announcement arrived.
	Seen time.Time
	// Since is the time at which this incarnation was first seen.
	Since time.Time
	// OwnInFlight is the host's own count of open requests when the announcement arrived.
	OwnInFlight int64
	// Restarted tells that an earlier incarnation was seen before and had not left.
	Restarted bool
}

// Serves tells whether the upstream offers service.
func (s *State) Serves(service string) bool {
	for i := range s.Services {
		if s.Services[i].Name == service {
			return true
		}
	}
	return false
}

// Entry is one upstream. It stays the same object over its incarnations.
type Entry struct {
	// ID is the upstream's id.
	ID    string
	state atomic.Pointer[State]
	// inFlight counts the requests that this host has open at the upstream.
	inFlight atomic.Int64
	// unreachable tells that a connection was refused since the latest announcement.
	unreachable atomic.Bool
	// lost is when the present incarnation was taken for lost, or nil.
	lost atomic.Pointer[time.Time]
	// claims guards the change of inFlight and alone together.
	claims sync.Mutex
	// alone tells that one request has the upstream for itself on this host.
	alone atomic.Bool
}

// State returns the latest state.
func (e *Entry) State() *State { return e.state.Load() }

// InFlight returns the number of requests that this host has open at the upstream.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// Claim counts a request in. With alone set it succeeds only while the host has
// no other request open there, and keeps all others out until Release.
func (e *Entry) Claim(alone bool) bool {
	e.claims.Lock()
	defer e.claims.Unlock()
	if e.alone.Load() || alone && e.inFlight.Load() > 0 {
		return false
	}
	e.alone.Store(alone)
	e.inFlight.Add(1)
	return true
}

// Release counts out a request that was counted in by Claim with the same argument.
func (e *Entry) Release(alone bool) {
	e.claims.Lock()
	defer e.claims.Unlock()
	e.inFlight.Add(-1)
	if alone {
		e.alone.Store(false)
	}
}

// MarkUnreachable withholds new work from an upstream that refused a
// connection, until it announces itself again.
func (e *Entry) MarkUnreachable() { e.unreachable.Store(true) }

// MarkLost withholds new work from an incarnation whose connections broke, until
// the upstream announces a later one. An announcement of the same incarnation
// shows that it lives only if it arrives lostDoubt later: it may have been sent
// before the break. Work sent in between would be run by an incarnation that
// nobody knows of.
func (e *Entry) MarkLost(incarnation uint64, now time.Time) {
	if e.state.Load().Incarnation == incarnation {
		e.lost.Store(&now)
	}
}

// Usable tells whether the upstream may get new work at time now.
func (e *Entry) Usable(now time.Time, freshness time.Duration) bool {
	s := e.state.Load()
	if s.State != announce.StateServing || e.unreachable.Load() || e.lost.Load() != nil || e.alone.Load() {
		return false
	}
	return now.Sub(s.Seen) < freshness
}

// Load estimates the requests at the upstream: its last report, corrected by
// what this host has opened and closed since, and by as much for each of the
// other hosts, which see the same reports.
func (e *Entry) Load(hosts int) int64 {
	s := e.state.Load()
	own := e.inFlight.Load()
	load := int64(s.InFlight+s.Queued) + (own-s.OwnInFlight)*int64(max(hosts, 1))
	return max(load, own, 0)
}

// Pool is the upstreams of one service.
type Pool struct {
	// All holds the upstreams in order of id.
	All []*Entry
	// ByZone holds them by availability zone.
	ByZone map[string][]*Entry
}

// Snapshot is an immutable index of the upstreams. The entries' states move on.
type Snapshot struct {
	// Entries holds all upstreams by id.
	Entries map[string]*Entry
	// Pools holds the upstreams by service.
	Pools map[string]*Pool
}

// Registry orders announcements. Its methods may be called from any goroutine.
type Registry struct {
	freshness time.Duration
	mu        sync.Mutex
	// entries is the membership; mu guards it.
	entries map[string]*Entry
	// stale tells that snapshot no longer shows the membership.
	stale    atomic.Bool
	snapshot atomic.Pointer[Snapshot]
}

// New returns an empty registry; freshness 0 means DefaultFreshness.
func New(freshness time.Duration) *Registry {
	if freshness <= 0 {
		freshness = DefaultFreshness
	}
	r := &Registry{freshness: freshness, entries: map[string]*Entry{}}
	r.snapshot.Store(buildSnapshot(nil))
	return r
}

// Freshness returns the time without an announcement after which an upstream gets no new work.
func (r *Registry) Freshness() time.Duration { return r.freshness }

// Snapshot returns the present index. It is rebuilt here, and not at each
// announcement, so that many upstreams joining at once cost one rebuild.
func (r *Registry) Snapshot() *Snapshot {
	if !r.stale.Load() {
		return r.snapshot.Load()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stale.Load() {
		r.snapshot.Store(buildSnapshot(maps.Clone(r.entries)))
		// Only now: a reader that finds nothing stale reads the snapshot without the lock.
		r.stale.Store(false)
	}
	return r.snapshot.Load()
}

// Apply takes in an announcement and tells whether it was news. An
// announcement that is not later than the latest one changes nothing.
func (r *Registry) Apply(a announce.Announcement, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, known := r.entries[a.ID]
	if !known {
		r.insert(a, now)
		return true
	}
	old := entry.state.Load()
	if !later(old, &a) {
		return false
	}
	next := successor(old, a, now, entry.inFlight.Load())
	entry.state.Store(next)
	entry.unreachable.Store(false)
	if lost := entry.lost.Load(); lost != nil && (a.Incarnation > old.Incarnation || now.Sub(*lost) >= lostDoubt) {
		entry.lost.Store(nil)
	}
	if !sameMembership(old, next) {
		r.stale.Store(true)
	}
	return true
}

// Expire forgets upstreams that have been silent for long, except those with open requests.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.entries {
		if now.Sub(e.State().Seen) >= retention && e.InFlight() == 0 {
			delete(r.entries, id)
			r.stale.Store(true)
		}
	}
}

func (r *Registry) insert(a announce.Announcement, now time.Time) {
	entry := &Entry{ID: a.ID}
	entry.state.Store(&State{Announcement: a, Seen: now, Since: now})
	r.entries[a.ID] = entry
	r.stale.Store(true)
}

// later tells whether a follows old in the order of incarnation and sequence.
func later(old *State, a *announce.Announcement) bool {
	if a.Incarnation != old.Incarnation {
		return a.Incarnation > old.Incarnation
	}
	return a.Sequence > old.Sequence
}

// successor returns the state after a. Leaving is final within an incarnation.
func successor(old *State, a announce.Announcement, now time.Time, own int64) *State {
	next := &State{Announcement: a, Seen: now, Since: old.Since, OwnInFlight: own, Restarted: old.Restarted}
	if a.Incarnation != old.Incarnation {
		next.Since = now
		next.Restarted = old.State != announce.StateLeaving
		return next
	}
	if old.State == announce.StateLeaving {
		next.State = announce.StateLeaving
	}
	return next
}

func sameMembership(a, b *State) bool {
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
