package daemon

import (
	"sync"
	"time"
)

const (
	// directTimeout is the time after the last direct announcement of an upstream for which
	// it counts as announcing itself to this host.
	directTimeout = 1200 * time.Millisecond
	// suppressionPeriod is the time for which announcements are not forwarded to a host that
	// receives them directly.
	suppressionPeriod = 10 * time.Second
	// directCheckInterval is the interval of the checks for expired direct upstreams.
	directCheckInterval = 200 * time.Millisecond
)

// directUpstreams records the upstreams that announce themselves to this host, and which
// of them it has reported to other hosts. Invariant: a reported upstream whose direct
// announcements stop is returned by takeExpired, so that the other hosts forward its
// announcements again.
type directUpstreams struct {
	mu         sync.Mutex
	receivedAt map[string]time.Time
	reported   map[string]bool
}

func newDirectUpstreams() *directUpstreams {
	return &directUpstreams{receivedAt: make(map[string]time.Time), reported: make(map[string]bool)}
}

// recordReceived records that an announcement was received from the upstream itself.
func (d *directUpstreams) recordReceived(id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.receivedAt[id] = now
}

// report returns those of ids that are received directly, and records them as reported
// to another host.
func (d *directUpstreams) report(ids []string, now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, id := range ids {
		at, ok := d.receivedAt[id]
		if !ok || now.Sub(at) >= directTimeout {
			continue
		}
		d.reported[id] = true
		out = append(out, id)
	}
	return out
}

// takeExpired removes the upstreams whose direct announcements have stopped, and returns
// those of them that were reported to other hosts.
func (d *directUpstreams) takeExpired(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for id, at := range d.receivedAt {
		if now.Sub(at) < directTimeout {
			continue
		}
		delete(d.receivedAt, id)
		if d.reported[id] {
			delete(d.reported, id)
			out = append(out, id)
		}
	}
	return out
}

// suppressions records, by host address, the upstreams whose announcements the host
// receives directly and until when they are not forwarded to it.
type suppressions struct {
	mu    sync.Mutex
	until map[string]map[string]time.Time
}

func newSuppressions() *suppressions {
	return &suppressions{until: make(map[string]map[string]time.Time)}
}

// add records that the host at address receives the upstreams' announcements directly.
func (s *suppressions) add(address string, ids []string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until[address] == nil {
		s.until[address] = make(map[string]time.Time)
	}
	for _, id := range ids {
		s.until[address][id] = now.Add(suppressionPeriod)
	}
}

// resume ends the suppression of the upstreams for the host at address.
func (s *suppressions) resume(address string, ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		delete(s.until[address], id)
	}
}

// suppressed tells whether announcements of the upstream are not forwarded to the host
// at address.
func (s *suppressions) suppressed(address, id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[address][id]
	if ok && now.After(until) {
		delete(s.until[address], id)
		return false
	}
	return ok
}
