package crashcause

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// maxPendingCrashes bounds the crashes that a host has yet to report.
const maxPendingCrashes = 256

// Host is what one host knows of traits: those that answers to it cleared, and those that the leader
// of the control group has decided on. It is safe for concurrent use.
type Host struct {
	// quarantined and watched are replaced when they change. watched are the traits of which
	// answers that clear them are reported: the suspects and those in quarantine.
	quarantined, watched atomic.Pointer[map[uint64]bool]

	mu    sync.Mutex
	sound SoundLog
	// crashes have yet to be reported; crashesSent of them are in the latest report.
	crashes     []Crash
	crashesSent int
	// leader identifies the leader of the latest decision.
	leader      uint64
	quarantines map[uint64]quarantine
	// reported holds the latest answers that cleared watched traits and that the leader knows of,
	// and sent those that it will after the current call.
	reported, sent map[uint64]time.Time
}

// quarantine is a trait of requests that must not run.
type quarantine struct {
	// leader listed it last; it ends at until if no leader does.
	leader uint64
	until  time.Time
}

// NewHost returns a host that knows of no traits.
func NewHost() *Host {
	h := &Host{quarantines: map[uint64]quarantine{}}
	h.quarantined.Store(&map[uint64]bool{})
	h.watched.Store(&map[uint64]bool{})
	return h
}

// RecordSound records that an answer cleared traits of a request.
func (h *Host) RecordSound(at time.Time, traits ...uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, trait := range traits {
		h.sound.Add(trait, at)
	}
}

// Watching reports whether upstreams have crashed lately, so that answers may clear traits.
func (h *Host) Watching() bool { return len(*h.watched.Load()) > 0 }

// Quarantined returns the traits of requests that must not run. The map must not be changed.
func (h *Host) Quarantined() map[uint64]bool { return *h.quarantined.Load() }

// ReportCrash queues a crash for the next report. If the queue is full, it is dropped.
func (h *Host) ReportCrash(c Crash) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.crashes) < maxPendingCrashes {
		h.crashes = append(h.crashes, c)
	}
}

// Report returns what the leader does not know of.
func (h *Host) Report(now time.Time) Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	var r Report
	for _, c := range h.crashes {
		r.Crashes = append(r.Crashes, CrashReport{
			Fingerprint: c.Fingerprint, Upstream: c.Upstream, StartedMS: c.StartedMS, Segments: c.Segments,
			Age: now.Sub(c.CrashedAt), Ran: c.CrashedAt.Sub(c.SentAt),
		})
	}
	h.crashesSent = len(h.crashes)
	h.sent = map[uint64]time.Time{}
	for trait := range *h.watched.Load() {
		at := h.sound.Latest(trait)
		if at.IsZero() {
			continue
		}
		h.sent[trait] = at
		if at.After(h.reported[trait]) {
			r.Sound = append(r.Sound, SoundReport{Trait: trait, Age: now.Sub(at)})
		}
	}
	for trait, q := range h.quarantines {
		if q.leader != h.leader {
			r.Quarantined = append(r.Quarantined, trait)
		}
	}
	return r
}

// Acknowledge records that the leader has received the latest report.
func (h *Host) Acknowledge() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reported = h.sent
	h.crashes, h.crashesSent = h.crashes[h.crashesSent:], 0
}

// Apply applies a decision of a leader. Quarantines of earlier leaders hold until the leader has
// taken them over.
func (h *Host) Apply(leader uint64, d Decision, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leader = leader
	for trait, q := range h.quarantines {
		ended := q.leader == leader && !slices.Contains(d.Quarantined, trait)
		if ended || now.After(q.until) {
			delete(h.quarantines, trait)
		}
	}
	for _, trait := range d.Quarantined {
		h.quarantines[trait] = quarantine{leader: leader, until: now.Add(QuarantineDuration)}
	}
	quarantined, watched := make(map[uint64]bool, len(h.quarantines)), make(map[uint64]bool, len(h.quarantines)+len(d.Suspects))
	for trait := range h.quarantines {
		quarantined[trait], watched[trait] = true, true
	}
	for _, trait := range d.Suspects {
		watched[trait] = true
	}
	h.quarantined.Store(&quarantined)
	h.watched.Store(&watched)
}
