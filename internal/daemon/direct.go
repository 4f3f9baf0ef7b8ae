package daemon

import (
	"sync"
	"time"
)

const (
	// directFreshness is the time for which an upstream counts as heard directly.
	directFreshness = 1200 * time.Millisecond
	// suppression is the time for which a host is not sent what it hears directly.
	suppression = 10 * time.Second
	// resumeInterval is the time between two looks for upstreams that fell silent.
	resumeInterval = 200 * time.Millisecond
)

// directSenders keeps which upstreams this host hears itself, and which of them it
// has told other hosts of. Invariant: an upstream that was told of and is no
// longer heard is returned by lost, so that the others pass its announcements on again.
type directSenders struct {
	mu    sync.Mutex
	heard map[string]time.Time
	told  map[string]bool
}

func newDirectSenders() *directSenders {
	return &directSenders{heard: make(map[string]time.Time), told: make(map[string]bool)}
}

// hear notes an announcement that came from the upstream itself.
func (d *directSenders) hear(id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heard[id] = now
}

// tell returns which of ids are heard directly, and notes that a host is told so.
func (d *directSenders) tell(ids []string, now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, id := range ids {
		at, ok := d.heard[id]
		if !ok || now.Sub(at) >= directFreshness {
			continue
		}
		d.told[id] = true
		out = append(out, id)
	}
	return out
}

// lost returns the upstreams that hosts were told of and that are heard no
// longer, once each.
func (d *directSenders) lost(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for id, at := range d.heard {
		if now.Sub(at) < directFreshness {
			continue
		}
		delete(d.heard, id)
		if d.told[id] {
			delete(d.told, id)
			out = append(out, id)
		}
	}
	return out
}

// suppressions keeps which upstreams other hosts hear themselves.
type suppressions struct {
	mu    sync.Mutex
	until map[string]map[string]time.Time
}

func newSuppressions() *suppressions {
	return &suppressions{until: make(map[string]map[string]time.Time)}
}

// add notes that the host at address hears the upstreams itself.
func (s *suppressions) add(address string, ids []string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until[address] == nil {
		s.until[address] = make(map[string]time.Time)
	}
	for _, id := range ids {
		s.until[address][id] = now.Add(suppression)
	}
}

// resume ends the suppression of upstreams towards the host at address.
func (s *suppressions) resume(address string, ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		delete(s.until[address], id)
	}
}

// has tells whether the host at address hears the upstream itself.
func (s *suppressions) has(address, id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[address][id]
	if ok && now.After(until) {
		delete(s.until[address], id)
		return false
	}
	return ok
}
