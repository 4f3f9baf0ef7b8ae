// Package upstreampath chooses how a host connects to upstreams: by its own links or, while it is cut
// off from all upstreams, through another host.
package upstreampath

import "time"

const (
	// minFailedUpstreams is the number of upstreams in a row that accept no connection after which
	// other hosts are asked for a path.
	minFailedUpstreams = 2
	// probeInterval is the time between two attempts to use the own links while the host is cut off.
	probeInterval = 500 * time.Millisecond
)

// route is how to connect to an upstream.
type route uint8

const (
	// direct uses the host's own links.
	direct route = iota
	// tunnelled goes through another host.
	tunnelled
	// both tries both at once, and uses what connects first.
	both
)

// state judges by connection attempts whether this host is cut off from all upstreams: several
// accept no connection in a row, and one of them is reachable from another host. It is not safe for
// concurrent use, and has no clock: times are passed in.
type state struct {
	// failed holds the upstreams that accepted no connection since the latest one that did.
	failed  map[string]bool
	cutOff  bool
	probeAt time.Time
}

// route returns how to connect now. While the host is cut off it tries its own links at intervals,
// beside a tunnel.
func (s *state) route(now time.Time) route {
	switch {
	case !s.cutOff:
		return direct
	case now.Before(s.probeAt):
		return tunnelled
	}
	s.probeAt = now.Add(probeInterval)
	return both
}

// suspicious reports whether the host may be cut off.
func (s *state) suspicious() bool { return s.cutOff || len(s.failed) >= minFailedUpstreams }

// connected records a connection by the own links, and reports whether it ends a cut.
func (s *state) connected() (regained bool) {
	regained = s.cutOff
	s.cutOff = false
	clear(s.failed)
	return regained
}

// failedAt records that an upstream accepted no connection by the own links.
func (s *state) failedAt(address string) {
	if s.failed == nil {
		s.failed = map[string]bool{}
	}
	s.failed[address] = true
}

// tunnelledTo records a connection through another host, and reports whether it shows that this
// host is cut off.
func (s *state) tunnelledTo(address string, now time.Time) (lost bool) {
	if s.cutOff || !s.suspicious() || !s.failed[address] {
		return false
	}
	s.cutOff, s.probeAt = true, now.Add(probeInterval)
	return true
}
