package fleet_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// TestFaultFreeFleetServesBillsAndReplays expects a repeated idempotency key to return the
// first answer, and the charge to match what the stand-ins ran.
func TestFaultFreeFleetServesBillsAndReplays(t *testing.T) {
	run(t, siteOptions{hosts: 4, control: 3}, func(s *site) {
		answer, err := s.chat(s.hosts[3], "key-1", "good morning")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(answer.Status).To(Equal(http.StatusOK))
		s.Expect(answer.Complete).To(BeTrue())
		first, err := s.nextNumber(s.hosts[0], "key-2")
		s.Expect(err).NotTo(HaveOccurred())
		again, err := s.nextNumber(s.hosts[2], "key-2")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(again.Body).To(Equal(first.Body))
		budget := s.budget(s.hosts[1])
		s.Expect(budget.Charged).To(Equal(s.expectedCharge()))
		s.Expect(budget.Reserved).To(BeZero())
	})
}

// TestHostWithoutReplicaAccessServesThroughPeer cuts a host off from all control replicas,
// but not from another entry host.
func TestHostWithoutReplicaAccessServesThroughPeer(t *testing.T) {
	run(t, siteOptions{hosts: 5, control: 3}, func(s *site) {
		isolated := s.hosts[4]
		s.net.Partition(hostNames(isolated), hostNames(s.hosts[:3]...))
		time.Sleep(20 * time.Second)
		answer, err := s.chat(isolated, "key-1", "good morning")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(answer.Status).To(Equal(http.StatusOK), "%+v", answer.Refusal)
		s.Expect(s.budget(s.hosts[0]).Charged).To(Equal(s.expectedCharge()))
	})
}

// TestIsolatedHostRefusesAfterLeaseExpiry expects an isolated host to dispatch nothing
// after its lease. A refusal without idempotency key is not_run; with a key its outcome
// is unknown, as another host may have run the request.
func TestIsolatedHostRefusesAfterLeaseExpiry(t *testing.T) {
	run(t, siteOptions{hosts: 5, control: 3}, func(s *site) {
		isolated := s.hosts[4]
		s.net.Partition(hostNames(isolated), hostNames(s.hosts[:4]...))
		time.Sleep(15 * time.Second)
		ran := len(s.plain.Truth().Records())
		answer, err := s.nextNumber(isolated, "key-1")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(answer.Refusal).NotTo(BeNil())
		s.Expect(answer.Refusal.Kind).To(Equal(errkind.LeaseLapsed))
		s.Expect(answer.Refusal.Outcome()).To(Equal(errkind.Unknown), "an earlier try through another host may have run")
		answer, err = s.chat(isolated, "", "no earlier try")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(answer.Refusal.Outcome()).To(Equal(errkind.NotRun))
		s.Expect(s.engine.Truth().Records()).To(BeEmpty())
		s.Expect(s.plain.Truth().Records()).To(HaveLen(ran))
		s.net.HealAll()
		time.Sleep(settleTime)
		answer, err = s.nextNumber(isolated, "key-1")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(answer.Status).To(Equal(http.StatusOK))
	})
}

// TestIsolatedLeaderNeverServesAgainstAcceptedChange isolates the leader from the other
// hosts, but not from callers. No host ever serves against a change accepted by the
// majority, and the change does not revert after the partition heals.
func TestIsolatedLeaderNeverServesAgainstAcceptedChange(t *testing.T) {
	run(t, siteOptions{hosts: 5, control: 3}, func(s *site) {
		leader := s.leader()
		var rest []*host
		for _, h := range s.hosts {
			if h != leader {
				rest = append(rest, h)
			}
		}
		s.net.Partition(hostNames(leader), hostNames(rest...))
		s.mustApply(rest[0], s.newChange(config.KindOrganisation, "o", `{"disabled":true}`))
		for range 30 {
			for _, h := range s.hosts {
				answer, err := s.nextNumber(h, "after-"+h.name)
				s.Expect(err).NotTo(HaveOccurred())
				s.Expect(answer.Status).NotTo(Equal(http.StatusOK), h.name)
			}
			time.Sleep(time.Second)
		}
		s.net.HealAll()
		for range 10 {
			answer, err := s.nextNumber(leader, "healed")
			s.Expect(err).NotTo(HaveOccurred())
			s.Expect(answer.Refusal).NotTo(BeNil())
			time.Sleep(time.Second)
		}
		s.Expect(s.plain.Truth().Records()).To(BeEmpty())
	})
}

// leader returns the host whose replica is the leader.
func (s *site) leader() *host {
	s.t.Helper()
	for _, h := range s.hosts {
		if h.daemon.Leads() {
			return h
		}
	}
	s.t.Fatal("no host is the leader")
	return nil
}
