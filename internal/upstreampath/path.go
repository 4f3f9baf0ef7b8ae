// Package upstreampath chooses how a host connects to upstreams: by its own links or, while these are
// lost, through another host.
package upstreampath

import "time"

const (
	// minFailedUpstreams is the number of upstreams in a row that accept no connection after which
	// other hosts are asked for a path.
	minFailedUpstreams = 2
	// probeInterval is the time between two attempts to use the lost link to an upstream.
	probeInterval = 500 * time.Millisecond
	// retention is the time after its latest use for which an upstream is remembered.
	retention = time.Minute
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

// link is this host's link to one upstream.
type link struct {
	// failed reports that the latest attempt to use it failed, and lost that the upstream is
	// reachable from another host.
	failed, lost    bool
	probeAt, usedAt time.Time
}

// state judges by connection attempts which links of this host are lost. The host is cut off if
// several upstreams accept no connection in a row, and one of them is reachable from another host;
// then all links count as lost. It is not safe for concurrent use, and has no clock: times are passed
// in.
type state struct {
	links map[string]*link
	// failedInARow holds the upstreams that accepted no connection since the latest one that did,
	// without those whose links are known to be lost.
	failedInARow map[string]bool
	// lost is the number of links that are lost one by one.
	lost   int
	cutOff bool
}

func newState() state { return state{links: map[string]*link{}, failedInARow: map[string]bool{}} }

// route returns how to connect to an upstream now. A lost link is tried at intervals, beside a tunnel.
func (s *state) route(address string, now time.Time) route {
	if !s.isLost(address) {
		return direct
	}
	l := s.use(address, now)
	if now.Before(l.probeAt) {
		return tunnelled
	}
	l.probeAt = now.Add(probeInterval)
	return both
}

// isLost reports whether the link to an upstream is lost.
func (s *state) isLost(address string) bool {
	l := s.links[address]
	return s.cutOff || l != nil && l.lost
}

// suspicious reports whether a failure may be that of a link.
func (s *state) suspicious() bool {
	return s.cutOff || s.lost > 0 || len(s.failedInARow) >= minFailedUpstreams
}

// connected records a connection by a link of this host, and reports whether it ends a cut.
func (s *state) connected(address string, now time.Time) (regained bool) {
	regained = s.cutOff
	s.cutOff = false
	clear(s.failedInARow)
	l := s.use(address, now)
	if l.lost {
		s.lost--
	}
	l.failed, l.lost = false, false
	return regained
}

// failedAt records that an upstream accepted no connection by a link of this host.
func (s *state) failedAt(address string, now time.Time) {
	l := s.use(address, now)
	l.failed = true
	if !l.lost {
		s.failedInARow[address] = true
	}
}

// tunnelledTo records a connection through another host, and reports whether it shows that this
// host is cut off.
func (s *state) tunnelledTo(address string, now time.Time) (cutOff bool) {
	l := s.use(address, now)
	if !l.failed {
		return false
	}
	if !l.lost {
		l.lost, l.probeAt = true, now.Add(probeInterval)
		s.lost++
	}
	if s.cutOff || len(s.failedInARow) < minFailedUpstreams {
		return false
	}
	s.cutOff = true
	return true
}

// use returns the link to an upstream, and forgets those that were not used for long.
func (s *state) use(address string, now time.Time) *link {
	l := s.links[address]
	if l == nil {
		s.forgetUnused(now)
		l = &link{}
		s.links[address] = l
	}
	l.usedAt = now
	return l
}

func (s *state) forgetUnused(now time.Time) {
	for address, l := range s.links {
		if now.Sub(l.usedAt) < retention {
			continue
		}
		if l.lost {
			s.lost--
		}
		delete(s.links, address)
		delete(s.failedInARow, address)
	}
}
