package fleet_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/harness"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
	"github.com/godwitbend/godwitbend/internal/settings"
)

// longLease sets a configuration lease under which an isolated host may serve for the
// whole test.
func longLease(s *settings.Settings) {
	s.ConfigLease.Duration = 5 * time.Minute
}

// disklessWithLongLease is longLease without a data directory, but for control replicas.
func disklessWithLongLease(s *settings.Settings) {
	longLease(s)
	if !s.HasRole(settings.RoleControl) {
		s.DataDir = ""
	}
}

// acquireGrant sends requests through a host until it holds a standby grant.
func (s *site) acquireGrant(h *host) {
	s.t.Helper()
	for i := range 20 {
		answer, err := s.chat(h, fmt.Sprintf("warm-%s-%d", h.name, i), "good morning")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(answer.Status).To(Equal(http.StatusOK))
	}
	time.Sleep(settleTime)
	s.Expect(s.budget(s.hosts[0]).Granted).To(BeNumerically(">", 0))
}

// isServed sends a chat request and reports whether it was served rather than refused.
func (s *site) isServed(h *host, key string) bool {
	s.t.Helper()
	answer, err := s.chat(h, key, "good morning")
	s.Expect(err).NotTo(HaveOccurred())
	if answer.Status == http.StatusOK {
		s.Expect(answer.Complete).To(BeTrue())
		return true
	}
	s.Expect(answer.Refusal).NotTo(BeNil())
	return false
}

// expectNoOverspend expects charges, reservations and grants to stay within what was paid
// in.
func (s *site) expectNoOverspend(h *host) {
	s.t.Helper()
	b := s.budget(h)
	s.Expect(b.Charged + b.Reserved + b.Granted).To(BeNumerically("<=", b.PaidIn))
}

// serveDuringPartition partitions the fleet, lets both sides serve for a number of seconds
// during top-ups, some keys on both sides, and checks the charges after the heal.
func serveDuringPartition(t *testing.T, seconds int, adjust func(*settings.Settings), side func(s *site) (isolated, rest []*host)) {
	run(t, siteOptions{hosts: 5, control: 3, adjust: adjust}, func(s *site) {
		isolated, rest := side(s)
		s.acquireGrant(isolated[0])
		s.net.Partition(hostNames(isolated...), hostNames(rest...))
		time.Sleep(5 * time.Second)
		served := 0
		for i := range seconds {
			s.Expect(s.isServed(rest[0], fmt.Sprintf("rest-%d", i))).To(BeTrue())
			s.Expect(s.isServed(rest[0], fmt.Sprintf("both-%d", i))).To(BeTrue())
			for _, key := range []string{"cut", "both"} {
				if s.isServed(isolated[0], fmt.Sprintf("%s-%d", key, i)) {
					served++
				}
			}
			s.topUp(rest[0], 100)
			s.expectNoOverspend(rest[0])
			time.Sleep(time.Second)
		}
		s.Expect(served).To(BeNumerically(">", 0), "a host with a grant serves while it is isolated")
		answer, err := s.nextNumber(isolated[0], "not-repeatable")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(answer.Refusal).NotTo(BeNil())
		s.Expect(s.plain.Truth().Records()).To(BeEmpty())
		s.net.HealAll()
		time.Sleep(20 * time.Second)
		b := s.budget(rest[0])
		s.Expect(b.Charged).To(Equal(s.expectedCharge()))
		s.expectNoOverspend(rest[0])
		t.Logf("served %d of %d while isolated", served, 2*seconds)
	})
}

// TestIsolatedHostServesFromGrant isolates a host that journals on its own disk.
func TestIsolatedHostServesFromGrant(t *testing.T) {
	serveDuringPartition(t, 30, longLease, func(s *site) (isolated, rest []*host) {
		return s.hosts[4:], s.hosts[:4]
	})
}

// TestIsolatedLeaderSpendsOnlyItsGrant isolates the leader from the other hosts, but not
// from callers, for two minutes.
func TestIsolatedLeaderSpendsOnlyItsGrant(t *testing.T) {
	serveDuringPartition(t, 120, longLease, func(s *site) (isolated, rest []*host) {
		leader := s.leader()
		for _, h := range s.hosts {
			if h != leader {
				rest = append(rest, h)
			}
		}
		return []*host{leader}, rest
	})
}

// TestDisklessHostJournalsOnReachablePeer partitions a host without a disk together with a
// follower, which keeps its journal.
func TestDisklessHostJournalsOnReachablePeer(t *testing.T) {
	serveDuringPartition(t, 30, disklessWithLongLease, func(s *site) (isolated, rest []*host) {
		follower := s.hosts[0]
		if follower.daemon.Leads() {
			follower = s.hosts[1]
		}
		for _, h := range s.hosts {
			if h != follower && h != s.hosts[4] {
				rest = append(rest, h)
			}
		}
		return []*host{s.hosts[4], follower}, rest
	})
}

// TestDisklessHostRefusesWithoutPeers isolates a host that has a grant, but neither a disk
// nor a peer for its journal.
func TestDisklessHostRefusesWithoutPeers(t *testing.T) {
	run(t, siteOptions{hosts: 5, control: 3, adjust: disklessWithLongLease}, func(s *site) {
		isolated := s.hosts[4]
		s.acquireGrant(isolated)
		s.net.Partition(hostNames(isolated), hostNames(s.hosts[:4]...))
		time.Sleep(5 * time.Second)
		answer, err := s.chat(isolated, "alone", "good morning")
		s.Expect(err == nil && answer.Status == http.StatusOK && answer.Complete).To(BeFalse())
		s.net.HealAll()
		time.Sleep(20 * time.Second)
		s.expectNoOverspend(s.hosts[0])
	})
}

// TestDrainReturnsGrants drains a host that holds a grant.
func TestDrainReturnsGrants(t *testing.T) {
	run(t, siteOptions{hosts: 5, control: 3}, func(s *site) {
		s.acquireGrant(s.hosts[4])
		s.drain(s.hosts[4])
		s.hosts[4].done <- nil
		s.Expect(s.budget(s.hosts[0]).Granted).To(BeZero())
	})
}

// TestGrantsReturnNearBudgetEnd guards against grants that strand the end of a budget:
// hosts return them before a request that the budget covers is refused.
func TestGrantsReturnNearBudgetEnd(t *testing.T) {
	run(t, siteOptions{hosts: 5, control: 3, paidIn: 20_000}, func(s *site) {
		s.acquireGrant(s.hosts[4])
		for i := 0; ; i++ {
			answer, err := s.call(s.hosts[0], "/v1/chat/completions", "", []byte(
				`{"model":"writer","max_tokens":100,"messages":[{"role":"user","content":"long"}]}`))
			s.Expect(err).NotTo(HaveOccurred())
			if answer.Status == http.StatusOK {
				continue
			}
			s.Expect(answer.Refusal.Kind).To(BeElementOf(errkind.BudgetExhausted, errkind.BudgetReserved))
			break
		}
		time.Sleep(10 * time.Second)
		b := s.budget(s.hosts[0])
		s.Expect(b.Granted).To(BeNumerically("<", (b.PaidIn-b.Charged)/8+1))
	})
}

// TestRequestServedInIsolationNeverReportedNotRun serves a request on an isolated host.
// Other hosts never report it as not_run, even before the control group has its record.
func TestRequestServedInIsolationNeverReportedNotRun(t *testing.T) {
	run(t, siteOptions{hosts: 5, control: 3, adjust: longLease}, func(s *site) {
		isolated, rest := s.hosts[4], s.hosts[:4]
		s.acquireGrant(isolated)
		s.net.Partition(hostNames(isolated), hostNames(rest...))
		time.Sleep(5 * time.Second)
		s.Expect(s.isServed(isolated, "ran-alone")).To(BeTrue())
		s.operate(rest[0], http.MethodPost, operatorapi.PathApply,
			s.newChange(config.KindOrganisation, "o", `{"disabled":true}`), nil)
		refusal := func(key string) *errkind.Error {
			answer, err := s.chat(rest[0], key, "good morning")
			s.Expect(err).NotTo(HaveOccurred())
			s.Expect(answer.Refusal).NotTo(BeNil())
			return answer.Refusal
		}
		s.Expect(refusal("ran-alone").Outcome()).To(Equal(errkind.Unknown), "while one host is isolated")
		s.net.HealAll()
		for range 20 {
			s.Expect(refusal("ran-alone").Outcome()).NotTo(Equal(errkind.NotRun), "after the heal")
			time.Sleep(200 * time.Millisecond)
		}
		s.Expect(refusal("ran-alone").Outcome()).To(Equal(errkind.Ran), "after the journal is merged")
		s.Expect(refusal("never-ran").Outcome()).To(Equal(errkind.NotRun))
	})
}

// TestRequestsDuringPartitionOnsetAreServed sends requests just as a host is isolated. The
// host serves them from its grant once it detects the partition, although the control
// group may already have received their Begin.
func TestRequestsDuringPartitionOnsetAreServed(t *testing.T) {
	run(t, siteOptions{hosts: 5, control: 3, adjust: longLease}, func(s *site) {
		isolated := s.hosts[4]
		s.acquireGrant(isolated)
		const requests = 10
		answers := make(chan *harness.Answer, requests)
		for i := range requests {
			go func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				answer, _ := s.chat(isolated, fmt.Sprint("moment-", i), "good morning")
				answers <- answer
			}()
		}
		time.Sleep(250 * time.Millisecond)
		s.net.Partition(hostNames(isolated), hostNames(s.hosts[:4]...))
		served := 0
		for range requests {
			if answer := <-answers; answer.Status == http.StatusOK && answer.Complete {
				served++
			}
		}
		s.Expect(served).To(Equal(requests))
		s.net.HealAll()
		time.Sleep(20 * time.Second)
		b := s.budget(s.hosts[0])
		s.Expect(b.Charged).To(Equal(s.expectedCharge()))
		s.Expect(b.Reserved).To(BeZero())
	})
}
