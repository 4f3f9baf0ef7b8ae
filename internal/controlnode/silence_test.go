package controlnode

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/replica"
	"github.com/godwitbend/godwitbend/internal/replication"
)

// Guards against a new leader that removes a voter as silent which only this host could not hear: one whose
// build does not name its replica in exchanges, or whose link to this host was cut.
func TestNewLeaderRemovesNoVoterThatOnlyItselfHasNotHeard(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tracker := newMemberTracker(now)
	status := func(role replication.Role, leader uint64, recent bool) replica.Status {
		s := replica.Status{ID: 1, Role: role, Leader: leader, Commit: 10}
		for id := uint64(1); id <= 5; id++ {
			p := replication.PeerStatus{Peer: replication.Peer{ID: id}}
			if role == replication.Leader {
				p.Active, p.Heard = id <= 4 || recent, id <= 4
			}
			s.Peers = append(s.Peers, p)
		}
		return s
	}
	for range 4 * removalTimeout / superviseInterval {
		now = now.Add(superviseInterval)
		tracker.update(status(replication.Follower, 2, false), replicaReports{}, now)
	}
	// Voter 5 restarts while the leader changes.
	for led := time.Duration(0); led < removalTimeout/2; led += superviseInterval {
		now = now.Add(superviseInterval)
		tracker.update(status(replication.Leader, 1, led < electionTicks*tickInterval), replicaReports{}, now)
		change, m := nextMemberChange(tracker.states())
		g.Expect(change).To(Equal(noChange), "replica %d, after %s", m.ID, led)
	}
}

// trackedGroup drives a memberTracker of host 1 in a group of five voters.
type trackedGroup struct {
	*memberTracker
	now    time.Time
	status replica.Status
}

func newTrackedGroup() *trackedGroup {
	g := &trackedGroup{now: time.Unix(0, 0), status: replica.Status{ID: 1, Role: replication.Follower, Leader: 2, Commit: 10}}
	g.memberTracker = newMemberTracker(g.now)
	for id := uint64(1); id <= 5; id++ {
		g.status.Peers = append(g.status.Peers, replication.PeerStatus{Peer: replication.Peer{ID: id}})
	}
	return g
}

// pass updates the tracker every superviseInterval for d. The hosts of the replicas in heard send exchanges.
func (g *trackedGroup) pass(d time.Duration, heard ...uint64) {
	ids := map[uint64]bool{}
	for _, id := range heard {
		ids[id] = true
	}
	for range d / superviseInterval {
		g.now = g.now.Add(superviseInterval)
		g.update(g.status, replicaReports{heard: ids}, g.now)
	}
}

// lead makes host 1 the leader that hears from the given replicas.
func (g *trackedGroup) lead(heard ...uint64) {
	g.status.Role, g.status.Leader = replication.Leader, 1
	for i := range g.status.Peers {
		p := &g.status.Peers[i]
		p.Active, p.Heard = true, slices.Contains(heard, p.ID)
	}
}

func (g *trackedGroup) silence(id uint64) time.Duration { return g.members[id].silentFor }

func TestFollowerMeasuresSilenceByLeaderAndExchanges(t *testing.T) {
	g, tracked := NewWithT(t), newTrackedGroup()
	tracked.pass(2*time.Second, 3)
	g.Expect(tracked.silence(1)).To(BeZero(), "itself")
	g.Expect(tracked.silence(2)).To(BeZero(), "the leader")
	g.Expect(tracked.silence(3)).To(BeZero(), "sends exchanges")
	g.Expect(tracked.silence(4)).To(Equal(2 * time.Second))
	tracked.status.Leader = replication.None
	tracked.pass(time.Second)
	g.Expect(tracked.silence(2)).To(Equal(time.Second), "no longer the leader")
}

// Guards against a count that begins anew with each leader.
func TestNewLeaderContinuesTheCountOfSilence(t *testing.T) {
	g, tracked := NewWithT(t), newTrackedGroup()
	tracked.pass(2*time.Second, 3, 4)
	tracked.lead(3, 4)
	tracked.pass(superviseInterval)
	g.Expect(tracked.silence(5)).To(Equal(2*time.Second + superviseInterval))
	tracked.lead(3, 4, 5)
	tracked.pass(superviseInterval)
	g.Expect(tracked.silence(5)).To(BeZero())
}

// Guards against a new leader that replaces a voter before that could answer it.
func TestNewLeaderWaitsForAnAnswerBeforeItReplacesAVoter(t *testing.T) {
	g, tracked := NewWithT(t), newTrackedGroup()
	tracked.status.Peers = append(tracked.status.Peers, replication.PeerStatus{Peer: replication.Peer{ID: 6, Learner: true}, Match: 10})
	tracked.pass(evenRemovalTimeout, 3, 4, 6)
	tracked.lead(3, 4, 6)
	tracked.pass(superviseInterval)
	change, m := nextMemberChange(tracked.states())
	g.Expect(change).To(Equal(noChange), "%d", m.ID)
	for i := range tracked.status.Peers {
		tracked.status.Peers[i].Active = tracked.status.Peers[i].Heard
	}
	tracked.pass(superviseInterval)
	change, m = nextMemberChange(tracked.states())
	g.Expect(change).To(Equal(remove))
	g.Expect(m.ID).To(Equal(uint64(5)))
}

func TestSuspensionOfAHostIsNoSilenceOfOthers(t *testing.T) {
	g, tracked := NewWithT(t), newTrackedGroup()
	tracked.pass(superviseInterval, 3, 4, 5)
	tracked.now = tracked.now.Add(9 * time.Second)
	tracked.pass(superviseInterval)
	g.Expect(tracked.silence(5)).To(BeNumerically("<=", 2*superviseInterval))
}

func TestLeaderMeasuresSilenceByTicks(t *testing.T) {
	g, tracked := NewWithT(t), newTrackedGroup()
	tracked.lead(1, 3, 4, 5)
	tracked.pass(superviseInterval)
	tracked.status.Peers[4].Active, tracked.status.Peers[4].SilentTicks = false, 2*electionTicks
	tracked.pass(superviseInterval, 5)
	g.Expect(tracked.silence(5)).To(Equal(2 * electionTicks * tickInterval))
}

// Guards against a replica that loses its vote by the statement of an earlier stop, which was held up.
func TestLateStatementOfAStopIsNotBelieved(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tracker := newMemberTracker(now)
	status := replica.Status{ID: 1, Role: replication.Leader, Leader: 1, Commit: 10}
	for id := uint64(1); id <= 4; id++ {
		status.Peers = append(status.Peers, replication.PeerStatus{Peer: replication.Peer{ID: id}, Active: true, Heard: id > 1, SilentTicks: heartbeatTicks})
	}
	status.Peers = append(status.Peers, replication.PeerStatus{Peer: replication.Peer{ID: 5, Learner: true}, Active: true, Heard: true, Match: 10})
	reports := replicaReports{stopped: map[uint64]bool{4: true}}
	for range 20 {
		now = now.Add(superviseInterval)
		tracker.update(status, reports, now)
		reports = replicaReports{}
		g.Expect(tracker.members[4].silentFor).To(BeZero())
	}
	g.Expect(tracker.members[4].stopped).To(BeFalse())
}
