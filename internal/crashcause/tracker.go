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
	at       time.Time
	traits   map[uint64]exposure
	// clearedAt is the first time after the crash at which an answer cleared one of the traits.
	clearedAt time.Time
}

// exposure is how a trait was present at a crash.
type exposure struct {
	// sentAt is when the latest request with the trait was sent to the upstream.
	sentAt time.Time
	// depth is the position in the prompt: of two traits that explain the same crashes, the
	// deeper one concerns fewer requests. It is wholeRequest for a request.
	depth int
}

// wholeRequest is the depth of a request.
const wholeRequest = 1 << 30

// Tracker collects crashes and decides which traits to quarantine. Its zero value is ready to use.
// It is not safe for concurrent use.
type Tracker struct {
	// crashes is ordered by time.
	crashes []*crashRecord
	// present holds the number of recorded crashes by trait.
	present map[uint64]int
	// soundAt holds the time of the latest answer that cleared a trait.
	soundAt map[uint64]time.Time
	// quarantined holds the start of each quarantine.
	quarantined map[uint64]time.Time

	// changed reports that there is new evidence, and pending that a trait has enough crashes for
	// a quarantine that time alone may decide on.
	changed, pending bool
	evaluatedAt      time.Time
	decision         Decision
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
	for depth, segment := range c.Segments {
		t.expose(record, segment, exposure{c.SentAt, depth})
	}
	t.expose(record, c.Fingerprint, exposure{c.SentAt, wholeRequest})
	t.changed = true
}

// record returns the record of the crash of an upstream, and adds it if there is none.
func (t *Tracker) record(i instance, at time.Time) *crashRecord {
	for _, c := range t.crashes {
		if c.instance == i {
			return c
		}
	}
	if len(t.crashes) >= maxCrashes {
		t.removeOldest()
	}
	c := &crashRecord{instance: i, at: at, traits: map[uint64]exposure{}}
	position, _ := slices.BinarySearchFunc(t.crashes, at, func(c *crashRecord, at time.Time) int { return c.at.Compare(at) })
	t.crashes = slices.Insert(t.crashes, position, c)
	return c
}

func (t *Tracker) removeOldest() {
	for trait := range t.crashes[0].traits {
		if t.present[trait]--; t.present[trait] == 0 {
			delete(t.present, trait)
		}
	}
	t.crashes = slices.Delete(t.crashes, 0, 1)
}

func (t *Tracker) expose(c *crashRecord, trait uint64, e exposure) {
	known, found := c.traits[trait]
	if !found && len(c.traits) >= maxTraitsPerCrash {
		return
	}
	if !found {
		if t.present == nil {
			t.present = map[uint64]int{}
		}
		t.present[trait]++
	}
	if known.sentAt.After(e.sentAt) {
		e.sentAt = known.sentAt
	}
	c.traits[trait] = e
}

// AddSound records that an answer cleared a trait. Traits of no crash are ignored.
func (t *Tracker) AddSound(trait uint64, at time.Time) {
	if !t.isKnown(trait) || !at.After(t.soundAt[trait]) {
		return
	}
	if t.soundAt == nil {
		t.soundAt = map[uint64]time.Time{}
	}
	t.soundAt[trait] = at
	t.changed = true
	for _, c := range t.crashes {
		if c.has(trait) && at.After(c.at) && (c.clearedAt.IsZero() || at.Before(c.clearedAt)) {
			c.clearedAt = at
		}
	}
}

func (t *Tracker) isKnown(trait uint64) bool {
	_, found := t.quarantined[trait]
	return found || t.present[trait] > 0
}

func (c *crashRecord) has(trait uint64) bool {
	_, found := c.traits[trait]
	return found
}

// Adopt takes over a quarantine that another tracker decided on.
func (t *Tracker) Adopt(trait uint64, now time.Time) {
	if _, found := t.quarantined[trait]; !found {
		t.quarantine(trait, now)
		klog.InfoS("quarantine of a trait adopted", "trait", trait)
	}
}

func (t *Tracker) quarantine(trait uint64, now time.Time) {
	if t.quarantined == nil {
		t.quarantined = map[uint64]time.Time{}
	}
	t.quarantined[trait] = now
	t.changed = true
}

// Decide evaluates the evidence. Its result is shared and must not be changed.
func (t *Tracker) Decide(now time.Time) Decision {
	interval := decisionInterval
	if !t.changed && !t.pending {
		interval = idleInterval
	}
	empty := len(t.crashes) == 0 && len(t.quarantined) == 0
	if empty && !t.changed || now.Sub(t.evaluatedAt) < interval {
		return t.decision
	}
	t.evaluatedAt, t.changed, t.pending = now, false, false
	t.expire(now)
	causes := t.findCauses(now)
	t.startQuarantines(causes, now)
	t.endQuarantines(causes, now)
	t.decision = Decision{Quarantined: sortedKeys(t.quarantined), Suspects: t.suspects()}
	return t.decision
}

// expire removes old crashes, and what is known of traits that no crash has.
func (t *Tracker) expire(now time.Time) {
	for len(t.crashes) > 0 && now.Sub(t.crashes[0].at) > crashRetention {
		t.removeOldest()
	}
	for trait := range t.soundAt {
		if !t.isKnown(trait) {
			delete(t.soundAt, trait)
		}
	}
}

func (t *Tracker) startQuarantines(causes map[uint64]*evidence, now time.Time) {
	for trait, e := range causes {
		if _, found := t.quarantined[trait]; found {
			continue
		}
		t.quarantine(trait, now)
		klog.InfoS("trait of requests quarantined: upstreams crashed", "trait", trait, "whole_request", e.depth == wholeRequest,
			"crashes", e.crashes, "rounds", e.rounds, "last_crash_age_ms", now.Sub(e.lastCrash).Milliseconds(),
			"cleared_before", !e.soundAt.IsZero(), "recorded_crashes", len(t.crashes))
	}
}

// endQuarantines ends those that have expired, whose traits an answer cleared, or whose crashes
// have other causes.
func (t *Tracker) endQuarantines(causes map[uint64]*evidence, now time.Time) {
	all, unexplained := t.gather(explainedBy[bool](nil)), t.gather(explainedBy(causes))
	for trait, since := range t.quarantined {
		_, isCause := causes[trait]
		explained := !isCause && all[trait].isEnough() && !unexplained[trait].isEnough()
		reason := ""
		switch {
		case now.Sub(since) > QuarantineDuration:
			reason = "expired"
		case t.soundAt[trait].After(since):
			reason = "an answer began"
		case explained:
			reason = "the crashes have another cause"
		default:
			continue
		}
		delete(t.quarantined, trait)
		klog.InfoS("quarantine of a trait ended", "trait", trait, "reason", reason, "after_ms", now.Sub(since).Milliseconds())
	}
}

// suspects returns the traits that one more crash, or the answers to other requests, may put in
// quarantine. If there are too many, those with the most crashes are returned.
func (t *Tracker) suspects() []uint64 {
	gathered := t.gather(explainedBy(t.quarantined))
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
