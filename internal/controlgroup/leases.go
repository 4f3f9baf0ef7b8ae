package controlgroup

import (
	"time"
)

// clockDriftDivisor bounds the difference in clock rate between two hosts to one part
// in clockDriftDivisor (2%).
const clockDriftDivisor = 50

// lease is the leader's record of one session's configuration lease.
type lease struct {
	// expires is the time after which the host cannot be serving under the lease,
	// allowing for clock drift.
	expires time.Time
	// revision is the newest revision that the host has reported to serve under.
	revision uint64
	// renewedAt is the time of the last heartbeat; unmerged is its Unmerged field.
	renewedAt time.Time
	unmerged  bool
}

// leaseTable holds the leases of all sessions on the current leader.
// Invariant: a session that may serve has an unexpired lease in the table, with
// a revision not newer than the one it serves under.
type leaseTable struct {
	length  time.Duration
	leases  map[string]*lease
	changed chan struct{}
}

func newLeaseTable(length time.Duration) *leaseTable {
	return &leaseTable{
		length:  length,
		leases:  make(map[string]*lease),
		changed: make(chan struct{}),
	}
}

// lengthWithDrift returns length plus a margin for clock drift.
func (t *leaseTable) lengthWithDrift() time.Duration {
	return t.length + t.length/clockDriftDivisor
}

// reset initializes the table of a new leader: every open session may hold a lease
// that an earlier leader granted up to the present, under an unknown revision.
func (t *leaseTable) reset(sessions []string, now time.Time) {
	t.leases = make(map[string]*lease, len(sessions))
	for _, s := range sessions {
		t.leases[s] = &lease{expires: now.Add(t.lengthWithDrift())}
	}
	t.notify()
}

// open adds a session, unless it is already in the table. No revision is known for it
// until its first heartbeat.
func (t *leaseTable) open(session string, now time.Time) {
	if _, ok := t.leases[session]; ok {
		return
	}
	t.leases[session] = &lease{expires: now.Add(t.lengthWithDrift())}
}

// renew records a heartbeat, which extends the lease.
func (t *leaseTable) renew(session string, revision uint64, unmerged bool, now time.Time) {
	l, ok := t.leases[session]
	if !ok {
		l = &lease{}
		t.leases[session] = l
	}
	l.expires = now.Add(t.lengthWithDrift())
	l.revision = max(l.revision, revision)
	l.renewedAt = now
	l.unmerged = unmerged
	t.notify()
}

// end removes a session.
func (t *leaseTable) end(session string) {
	delete(t.leases, session)
	t.notify()
}

// expired returns the sessions whose lease has expired, allowing for clock drift.
func (t *leaseTable) expired(now time.Time) []string {
	var out []string
	for s, l := range t.leases {
		if now.After(l.expires) {
			out = append(out, s)
		}
	}
	return out
}

// inForce reports whether every session serves under revision or a later one, or can
// no longer serve.
func (t *leaseTable) inForce(revision uint64, now time.Time) bool {
	for _, l := range t.leases {
		if l.revision < revision && !now.After(l.expires) {
			return false
		}
	}
	return true
}

// revision returns the newest revision that a session has reported, or 0.
func (t *leaseTable) revision(session string) uint64 {
	if l, ok := t.leases[session]; ok {
		return l.revision
	}
	return 0
}

// notify wakes all waiters for a change of the table.
func (t *leaseTable) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}
