package crashcause

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// maxKeptCrashes bounds the crashes that a host keeps for the leaders to come.
const maxKeptCrashes = 256

// Host is what one host knows of traits: those that answers to it cleared, and those that the leader
// of the control group has decided on. It is safe for concurrent use.
type Host struct {
	// quarantined and watched are replaced when they change. watched are the traits of which
	// answers that clear them are reported: the suspects and those in quarantine.
	quarantined, watched atomic.Pointer[map[uint64]bool]

	mu    sync.Mutex
	sound SoundLog
	// crashes are those of the last crashRetention, in the order of their reports. The leader has the
	// first crashesTold of them, and the first crashesSent after the current call.
	crashes                  []Crash
	crashesTold, crashesSent int
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
	leader       uint64
	since, until time.Time
	// toldAt is when the present leader had been told of it, if another one listed it last; zero before.
	toldAt time.Time
}

// isEnded reports whether the present leader, which has not listed the quarantine now, has ended it.
func (q *quarantine) isEnded(listedBefore bool, now time.Time) bool {
	return listedBefore || now.After(q.until) || !q.toldAt.IsZero() && now.Sub(q.toldAt) >= clearingTime
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

// ReportCrash adds a crash to those that the host reports to the leader, and to each leader after it.
// If there are too many, those that the leader has go first; a crash is dropped if it has none.
func (h *Host) ReportCrash(c Crash) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.crashes) >= maxKeptCrashes && h.crashesTold == 0 {
		return
	}
	if len(h.crashes) >= maxKeptCrashes {
		h.forgetOldest()
	}
	h.crashes = append(h.crashes, c)
}

func (h *Host) forgetOldest() {
	h.crashes = slices.Delete(h.crashes, 0, 1)
	h.crashesTold, h.crashesSent = max(h.crashesTold-1, 0), max(h.crashesSent-1, 0)
}

// Report returns what the leader does not know of.
func (h *Host) Report(now time.Time) Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	var r Report
	for h.crashesTold > 0 && now.Sub(h.crashes[0].CrashedAt) > crashRetention {
		h.forgetOldest()
	}
	for _, c := range h.crashes[h.crashesTold:] {
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
			r.Quarantined, r.QuarantineAges = append(r.Quarantined, trait), append(r.QuarantineAges, now.Sub(q.since))
		}
	}
	return r
}

// Acknowledge records that the leader has received the latest report.
func (h *Host) Acknowledge() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reported, h.crashesTold = h.sent, h.crashesSent
}

// Untold reports whether the leader lacks crashes that this host knows of.
func (h *Host) Untold() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.crashesTold < len(h.crashes)
}

// Apply applies a decision of a leader. Quarantines of earlier leaders hold until the leader has
// taken them over or has not done so for clearingTime, and it is told of all crashes that this host knows of.
func (h *Host) Apply(leader uint64, d Decision, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	isNew := leader != h.leader
	if isNew {
		h.leader, h.crashesTold, h.reported = leader, 0, nil
	}
	for trait, q := range h.quarantines {
		switch {
		case isNew:
			q.toldAt = time.Time{}
		case q.toldAt.IsZero():
			q.toldAt = now
		}
		h.quarantines[trait] = q
		if !slices.Contains(d.Quarantined, trait) && q.isEnded(q.leader == leader, now) {
			delete(h.quarantines, trait)
		}
	}
	for _, trait := range d.Quarantined {
		since := now
		if q, known := h.quarantines[trait]; known {
			since = q.since
		}
		h.quarantines[trait] = quarantine{leader: leader, since: since, until: now.Add(QuarantineDuration)}
	}
	quarantined, watched := make(map[uint64]bool, len(h.quarantines)), make(map[uint64]bool, len(h.quarantines)+len(d.Suspects))
	for trait := range h.quarantines {
		quarantined[trait], watched[trait] = true, true
	}
	for _, trait := range d.Suspects {
		watched[trait] = true
	}
	if h.crashesTold < len(h.crashes) { // their traits may be suspect for the leader too, once it has them
		maps.Copy(watched, *h.watched.Load())
	}
	h.quarantined.Store(&quarantined)
	h.watched.Store(&watched)
}
