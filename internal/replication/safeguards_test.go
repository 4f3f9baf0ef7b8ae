package replication

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Each test in this file provokes a failure with one safeguard disabled, and
// checks that the failure does not occur with the safeguard enabled.

func TestSyncBeforeReplyKeepsCommittedEntries(t *testing.T) {
	run := func(disabled DisabledSafeguards) error {
		c := newCluster(3, 1, disabled)
		c.elect(1)
		c.isolate(3, true)
		c.write(1)
		c.handleReady(1, noCrash)
		for _, m := range c.inFlight {
			c.deliver(m)
		}
		c.inFlight = nil
		c.handleReady(2, crashBeforePersist) // must not have sent the acknowledgement
		c.deliverAll()
		c.isolate(3, false)
		c.isolate(1, true)
		c.restart(2)
		c.tick(40, 2, 3)
		c.write(2)
		c.write(3)
		c.deliverAll()
		return c.violation
	}
	g := NewWithT(t)
	g.Expect(run(DisabledSafeguards{})).To(Succeed())
	g.Expect(run(DisabledSafeguards{SyncBeforeReply: true})).To(MatchError(ContainSubstring("lacks committed entry")))
}

func TestReadConfirmationPreventsStaleReads(t *testing.T) {
	run := func(disabled DisabledSafeguards) bool {
		c := newCluster(3, 1, disabled)
		c.elect(1)
		c.write(1)
		c.deliverAll()
		c.isolate(1, true)
		c.tick(40, 2, 3)
		c.forEachLeaderExcept(1, c.write)
		c.deliverAll()
		c.read(1)
		c.deliverAll()
		return c.linearizable()
	}
	g := NewWithT(t)
	g.Expect(run(DisabledSafeguards{})).To(BeTrue())
	g.Expect(run(DisabledSafeguards{ReadConfirmation: true})).To(BeFalse())
}

func (c *cluster) forEachLeaderExcept(except uint64, act func(id uint64)) {
	for _, id := range c.ids() {
		if id != except && c.isLeader(id) {
			act(id)
		}
	}
}

func TestPreVotePreventsDisruptionOnRejoin(t *testing.T) {
	run := func(disabled DisabledSafeguards) (sameTerm bool) {
		c := newCluster(3, 1, disabled)
		c.elect(1)
		term := c.hosts[1].node.term
		c.isolate(3, true)
		c.tick(200)
		c.isolate(3, false)
		c.tick(5)
		return c.isLeader(1) && c.hosts[1].node.term == term
	}
	g := NewWithT(t)
	g.Expect(run(DisabledSafeguards{})).To(BeTrue())
	g.Expect(run(DisabledSafeguards{PreVote: true})).To(BeFalse())
}

func TestCheckQuorumStepsDownIsolatedLeader(t *testing.T) {
	run := func(disabled DisabledSafeguards) (leads bool) {
		c := newCluster(3, 1, disabled)
		c.elect(1)
		c.isolate(1, true)
		c.tick(12)
		return c.isLeader(1)
	}
	g := NewWithT(t)
	g.Expect(run(DisabledSafeguards{})).To(BeFalse())
	g.Expect(run(DisabledSafeguards{CheckQuorum: true})).To(BeTrue())
}

// TestCheckQuorumToleratesPartialPartition blocks only the link between the leader
// and one follower, which then requests votes from the other follower.
func TestCheckQuorumToleratesPartialPartition(t *testing.T) {
	run := func(disabled DisabledSafeguards) (sameLeader bool) {
		c := newCluster(3, 1, disabled)
		c.elect(1)
		c.blocked[[2]uint64{1, 3}], c.blocked[[2]uint64{3, 1}] = true, true
		c.tick(100)
		return c.isLeader(1) && len(c.leaders) == 1
	}
	g := NewWithT(t)
	g.Expect(run(DisabledSafeguards{})).To(BeTrue())
	g.Expect(run(DisabledSafeguards{CheckQuorum: true})).To(BeFalse())
}

// TestSchedulesDetectDisabledSafeguards checks that the random schedules are able
// to detect faults: with a safeguard disabled, some of them violate an invariant.
func TestSchedulesDetectDisabledSafeguards(t *testing.T) {
	g := NewWithT(t)
	for name, disabled := range map[string]DisabledSafeguards{
		"persist first":     {SyncBeforeReply: true},
		"read confirmation": {ReadConfirmation: true},
	} {
		g.Expect(firstFailingSeed(disabled)).To(BeNumerically("<", seedsPerSafeguard), name)
	}
}

// seedsPerSafeguard is the number of schedules run with one safeguard disabled.
const seedsPerSafeguard = 400

// firstFailingSeed returns the first seed whose schedule violates an invariant, or
// seedsPerSafeguard if there is none.
func firstFailingSeed(disabled DisabledSafeguards) int {
	for seed := range seedsPerSafeguard {
		s := runSchedule(uint64(seed), 3, 3000, disabled)
		if s.violation != nil || !s.linearizable() {
			return seed
		}
	}
	return seedsPerSafeguard
}
