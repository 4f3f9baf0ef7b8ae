// Package crashcause finds what the requests that crash upstreams have in common, so that requests
// with the same trait can be refused. It makes no network calls.
//
// A trait is the whole request, which its caller may repeat, or a segment of its prompt, which
// other requests share. When an upstream crashes, all requests that it had not begun to answer are
// suspect, and with them all of their traits. An answer that begins shows that its segments do not
// crash upstreams, and a complete one shows it of the request.
package crashcause

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

const (
	// QuarantineDuration is the time for which requests with a trait are refused.
	QuarantineDuration = 10 * time.Minute
	// crashRetention is the time for which a crash counts as evidence.
	crashRetention = 10 * time.Minute
	// maxCrashes and maxTraitsPerCrash bound the evidence; the latest crashes are kept.
	maxCrashes        = 128
	maxTraitsPerCrash = 512
	// MaxSuspects bounds the suspect traits that hosts are asked about.
	MaxSuspects = 1024
	// decisionInterval is the minimum time between two evaluations of the evidence, and
	// idleInterval that between two without new evidence.
	decisionInterval = 100 * time.Millisecond
	idleInterval     = time.Second
)

// Crash reports a request that an upstream was running when it crashed.
type Crash struct {
	Upstream string
	// StartedMS is the start of the upstream's process in milliseconds since 1970.
	StartedMS int64
	// Fingerprint is equal for repetitions of the same request.
	Fingerprint uint64
	// Segments are the hashes of the shared segments of the prompt, in order. They are empty if
	// the upstream had begun to answer.
	Segments []uint64
	// SentAt is when the request was sent to the upstream.
	SentAt    time.Time
	CrashedAt time.Time
}

// instance identifies one process of an upstream.
type instance struct {
	upstream  string
	startedMS int64
}

// crashRecord holds what is known of one crash.
type crashRecord struct {
	instance instance
	// at is the earliest time at which a host reports to have seen the crash.
	at     time.Time
	traits map[uint64]exposure
	// clearedAt is the first time after the crash at which an answer cleared one of the traits.
	clearedAt time.Time
	// revision is that of the latest change.
	revision uint64
}

// exposure is how a trait was present at a crash.
type exposure struct {
	// ran is the time from the latest request with the trait to the crash.
	ran time.Duration
	// depth is the position in the prompt: of two traits that explain the same crashes, the
	// deeper one concerns fewer requests. It is wholeRequest for a request.
	depth int
}

// wholeRequest is the depth of a request.
const wholeRequest = 1 << 30

// sound is the latest answer that cleared a trait.
type sound struct {
	at       time.Time
	revision uint64
}

// Tracker collects crashes and decides which traits to quarantine. What it collects depends neither
// on the order of the reports nor on how often each of them comes. Its zero value is ready to use. It
// is not safe for concurrent use.
type Tracker struct {
	// crashes is ordered by time.
	crashes []*crashRecord
	// present holds the number of recorded crashes by trait.
	present map[uint64]int
	// sounds holds the latest answers that cleared traits of crashes and quarantines, and early those
	// that cleared others, whose crashes may be reported later.
	sounds map[uint64]sound
	early  SoundLog
	// quarantines holds the quarantines in force by trait.
	quarantines map[uint64]quarantineRecord
	// revision increases with each change of crashes and sounds.
	revision uint64

	// changed reports that there is new evidence, and pending that a trait has enough crashes for
	// a quarantine that time alone may decide on.
	changed, pending bool
	evaluatedAt      time.Time
	decision         Decision
}

// quarantineRecord is a quarantine that a tracker has decided on or adopted.
type quarantineRecord struct {
	since time.Time
	// firstCrash is the first crash of the evidence; zero if it was adopted.
	firstCrash time.Time
}

// Decision is the result of an evaluation.
type Decision struct {
	// Quarantined are the traits of requests that must not run.
	Quarantined []uint64 `cbor:"1,keyasint,omitempty"`
	// Suspects are the traits for which hosts should report answers that clear them.
	Suspects []uint64 `cbor:"2,keyasint,omitempty"`
}

// AddCrash adds a report. Several hosts may report the same crash, each with its own requests.
func (t *Tracker) AddCrash(c Crash) {
	record := t.record(instance{c.Upstream, c.StartedMS}, c.CrashedAt)
	if record == nil {
		return
	}
	ran := c.CrashedAt.Sub(c.SentAt)
	for depth, segment := range c.Segments {
		t.expose(record, segment, exposure{ran, depth})
	}
	t.expose(record, c.Fingerprint, exposure{ran, wholeRequest})
}

// record returns the record of the crash of an upstream, and adds it if there is none. It returns nil
// if the crash is older than all of the maxCrashes that are recorded.
func (t *Tracker) record(i instance, at time.Time) *crashRecord {
	c := &crashRecord{instance: i, at: at, traits: map[uint64]exposure{}}
	known := slices.IndexFunc(t.crashes, func(c *crashRecord) bool { return c.instance == i })
	switch {
	case known >= 0 && !at.Before(t.crashes[known].at):
		return t.crashes[known]
	case known >= 0:
		c = t.crashes[known]
		c.at = at
		t.crashes = slices.Delete(t.crashes, known, known+1)
	case len(t.crashes) >= maxCrashes && !at.After(t.crashes[0].at):
		return nil
	case len(t.crashes) >= maxCrashes:
		t.removeOldest()
	}
	position, _ := slices.BinarySearchFunc(t.crashes, c, (*crashRecord).compare)
	t.crashes = slices.Insert(t.crashes, position, c)
	t.touch(c)
	return c
}

// compare orders crashes by time.
func (c *crashRecord) compare(other *crashRecord) int {
	return cmp.Or(c.at.Compare(other.at), cmp.Compare(c.instance.upstream, other.instance.upstream), cmp.Compare(c.instance.startedMS, other.instance.startedMS))
}

// touch records that a crash has changed.
func (t *Tracker) touch(c *crashRecord) {
	t.changed = true
	t.revision++
	c.revision = t.revision
}

func (t *Tracker) removeOldest() {
	for trait := range t.crashes[0].traits {
		if t.present[trait]--; t.present[trait] == 0 {
			delete(t.present, trait)
			t.forgetUnknown(trait)
		}
	}
	t.crashes = slices.Delete(t.crashes, 0, 1)
}

// forgetUnknown removes the answers that cleared a trait of no crash and no quarantine.
func (t *Tracker) forgetUnknown(trait uint64) {
	if !t.isKnown(trait) {
		delete(t.sounds, trait)
	}
}

func (t *Tracker) expose(c *crashRecord, trait uint64, e exposure) {
	known, found := c.traits[trait]
	switch {
	case found:
		e.ran, e.depth = min(e.ran, known.ran), min(e.depth, known.depth)
		if e == known {
			return
		}
	case len(c.traits) >= maxTraitsPerCrash:
		return
	default:
		t.addPresence(trait)
		c.clear(t.sounds[trait].at)
	}
	c.traits[trait] = e
	t.touch(c)
}

// addPresence counts a crash with a trait.
func (t *Tracker) addPresence(trait uint64) {
	known := t.isKnown(trait)
	if t.present == nil {
		t.present = map[uint64]int{}
	}
	t.present[trait]++
	if at := t.early.Latest(trait); !known && !at.IsZero() {
		t.AddSound(trait, at)
	}
}

// clear records that an answer cleared one of the traits of the crash, and reports whether that is news.
func (c *crashRecord) clear(at time.Time) bool {
	if !at.After(c.at) || !c.clearedAt.IsZero() && !at.Before(c.clearedAt) {
		return false
	}
	c.clearedAt = at
	return true
}

// AddSound records that an answer cleared a trait.
func (t *Tracker) AddSound(trait uint64, at time.Time) {
	switch {
	case !t.isKnown(trait):
		t.early.Add(trait, at)
		return
	case !at.After(t.sounds[trait].at):
		return
	case t.sounds == nil:
		t.sounds = map[uint64]sound{}
	}
	t.changed = true
	t.revision++
	t.sounds[trait] = sound{at, t.revision}
	for _, c := range t.crashes {
		if c.has(trait) && c.clear(at) {
			t.touch(c)
		}
	}
}

func (t *Tracker) isKnown(trait uint64) bool {
	_, found := t.quarantines[trait]
	return found || t.present[trait] > 0
}

func (c *crashRecord) has(trait uint64) bool {
	_, found := c.traits[trait]
	return found
}

// Adopt takes over a quarantine that another tracker decided on.
func (t *Tracker) Adopt(trait uint64, since time.Time) {
	q, found := t.quarantines[trait]
	switch {
	case !found:
		klog.InfoS("quarantine of a trait adopted", "trait", trait)
	case !q.firstCrash.IsZero() || !since.Before(q.since):
		return
	}
	t.quarantine(trait, quarantineRecord{since: since})
}

// firstCrash returns the time of the first crash with a trait; zero if there is none.
func (t *Tracker) firstCrash(trait uint64) time.Time {
	for _, c := range t.crashes {
		if c.has(trait) {
			return c.at
		}
	}
	return time.Time{}
}

func (t *Tracker) quarantine(trait uint64, q quarantineRecord) {
	if t.quarantines == nil {
		t.quarantines = map[uint64]quarantineRecord{}
	}
	t.quarantines[trait] = q
	t.changed = true
}

// Decide evaluates the evidence. Its result is shared and must not be changed.
func (t *Tracker) Decide(now time.Time) Decision {
	interval := decisionInterval
	if !t.changed && !t.pending {
		interval = idleInterval
	}
	empty := len(t.crashes) == 0 && len(t.quarantines) == 0
	if empty && !t.changed || now.Sub(t.evaluatedAt) < interval {
		return t.decision
	}
	t.evaluatedAt, t.changed, t.pending = now, false, false
	t.expire(now)
	causes := t.findCauses(now)
	t.startQuarantines(causes, now)
	t.endQuarantines(causes, now)
	t.decision = Decision{Quarantined: sortedKeys(t.quarantines), Suspects: t.suspects()}
	return t.decision
}

// expire removes old crashes.
func (t *Tracker) expire(now time.Time) {
	for len(t.crashes) > 0 && now.Sub(t.crashes[0].at) > crashRetention {
		t.removeOldest()
	}
}

func (t *Tracker) startQuarantines(causes map[uint64]*evidence, now time.Time) {
	for trait, e := range causes {
		if _, found := t.quarantines[trait]; found {
			continue
		}
		t.quarantine(trait, quarantineRecord{now, e.firstCrash})
		klog.InfoS("trait of requests quarantined: upstreams crashed", "trait", trait, "whole_request", e.depth == wholeRequest,
			"crashes", e.crashes, "rounds", e.rounds, "last_crash_age_ms", now.Sub(e.lastCrash).Milliseconds(),
			"cleared_before", !e.soundAt.IsZero(), "recorded_crashes", len(t.crashes))
	}
}

// endQuarantines ends those that have expired, whose traits an answer cleared, also if that is heard of
// only after the crashes, or whose crashes have other causes.
func (t *Tracker) endQuarantines(causes map[uint64]*evidence, now time.Time) {
	all, unexplained := t.gather(explainedBy[bool](nil)), t.gather(explainedBy(causes))
	for trait, q := range t.quarantines {
		_, isCause := causes[trait]
		first := q.firstCrash
		if first.IsZero() {
			first = t.firstCrash(trait)
		}
		explained := !isCause && all[trait].isEnough() && !unexplained[trait].isEnough()
		reason := ""
		switch {
		case now.Sub(q.since) > QuarantineDuration:
			reason = "expired"
		case t.sounds[trait].at.After(q.since):
			reason = "an answer began"
		case !first.IsZero() && t.sounds[trait].at.After(first) && !all[trait].isEnough():
			reason = "an answer had begun between the crashes"
		case explained:
			reason = "the crashes have another cause"
		default:
			continue
		}
		delete(t.quarantines, trait)
		t.forgetUnknown(trait)
		klog.InfoS("quarantine of a trait ended", "trait", trait, "reason", reason, "after_ms", now.Sub(q.since).Milliseconds())
	}
}

// suspects returns the traits that one more crash, or the answers to other requests, may put in
// quarantine. If there are too many, those with the most crashes are returned.
func (t *Tracker) suspects() []uint64 {
	gathered := t.gather(explainedBy(t.quarantines))
	var traits []uint64
	for trait, e := range gathered {
		if e.crashes >= minCrashes-1 {
			traits = append(traits, trait)
		}
	}
	slices.SortFunc(traits, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(gathered[b].crashes, gathered[a].crashes), cmp.Compare(a, b))
	})
	traits = traits[:min(len(traits), MaxSuspects)]
	slices.Sort(traits)
	return traits
}

func sortedKeys[V any](m map[uint64]V) []uint64 {
	if len(m) == 0 {
		return nil
	}
	keys := make([]uint64, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, cmp.Compare)
	return keys
}
