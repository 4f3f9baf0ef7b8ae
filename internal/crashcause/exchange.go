package crashcause

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxTraitsPerExchange bounds the traits of crashes in one Evidence. A single crash may have more.
	maxTraitsPerExchange = 4096
	// minTimeChange is the least difference in time that is taken over from another tracker, as clocks
	// drift.
	minTimeChange = 10 * time.Millisecond
)

// Evidence is what a tracker knows of crashes, as control hosts tell it to each other.
type Evidence struct {
	// Epoch identifies the tracker's process, and Revision what the receiver then knows of it.
	Epoch    uint64          `cbor:"1,keyasint,omitempty"`
	Revision uint64          `cbor:"2,keyasint,omitempty"`
	Crashes  []CrashEvidence `cbor:"3,keyasint,omitempty"`
	Sound    []SoundReport   `cbor:"4,keyasint,omitempty"`
}

// CrashEvidence is what is known of one crash.
type CrashEvidence struct {
	Upstream  string          `cbor:"1,keyasint"`
	StartedMS int64           `cbor:"2,keyasint,omitempty"`
	Age       time.Duration   `cbor:"3,keyasint,omitempty"`
	Traits    []TraitEvidence `cbor:"4,keyasint,omitempty"`
	// Cleared reports that an answer cleared one of the traits ClearedAfter the crash.
	Cleared      bool          `cbor:"5,keyasint,omitempty"`
	ClearedAfter time.Duration `cbor:"6,keyasint,omitempty"`
}

// TraitEvidence is a trait of requests that a process was running when it crashed.
type TraitEvidence struct {
	_     struct{} `cbor:",toarray"`
	Trait uint64
	Ran   time.Duration
	Depth int
}

// EvidenceSince returns what has changed since a revision, the earliest changes if they are many; nil if
// nothing has.
func (t *Tracker) EvidenceSince(revision uint64, now time.Time) *Evidence {
	t.expire(now)
	if revision >= t.revision {
		return nil
	}
	e := &Evidence{Revision: t.revision}
	changed := slices.DeleteFunc(slices.Clone(t.crashes), func(c *crashRecord) bool { return c.revision <= revision })
	slices.SortFunc(changed, func(a, b *crashRecord) int { return cmp.Compare(a.revision, b.revision) })
	traits := 0
	for i, c := range changed {
		if traits += len(c.traits); i > 0 && traits > maxTraitsPerExchange {
			e.Revision = changed[i-1].revision
			break
		}
		e.Crashes = append(e.Crashes, c.evidence(now))
	}
	for trait, s := range t.sounds {
		if s.revision > revision && s.revision <= e.Revision {
			e.Sound = append(e.Sound, SoundReport{Trait: trait, Age: now.Sub(s.at)})
		}
	}
	return e
}

func (c *crashRecord) evidence(now time.Time) CrashEvidence {
	e := CrashEvidence{Upstream: c.instance.upstream, StartedMS: c.instance.startedMS, Age: now.Sub(c.at)}
	if !c.clearedAt.IsZero() {
		e.Cleared, e.ClearedAfter = true, c.clearedAt.Sub(c.at)
	}
	for trait, x := range c.traits {
		e.Traits = append(e.Traits, TraitEvidence{Trait: trait, Ran: x.ran, Depth: x.depth})
	}
	return e
}

// Merge adds what another tracker told in answer to a call that was made at asked and answered at now.
// Crashes are taken to be as late as they can be, and answers as early, so that neither moves further
// however often it is told on.
func (t *Tracker) Merge(e *Evidence, asked, now time.Time) {
	for _, s := range e.Sound {
		if at := asked.Add(-max(s.Age, 0)); at.Sub(t.sounds[s.Trait].at) >= minTimeChange {
			t.AddSound(s.Trait, at)
		}
	}
	for i := range e.Crashes {
		t.mergeCrash(&e.Crashes[i], now)
	}
	t.expire(now)
}

func (t *Tracker) mergeCrash(e *CrashEvidence, now time.Time) {
	i, at := instance{e.Upstream, e.StartedMS}, now.Add(-max(e.Age, 0))
	known := slices.IndexFunc(t.crashes, func(c *crashRecord) bool { return c.instance == i })
	if known >= 0 && t.crashes[known].at.Sub(at) < minTimeChange {
		at = t.crashes[known].at
	}
	c := t.record(i, at)
	if c == nil {
		return
	}
	for _, x := range e.Traits {
		t.expose(c, x.Trait, exposure{x.Ran, x.Depth})
	}
	cleared := c.at.Add(e.ClearedAfter)
	if e.Cleared && (c.clearedAt.IsZero() || c.clearedAt.Sub(cleared) >= minTimeChange) && c.clear(cleared) {
		t.touch(c)
	}
}
