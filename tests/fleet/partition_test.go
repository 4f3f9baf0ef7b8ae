package fleet_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

func TestCalmFleetServesBillsAndRepeats(t *testing.T) {
	run(t, siteOptions{hosts: 4, control: 3}, func(s *site) {
		answer, err := s.chat(s.hosts[3], "key-1", "good morning")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(answer.Status).To(Equal(http.StatusOK))
		s.Expect(answer.Complete).To(BeTrue())
		first, err := s.next(s.hosts[0], "key-2")
		s.Expect(err).NotTo(HaveOccurred())
		again, err := s.next(s.hosts[2], "key-2")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(again.Body).To(Equal(first.Body))
		budget := s.budget(s.hosts[1])
		s.Expect(budget.Charged).To(Equal(s.billed()))
		s.Expect(budget.Reserved).To(BeZero())
	})
}

func TestHostCutFromTheReplicasServesThroughAnother(t *testing.T) {
	run(t, siteOptions{hosts: 5, control: 3}, func(s *site) {
		cut := s.hosts[4]
		s.net.Partition(names(cut), names(s.hosts[:3]...))
		time.Sleep(20 * time.Second)
		answer, err := s.chat(cut, "key-1", "good morning")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(answer.Status).To(Equal(http.StatusOK), "%+v", answer.Refusal)
		s.Expect(s.budget(s.hosts[0]).Charged).To(Equal(s.billed()))
	})
}

func TestIsolatedHostTakesNoWorkAfterItsLease(t *testing.T) {
	run(t, siteOptions{hosts: 5, control: 3}, func(s *site) {
		cut := s.hosts[4]
		s.net.Partition(names(cut), names(s.hosts[:4]...))
		time.Sleep(15 * time.Second)
		ran := len(s.plain.Truth().Records())
		answer, err := s.next(cut, "key-1")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(answer.Refusal).NotTo(BeNil())
		s.Expect(answer.Refusal.Kind).To(Equal(errkind.LeaseLapsed))
		s.Expect(answer.Refusal.Outcome()).To(Equal(errkind.Unknown), "an earlier try elsewhere may have run")
		answer, err = s.chat(cut, "", "no earlier try")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(answer.Refusal.Outcome()).To(Equal(errkind.NotRun))
		s.Expect(s.engine.Truth().Records()).To(BeEmpty())
		s.Expect(s.plain.Truth().Records()).To(HaveLen(ran))
		s.net.HealAll()
		time.Sleep(settle)
		answer, err = s.next(cut, "key-1")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(answer.Status).To(Equal(http.StatusOK))
	})
}

// A leader that is cut off silently still has its callers. A change that is
// accepted on the other side is never served against, and never reverts.
func TestSilentlyCutLeaderNeverServesAnAcceptedChangeAway(t *testing.T) {
	run(t, siteOptions{hosts: 5, control: 3}, func(s *site) {
		leader := s.leader()
		var rest []*host
		for _, h := range s.hosts {
			if h != leader {
				rest = append(rest, h)
			}
		}
		s.net.Partition(names(leader), names(rest...))
		s.must(rest[0], s.write(config.KindOrganisation, "o", `{"disabled":true}`))
		for range 30 {
			for _, h := range s.hosts {
				answer, err := s.next(h, "after-"+h.name)
				s.Expect(err).NotTo(HaveOccurred())
				s.Expect(answer.Status).NotTo(Equal(http.StatusOK), h.name)
			}
			time.Sleep(time.Second)
		}
		s.net.HealAll()
		for range 10 {
			answer, err := s.next(leader, "healed")
			s.Expect(err).NotTo(HaveOccurred())
			s.Expect(answer.Refusal).NotTo(BeNil())
			time.Sleep(time.Second)
		}
		s.Expect(s.plain.Truth().Records()).To(BeEmpty())
	})
}

// leader returns the host whose replica leads.
func (s *site) leader() *host {
	s.t.Helper()
	for _, h := range s.hosts {
		if h.daemon.Leads() {
			return h
		}
	}
	s.t.Fatal("no host leads")
	return nil
}
