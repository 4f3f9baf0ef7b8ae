package replication

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Each test here shows a failure with one mechanism switched off, and its
// absence with the mechanism on.

func TestPersistFirstKeepsCommittedEntries(t *testing.T) {
	run := func(disabled Mechanisms) error {
		c := newCluster(3, 1, disabled)
		c.elect(1)
		c.isolate(3, true)
		c.write(1)
		c.pump(1, noCrash)
		for _, m := range c.wire {
			c.deliver(m)
		}
		c.wire = nil
		c.pump(2, crashBeforePersist) // the acknowledgement must not be out yet
		c.settle()
		c.isolate(3, false)
		c.isolate(1, true)
		c.restart(2)
		c.tick(40, 2, 3)
		c.write(2)
		c.write(3)
		c.settle()
		return c.violation
	}
	g := NewWithT(t)
	g.Expect(run(Mechanisms{})).To(Succeed())
	g.Expect(run(Mechanisms{NoPersistFirst: true})).To(MatchError(ContainSubstring("lacks committed entry")))
}

func TestReadConfirmationPreventsStaleReads(t *testing.T) {
	run := func(disabled Mechanisms) bool {
		c := newCluster(3, 1, disabled)
		c.elect(1)
		c.write(1)
		c.settle()
		c.isolate(1, true)
		c.tick(40, 2, 3)
		c.eachOtherLeader(1, c.write)
		c.settle()
		c.read(1)
		c.settle()
		return c.linearizable()
	}
	g := NewWithT(t)
	g.Expect(run(Mechanisms{})).To(BeTrue())
	g.Expect(run(Mechanisms{NoReadConfirmation: true})).To(BeFalse())
}

func (c *cluster) eachOtherLeader(except uint64, act func(id uint64)) {
	for _, id := range c.ids() {
		if id != except && c.leads(id) {
			act(id)
		}
	}
}

func TestPreVoteKeepsTheLeaderWhenAReplicaReturns(t *testing.T) {
	run := func(disabled Mechanisms) (sameTerm bool) {
		c := newCluster(3, 1, disabled)
		c.elect(1)
		term := c.hosts[1].node.term
		c.isolate(3, true)
		c.tick(200)
		c.isolate(3, false)
		c.tick(5)
		return c.leads(1) && c.hosts[1].node.term == term
	}
	g := NewWithT(t)
	g.Expect(run(Mechanisms{})).To(BeTrue())
	g.Expect(run(Mechanisms{NoPreVote: true})).To(BeFalse())
}

func TestCheckQuorumEndsAnIsolatedLeadership(t *testing.T) {
	run := func(disabled Mechanisms) (leads bool) {
		c := newCluster(3, 1, disabled)
		c.elect(1)
		c.isolate(1, true)
		c.tick(12)
		return c.leads(1)
	}
	g := NewWithT(t)
	g.Expect(run(Mechanisms{})).To(BeFalse())
	g.Expect(run(Mechanisms{NoCheckQuorum: true})).To(BeTrue())
}

// TestCheckQuorumWithstandsAPartialPartition cuts only the link between the
// leader and one follower, which then asks the other follower for its vote.
func TestCheckQuorumWithstandsAPartialPartition(t *testing.T) {
	run := func(disabled Mechanisms) (sameLeader bool) {
		c := newCluster(3, 1, disabled)
		c.elect(1)
		c.blocked[[2]uint64{1, 3}], c.blocked[[2]uint64{3, 1}] = true, true
		c.tick(100)
		return c.leads(1) && len(c.leaders) == 1
	}
	g := NewWithT(t)
	g.Expect(run(Mechanisms{})).To(BeTrue())
	g.Expect(run(Mechanisms{NoCheckQuorum: true})).To(BeFalse())
}

// TestSchedulesFindMissingMechanisms shows that the random schedules would
// notice: without the mechanism some of them break an invariant.
func TestSchedulesFindMissingMechanisms(t *testing.T) {
	g := NewWithT(t)
	for name, disabled := range map[string]Mechanisms{
		"persist first":     {NoPersistFirst: true},
		"read confirmation": {NoReadConfirmation: true},
	} {
		g.Expect(firstBroken(disabled)).To(BeNumerically("<", mechanismSeeds), name)
	}
}

// mechanismSeeds is the number of schedules tried without a mechanism.
const mechanismSeeds = 400

// firstBroken returns the first seed whose schedule breaks an invariant.
func firstBroken(disabled Mechanisms) int {
	for seed := range mechanismSeeds {
		s := runSchedule(uint64(seed), 3, 3000, disabled)
		if s.violation != nil || !s.linearizable() {
			return seed
		}
	}
	return mechanismSeeds
}
