package crashcause

import "time"

// maxSoundTraits is the number of traits in each generation of a SoundLog.
const maxSoundTraits = 1024

// SoundLog remembers which traits answers have cleared lately, so that a host can tell when a
// crash makes one of them suspect. Its zero value is ready to use. It is not safe for concurrent
// use.
type SoundLog struct {
	// current and previous hold the time of the latest answer by trait.
	current, previous map[uint64]time.Time
}

// Add records an answer that clears a trait. They may come in any order.
func (l *SoundLog) Add(trait uint64, at time.Time) {
	if latest := l.Latest(trait); latest.After(at) {
		at = latest
	}
	if l.current == nil || len(l.current) >= maxSoundTraits {
		l.previous, l.current = l.current, make(map[uint64]time.Time, maxSoundTraits)
	}
	l.current[trait] = at
}

// Latest returns the time of the latest answer that cleared a trait; zero if none is remembered.
func (l *SoundLog) Latest(trait uint64) time.Time {
	if at, found := l.current[trait]; found {
		return at
	}
	return l.previous[trait]
}
