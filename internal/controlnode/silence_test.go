package controlnode

import (
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
		tracker.update(status(replication.Follower, 2, false), nil, now)
	}
	// Voter 5 restarts while the leader changes.
	for led := time.Duration(0); led < removalTimeout/2; led += superviseInterval {
		now = now.Add(superviseInterval)
		tracker.update(status(replication.Leader, 1, led < electionTicks*tickInterval), nil, now)
		change, m := nextMemberChange(tracker.states())
		g.Expect(change).To(Equal(noChange), "replica %d, after %s", m.ID, led)
	}
}
