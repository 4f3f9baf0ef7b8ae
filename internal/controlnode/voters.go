package controlnode

import (
	"maps"
	"slices"
	"time"

	"github.com/godwitbend/godwitbend/internal/replica"
	"github.com/godwitbend/godwitbend/internal/replication"
)

const (
	// replacementTimeout is the time without contact after which a voter yields to a new host, or leaves a
	// group that bears no failure because of it.
	replacementTimeout = 1500 * time.Millisecond
	// evenRemovalTimeout is the time without contact after which a voter leaves a group with an even
	// number of voters, which is no safer with it. It exceeds a restart.
	evenRemovalTimeout = 3 * time.Second
	// promotionDelay is the time between the first catching up of a new replica and its vote. It
	// exceeds the election timeout, so that a voter that it replaces is known to be silent.
	promotionDelay = time.Second
	// stopConfirmation is the time without an answer after which a leader believes that a replica has
	// stopped in order. It exceeds the interval between heartbeats: the statement may be of an earlier stop.
	stopConfirmation = 3 * heartbeatTicks * tickInterval
	// removalTimeout is the time without contact after which a replica is removed in any case.
	// Hosts may freeze or lose their network for up to 9 s and return with their disks intact.
	removalTimeout = 20 * time.Second
	// minVoters is the number of voters below which none is removed automatically.
	minVoters = 3
)

// memberState is what the leader knows of a replica.
type memberState struct {
	replication.Peer
	// silentFor is the time without contact; 0 if there was contact within the election timeout.
	silentFor time.Duration
	// undecided reports that the leader has led for less than the election timeout and has not yet
	// heard from the replica, which may still answer.
	undecided bool
	// stopped reports that the replica said that it stops, stoppedFor ago, and has not been heard from since.
	stopped    bool
	stoppedFor time.Duration
	// caughtUp reports whether a learner has the committed log, and readyFor the time for which it has had it.
	caughtUp bool
	readyFor time.Duration
}

// memberTracker measures for how long each replica has been silent. Every control host does so, by the
// exchanges of the others and by the leader's messages, so that a change of the leader does not start
// the measurement again. Time in which this host is suspended does not count.
type memberTracker struct {
	updatedAt time.Time
	members   map[uint64]*memberState
}

func newMemberTracker(now time.Time) *memberTracker {
	return &memberTracker{updatedAt: now, members: map[uint64]*memberState{}}
}

// replicaReports are the ids of the replicas whose hosts have sent an exchange, and of those that have said that
// they stop.
type replicaReports struct{ heard, stopped map[uint64]bool }

func newReplicaReports() replicaReports {
	return replicaReports{heard: map[uint64]bool{}, stopped: map[uint64]bool{}}
}

// update records the status s of this host's replica and the reports of others since the latest update.
func (t *memberTracker) update(s replica.Status, reports replicaReports, now time.Time) {
	elapsed := min(now.Sub(t.updatedAt), 2*superviseInterval)
	t.updatedAt = now
	known := t.members
	t.members = make(map[uint64]*memberState, len(s.Peers))
	for _, p := range s.Peers {
		m := known[p.ID]
		if m == nil {
			m = &memberState{}
		}
		t.members[p.ID] = m
		m.Peer = p.Peer
		m.stoppedFor += elapsed
		if reports.stopped[p.ID] {
			m.stopped, m.stoppedFor = true, 0
		}
		if s.Role != replication.Leader {
			m.undecided, m.caughtUp, m.readyFor = false, false, 0
			m.addSilence(elapsed, p.ID == s.ID || p.ID == s.Leader || reports.heard[p.ID])
			m.stopped = m.stopped && m.silentFor > 0
			// The silence may be that of the link to this host, or of an earlier build's exchanges.
			m.silentFor = min(m.silentFor, evenRemovalTimeout)
			continue
		}
		m.updateAsLeader(p, p.ID == s.ID, s.Commit, elapsed)
	}
}

func (m *memberState) addSilence(elapsed time.Duration, contact bool) {
	m.silentFor += elapsed
	if contact {
		m.silentFor = 0
	}
}

// updateAsLeader counts only answers to the leader as contact: a host whose disk hangs still sends exchanges.
func (m *memberState) updateAsLeader(p replication.PeerStatus, self bool, commit uint64, elapsed time.Duration) {
	m.undecided = p.Active && !p.Heard && !self
	if p.Heard && !p.Active {
		m.silentFor = time.Duration(p.SilentTicks) * tickInterval
	} else {
		m.addSilence(elapsed, self || p.Heard)
	}
	m.updateStopped(p)
	wasCaughtUp := m.caughtUp
	m.caughtUp = p.Learner && p.Active && p.Match >= commit
	switch {
	case !p.Learner || !p.Active:
		m.readyFor = 0
	case wasCaughtUp || m.readyFor > 0:
		m.readyFor += elapsed
	}
}

// updateStopped counts a replica that stopped in order as silent for long enough to be replaced.
func (m *memberState) updateStopped(p replication.PeerStatus) {
	answered := p.Heard && time.Duration(p.SilentTicks)*tickInterval < stopConfirmation
	switch {
	case !m.stopped || m.undecided:
	case !answered:
		m.silentFor = max(m.silentFor, replacementTimeout)
	case m.stoppedFor > replacementTimeout:
		m.stopped = false
	}
}

// states returns the state of each replica as of the latest update, ordered by id.
func (t *memberTracker) states() []memberState {
	list := make([]memberState, 0, len(t.members))
	for _, id := range slices.Sorted(maps.Keys(t.members)) {
		list = append(list, *t.members[id])
	}
	return list
}

// memberChange is a change of the membership.
type memberChange uint8

const (
	noChange memberChange = iota
	promote
	remove
)

// String implements fmt.Stringer.
func (c memberChange) String() string {
	switch c {
	case promote:
		return "promote"
	case remove:
		return "remove"
	}
	return "none"
}

// memberSummary is what nextMemberChange decides on.
type memberSummary struct {
	voters, activeVoters int
	// silentVoter and silentLearner have been silent for longest, and ready has been ready for longest; their
	// ids are 0 if there is none.
	silentVoter, silentLearner, ready memberState
}

func summarize(members []memberState) memberSummary {
	var s memberSummary
	for _, m := range members {
		switch {
		case m.Learner && m.silentFor > s.silentLearner.silentFor:
			s.silentLearner = m
		case m.Learner && m.silentFor == 0 && m.caughtUp && (s.ready.ID == 0 || m.readyFor > s.ready.readyFor):
			s.ready = m
		case m.Learner:
		case m.silentFor == 0:
			s.voters++
			s.activeVoters++
		default:
			s.voters++
			if m.silentFor > s.silentVoter.silentFor {
				s.silentVoter = m
			}
		}
	}
	return s
}

// spare returns the number of further voters that the group can lose without losing its quorum.
func (s *memberSummary) spare() int { return s.activeVoters - (s.voters/2 + 1) }

// silentLongerThan reports whether a voter has been silent for at least timeout and won't answer the leader.
func (s *memberSummary) silentLongerThan(timeout time.Duration) bool {
	return s.silentVoter.ID != 0 && !s.silentVoter.undecided && s.silentVoter.silentFor >= timeout
}

// removable reports whether the group keeps a quorum and enough voters without the silent one.
func (s *memberSummary) removable() bool {
	return s.voters > minVoters && s.spare() >= 0 && s.activeVoters >= (s.voters-1)/2+1
}

// nextMemberChange returns the next change of the membership, and the replica that it concerns.
// A new replica takes the vote of one that is silent for good, so that a replacement does not
// add a voter that counts against the others; while it is unclear whether the silent one returns
// the new one waits, unless the group could lose no voter meanwhile.
func nextMemberChange(members []memberState) (memberChange, memberState) {
	s := summarize(members)
	even := s.voters%2 == 0
	replaceable := s.silentLongerThan(replacementTimeout)
	ready := s.ready.ID != 0
	switch {
	case replaceable && s.removable() && (ready || even && s.spare() == 0):
		return remove, s.silentVoter
	case ready && (replaceable || even && s.spare() == 0):
		return promote, s.ready
	case ready && s.silentVoter.ID == 0 && (even || s.ready.readyFor >= promotionDelay):
		return promote, s.ready
	case s.removable() && (even && s.silentLongerThan(evenRemovalTimeout) || s.silentLongerThan(removalTimeout)):
		return remove, s.silentVoter
	case s.silentLearner.silentFor >= removalTimeout:
		return remove, s.silentLearner
	}
	return noChange, memberState{}
}
