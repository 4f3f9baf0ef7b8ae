package crashcause

import (
	"cmp"
	"time"
)

const (
	// minCrashes is the number of processes that must crash with a trait since an answer last
	// cleared it.
	minCrashes = 3
	// minShare is the share that these must be of all unexplained crashes from the first of them
	// to the last. A trait with a smaller share needs minCrashesAmongOthers crashes.
	minShare              = 0.25
	minCrashesAmongOthers = 5
	// minRounds is the number of those crashes that must follow each other: in each round the
	// request was sent after the crash of the round before. Processes that are killed at the same
	// time make up one round, whatever they were running.
	minRounds = 3
	// minCrashesInOneRound is the number of crashes needed if there are fewer rounds.
	minCrashesInOneRound = 5
	// clearingTime is the time in which hosts report the answers that clear a segment: two sync
	// intervals of a large fleet.
	clearingTime = time.Second
	// progressTime is the time in which other requests are answered after crashes of a single
	// round, and a segment that many requests share would be cleared.
	progressTime = 1500 * time.Millisecond
)

// evidence is what speaks for a trait as the cause of crashes.
type evidence struct {
	crashes, rounds int
	// since is the number of all unexplained crashes from the first with the trait to the last.
	since int
	// first is the position of the first one among the unexplained crashes.
	first int
	// firstCrash and lastCrash are the first and the latest crash, and decisive the one that made up minCrashes.
	firstCrash, lastCrash, decisive time.Time
	roundStart                      time.Time
	depth                           int
	soundAt                         time.Time
	// progressSince is the first time after decisive at which an answer cleared another trait of
	// the same crashes; zero if none did.
	progressSince time.Time
}

// findCauses returns the traits that explain the crashes. The best supported one is chosen first,
// and crashes that it explains no longer count against others.
func (t *Tracker) findCauses(now time.Time) map[uint64]*evidence {
	causes := map[uint64]*evidence{}
	for {
		trait, best := t.bestCause(causes, now)
		if best == nil {
			return causes
		}
		causes[trait] = best
	}
}

func (t *Tracker) bestCause(causes map[uint64]*evidence, now time.Time) (trait uint64, best *evidence) {
	gathered := t.gather(explainedBy(causes))
	for candidate, e := range gathered {
		if !e.suffices(now) {
			t.pending = t.pending || e.isEnough()
			continue
		}
		if order := e.compare(best); order > 0 || order == 0 && candidate < trait {
			trait, best = candidate, e
		}
	}
	return trait, best
}

// gather counts for each trait the crashes since an answer last cleared it that are not explained.
// Traits that are neither suspect nor a cause are left out.
func (t *Tracker) gather(explained func(*crashRecord) bool) map[uint64]*evidence {
	gathered := map[uint64]*evidence{}
	position := 0
	for _, c := range t.crashes {
		if explained(c) {
			continue
		}
		position++
		for trait, x := range c.traits {
			if t.present[trait] < minCrashes-1 {
				continue
			}
			soundAt := t.sounds[trait].at
			if !c.at.After(soundAt) {
				continue
			}
			e := gathered[trait]
			if e == nil {
				e = &evidence{depth: x.depth, soundAt: soundAt, first: position}
				gathered[trait] = e
			}
			e.since = position - e.first + 1
			e.count(c, c.at.Add(-x.ran))
		}
	}
	return gathered
}

func (e *evidence) count(c *crashRecord, sentAt time.Time) {
	if e.crashes == 0 {
		e.firstCrash = c.at
	}
	e.crashes++
	e.lastCrash = c.at
	if e.crashes == minCrashes {
		e.decisive = c.at
	}
	if e.crashes >= minCrashes && !c.clearedAt.IsZero() && (e.progressSince.IsZero() || c.clearedAt.Before(e.progressSince)) {
		e.progressSince = c.clearedAt
	}
	if e.rounds == 0 || sentAt.After(e.roundStart) {
		e.rounds++
		e.roundStart = c.at
	}
}

// explainedBy returns a function that reports whether a crash has one of the traits in causes.
func explainedBy[V any](causes map[uint64]V) func(*crashRecord) bool {
	return func(c *crashRecord) bool {
		for trait := range causes {
			if c.has(trait) {
				return true
			}
		}
		return false
	}
}

// isEnough reports whether there are enough crashes to decide on.
func (e *evidence) isEnough() bool {
	if e == nil || e.crashes < minCrashes {
		return false
	}
	return float64(e.crashes) >= minShare*float64(e.since) || e.crashes >= minCrashesAmongOthers
}

// suffices reports whether requests with the trait should be refused. A request that is repeated
// is not held to clearingTime, as no other request has its trait.
func (e *evidence) suffices(now time.Time) bool {
	switch {
	case !e.isEnough():
		return false
	case e.rounds < minRounds:
		return e.crashes >= minCrashesInOneRound && !e.progressSince.IsZero() && now.Sub(e.progressSince) >= progressTime
	default:
		return e.depth == wholeRequest || now.Sub(e.decisive) >= clearingTime
	}
}

// compare orders causes by plausibility: one that no answer ever cleared, then more crashes, then
// the one that concerns fewer requests. Any evidence is better than none.
func (e *evidence) compare(other *evidence) int {
	if other == nil {
		return 1
	}
	neverCleared := func(e *evidence) int {
		if e.soundAt.IsZero() {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(neverCleared(e), neverCleared(other)), cmp.Compare(e.crashes, other.crashes), cmp.Compare(e.depth, other.depth))
}
