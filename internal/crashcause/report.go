package crashcause

import (
	"slices"
	"time"
)

// CrashReport is a Crash as hosts send it to the leader.
type CrashReport struct {
	// Fingerprint is a hash that is equal for repetitions of the same request.
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Upstream is the id of the process that crashed, and StartedMS its start in milliseconds
	// since 1970 or another number that grows with each process.
	Upstream  string `cbor:"2,keyasint"`
	StartedMS int64  `cbor:"3,keyasint,omitempty"`
	// Segments are the hashes of the shared segments of the prompt, if no answer had begun.
	Segments []uint64 `cbor:"4,keyasint,omitempty"`
	// Age is the time since the crash, and Ran the time from the dispatch of the request to it.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
	Ran time.Duration `cbor:"6,keyasint,omitempty"`
}

// SoundReport reports that an answer cleared a trait.
type SoundReport struct {
	Trait uint64 `cbor:"1,keyasint"`
	// Age is the time since the answer.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
}

// Report is what a host tells the leader.
type Report struct {
	Crashes []CrashReport `cbor:"1,keyasint,omitempty"`
	// Sound lists watched traits that answers have cleared.
	Sound []SoundReport `cbor:"2,keyasint,omitempty"`
	// Quarantined lists the traits that earlier leaders had in quarantine.
	Quarantined []uint64 `cbor:"3,keyasint,omitempty"`
	// QuarantineAges holds the times since the host has learned of each of them; empty in builds that do
	// not state it.
	QuarantineAges []time.Duration `cbor:"4,keyasint,omitempty"`
}

// Aged returns the report as of a time after it was made.
func (r *Report) Aged(by time.Duration) Report {
	aged := Report{Crashes: slices.Clone(r.Crashes), Sound: slices.Clone(r.Sound), Quarantined: r.Quarantined, QuarantineAges: slices.Clone(r.QuarantineAges)}
	for i := range aged.Crashes {
		aged.Crashes[i].Age += by
	}
	for i := range aged.Sound {
		aged.Sound[i].Age += by
	}
	for i := range aged.QuarantineAges {
		aged.QuarantineAges[i] += by
	}
	return aged
}

// Apply records a report that arrived at now.
func (t *Tracker) Apply(r *Report, now time.Time) {
	defer t.expire(now)
	for _, c := range r.Crashes {
		at := now.Add(-max(c.Age, 0))
		t.AddCrash(Crash{
			Upstream: c.Upstream, StartedMS: c.StartedMS, Fingerprint: c.Fingerprint, Segments: c.Segments,
			SentAt: at.Add(-c.Ran), CrashedAt: at,
		})
	}
	for _, s := range r.Sound {
		t.AddSound(s.Trait, now.Add(-max(s.Age, 0)))
	}
	for i, trait := range r.Quarantined {
		since := now
		if i < len(r.QuarantineAges) {
			since = now.Add(-max(r.QuarantineAges[i], 0))
		}
		t.Adopt(trait, since)
	}
}
