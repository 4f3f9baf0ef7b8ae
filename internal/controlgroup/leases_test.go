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

func TestUnresponsiveHostBlocksUntilLeaseExpires(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := newLeaseTable(testLease)
	table.renew("cut", 6, false, now)
	g.Expect(table.inForce(7, now.Add(testLease))).To(BeFalse(), "the host's clock may run slower than the leader's")
	g.Expect(table.inForce(7, now.Add(testLease+testLease/clockDriftDivisor+1))).To(BeTrue())
}

func TestNewLeaderAssumesLeaseForEverySession(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := newLeaseTable(testLease)
	table.reset([]string{"a"}, now)
	g.Expect(table.inForce(1, now)).To(BeFalse())
	g.Expect(table.expired(now)).To(BeEmpty())
	g.Expect(table.expired(now.Add(2 * testLease))).To(ConsistOf("a"))
}

func TestStaleHeartbeatKeepsRevision(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := newLeaseTable(testLease)
	table.renew("a", 9, false, now)
	table.renew("a", 8, false, now)
	g.Expect(table.revision("a")).To(Equal(uint64(9)))
	table.end("a")
	g.Expect(table.revision("a")).To(BeZero())
}

// If waiting for a change to be in force took longer than a client's try, the client
// would report the control group as unavailable instead of the change as pending.
func TestInForceTimeoutIsBelowPerTryTimeout(t *testing.T) {
	NewWithT(t).Expect(inForceTimeout).To(BeNumerically("<", perTryTimeout))
}
