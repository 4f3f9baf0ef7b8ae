package controlgroup

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const testLease = 10 * time.Second

func TestChangeWaitsForEveryLeaseHolder(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := newLeaseTable(testLease)
	table.renew("a", 7, false, now)
	table.renew("b", 6, false, now)
	g.Expect(table.inForce(7, now)).To(BeFalse())
	table.renew("b", 7, false, now)
	g.Expect(table.inForce(7, now)).To(BeTrue())
}

func TestSilentHostBlocksUntilItsLeaseHasSurelyLapsed(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := newLeaseTable(testLease)
	table.renew("cut", 6, false, now)
	g.Expect(table.inForce(7, now.Add(testLease))).To(BeFalse(), "the host's clock may run slower")
	g.Expect(table.inForce(7, now.Add(testLease+testLease/driftDivisor+1))).To(BeTrue())
}

func TestNewLeaderAssumesThatEveryOpenSessionHoldsALease(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := newLeaseTable(testLease)
	table.reset([]string{"a"}, now)
	g.Expect(table.inForce(1, now)).To(BeFalse())
	g.Expect(table.lapsed(now)).To(BeEmpty())
	g.Expect(table.lapsed(now.Add(2 * testLease))).To(ConsistOf("a"))
}

func TestAnOldHeartbeatDoesNotLowerTheRevision(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := newLeaseTable(testLease)
	table.renew("a", 9, false, now)
	table.renew("a", 8, false, now)
	g.Expect(table.revision("a")).To(Equal(uint64(9)))
	table.end("a")
	g.Expect(table.revision("a")).To(BeZero())
}

// A change that waits longer than its caller would come back as unavailable, never as pending.
func TestPendingChangeIsAnsweredBeforeItsCallerGivesUp(t *testing.T) {
	NewWithT(t).Expect(inForceWait).To(BeNumerically("<", callTimeout))
}
