package controlgroup

import (
	"time"
)

// driftDivisor bounds the difference in clock rate between two hosts: one part in driftDivisor.
const driftDivisor = 50

// lease is what the leader knows of one session's configuration lease.
type lease struct {
	// expires is the time after which the host surely serves nothing under it.
	expires time.Time
	// revision is the newest revision that the host has said it serves under.
	revision uint64
	// renewed is the time of the last heartbeat; unmerged is what it said.
	renewed  time.Time
	unmerged bool
}

// leaseTable holds the leases of all sessions as the present leader knows them.
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

// guarded returns length plus the allowance for clock drift.
func (t *leaseTable) guarded() time.Duration {
	return t.length + t.length/driftDivisor
}

// reset starts a leadership: every open session may hold a lease that an
// earlier leader gave until just now, under an unknown revision.
func (t *leaseTable) reset(sessions []string, now time.Time) {
	t.leases = make(map[string]*lease, len(sessions))
	for _, s := range sessions {
		t.leases[s] = &lease{expires: now.Add(t.guarded())}
	}
	t.notify()
}

// open adds a session that holds no lease yet.
func (t *leaseTable) open(session string, now time.Time) {
	if _, ok := t.leases[session]; ok {
		return
	}
	t.leases[session] = &lease{expires: now.Add(t.guarded())}
}

// renew records a heartbeat that was answered with a new lease.
func (t *leaseTable) renew(session string, revision uint64, unmerged bool, now time.Time) {
	l, ok := t.leases[session]
	if !ok {
		l = &lease{}
		t.leases[session] = l
	}
	l.expires = now.Add(t.guarded())
	l.revision = max(l.revision, revision)
	l.renewed = now
	l.unmerged = unmerged
	t.notify()
}

// end removes a session.
func (t *leaseTable) end(session string) {
	delete(t.leases, session)
	t.notify()
}

// lapsed returns the sessions whose lease has surely lapsed.
func (t *leaseTable) lapsed(now time.Time) []string {
	var out []string
	for s, l := range t.leases {
		if now.After(l.expires) {
			out = append(out, s)
		}
	}
	return out
}

// inForce tells whether every session serves under revision or later, or cannot serve.
func (t *leaseTable) inForce(revision uint64, now time.Time) bool {
	for _, l := range t.leases {
		if l.revision < revision && !now.After(l.expires) {
			return false
		}
	}
	return true
}

// revision returns the revision that a session was last known to serve under.
func (t *leaseTable) revision(session string) uint64 {
	if l, ok := t.leases[session]; ok {
		return l.revision
	}
	return 0
}

// notify wakes those that wait for a change of the table.
func (t *leaseTable) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}
