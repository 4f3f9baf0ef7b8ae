package streamorigin

import "slices"

// maxUnanswered is the number of hosts of a group that need not answer where all answers must agree: a
// record is on two or more of the hosts asked in each group, but for a group of one.
const maxUnanswered = 1

// Verdict is the state of a search for the origin of a stream.
type Verdict uint8

// The values of Verdict.
const (
	// Undecided: further answers may decide.
	Undecided Verdict = iota
	// Found: the origin is known.
	Found
	// Unknown: no host that answered knows the origin.
	Unknown
	// Ambiguous: the hosts know different origins.
	Ambiguous
	// Unconfirmed: the hosts that answered know one origin, and those that did not may know another.
	Unconfirmed
)

// String implements fmt.Stringer.
func (v Verdict) String() string {
	switch v {
	case Found:
		return "found"
	case Unknown:
		return "unknown"
	case Ambiguous:
		return "ambiguous"
	case Unconfirmed:
		return "unconfirmed"
	}
	return "undecided"
}

// Search combines the answers of several hosts to one query, which arrive in any order and some not
// at all. It addresses the burst of resumed streams after many hosts have stopped: most of those
// asked have lost their records, and one that was suspended may have old ones.
type Search struct {
	// named states that the query names the call that began the stream.
	named             bool
	gateways          askedGroup
	controls          askedGroup
	asked, answered   int
	answers           []string
	origin            Origin
	known, conflicted bool
	// received reports that a host knows the origin since it started, not only from an earlier process. earlier is an
	// origin that is not known to be the latest of the request.
	received bool
	earlier  *Origin
	ended    bool
}

// askedGroup are the hosts of one kind that are asked. Each record is on some of them.
type askedGroup struct {
	hosts    []string
	answered int
}

func (g *askedGroup) add(host string) {
	if slices.Contains(g.hosts, host) {
		g.answered++
	}
}

// complete reports whether so many hosts have answered that a record which none of them has does not exist.
func (g *askedGroup) complete() bool {
	return g.answered > 0 && len(g.hosts)-g.answered <= maxUnanswered
}

// NewSearch returns a search by a query that a host answers itself and sends to gateways and control hosts.
func NewSearch(q *Query, gateways, controls []string) *Search {
	return &Search{
		named: q.CallID != "", asked: 1 + len(gateways) + len(controls),
		gateways: askedGroup{hosts: gateways}, controls: askedGroup{hosts: controls},
	}
}

// Add adds the answer of a host. An answer after the decision changes nothing.
func (s *Search) Add(host string, r *Reply) {
	if s.Verdict() != Undecided {
		return
	}
	s.answered++
	s.gateways.add(host)
	s.controls.add(host)
	s.answers = append(s.answers, host+": "+r.String())
	switch {
	case r.Ambiguous, r.Known && s.known && r.Origin != s.origin:
		s.conflicted = true
	case r.Known:
		s.origin, s.known = r.Origin, true
		s.received = s.received || !r.Restored
	case r.Restored && s.earlier != nil && r.Origin != *s.earlier:
		s.conflicted = true
	case r.Restored:
		s.earlier = &r.Origin
	}
	if s.known && s.earlier != nil && *s.earlier != s.origin {
		s.conflicted = true
	}
}

// AddFailure records that a host gave no answer.
func (s *Search) AddFailure(host, reason string) {
	if s.Verdict() == Undecided {
		s.answers = append(s.answers, host+": "+reason)
	}
}

// End ends the search: hosts that have not answered no longer count.
func (s *Search) End() { s.ended = true }

// Verdict returns the state of the search. The first host that knows a named call decides, because the
// id of a call has one origin; but a restored record may have been one of two, of which another host may have the
// second, so that such hosts wait for the others. Without a name all hosts must agree, because the records of equal
// requests can't be told apart, and the hosts of one kind must have answered: the asking host itself may
// have missed a later record while it was suspended or cut off.
func (s *Search) Verdict() Verdict {
	switch {
	case s.conflicted:
		return Ambiguous
	case s.named && s.received:
		return Found
	case len(s.answers) < s.asked && !s.ended:
		return Undecided
	case s.named && s.known:
		return Found
	case s.known && (s.gateways.complete() || s.controls.complete()):
		return Found
	case s.known:
		return Unconfirmed
	}
	return Unknown
}

// Origin returns the origin, if the verdict is Found.
func (s *Search) Origin() Origin { return s.origin }

// LogFields returns the fields that describe the search in logs.
func (s *Search) LogFields() []any {
	return []any{"origin_search", s.Verdict().String(), "hosts_asked", s.asked, "hosts_answered", s.answered, "origin_answers", s.answers}
}
