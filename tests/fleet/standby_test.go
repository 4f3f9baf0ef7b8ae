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

// longLease lets a host that is cut off serve for the whole test.
func longLease(s *settings.Settings) {
	s.ConfigLease.Duration = 5 * time.Minute
}

func withoutDisk(s *settings.Settings) {
	longLease(s)
	if !s.HasRole(settings.RoleControl) {
		s.DataDir = ""
	}
}

// warm makes a host hold a standby grant.
func (s *site) warm(h *host) {
	s.t.Helper()
	for i := range 20 {
		answer, err := s.chat(h, fmt.Sprintf("warm-%s-%d", h.name, i), "good morning")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(answer.Status).To(Equal(http.StatusOK))
	}
	time.Sleep(settle)
	s.Expect(s.budget(s.hosts[0]).Granted).To(BeNumerically(">", 0))
}

func (s *site) served(h *host, key string) bool {
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

func (s *site) expectWithinPaid(h *host) {
	s.t.Helper()
	b := s.budget(h)
	s.Expect(b.Charged + b.Reserved + b.Granted).To(BeNumerically("<=", b.PaidIn))
}

// bothSidesServe cuts a host off during top-ups, lets both sides serve for a
// number of seconds, some requests on both, and checks the bill after the heal.
func bothSidesServe(t *testing.T, seconds int, adjust func(*settings.Settings), side func(s *site) (cut, rest []*host)) {
	run(t, siteOptions{hosts: 5, control: 3, adjust: adjust}, func(s *site) {
		cut, rest := side(s)
		s.warm(cut[0])
		s.net.Partition(names(cut...), names(rest...))
		time.Sleep(5 * time.Second)
		served := 0
		for i := range seconds {
			s.Expect(s.served(rest[0], fmt.Sprintf("rest-%d", i))).To(BeTrue())
			s.Expect(s.served(rest[0], fmt.Sprintf("both-%d", i))).To(BeTrue())
			for _, key := range []string{"cut", "both"} {
				if s.served(cut[0], fmt.Sprintf("%s-%d", key, i)) {
					served++
				}
			}
			s.topUp(rest[0], 100)
			s.expectWithinPaid(rest[0])
			time.Sleep(time.Second)
		}
		s.Expect(served).To(BeNumerically(">", 0), "a host with a grant serves while it is cut off")
		answer, err := s.next(cut[0], "not-repeatable")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(answer.Refusal).NotTo(BeNil())
		s.Expect(s.plain.Truth().Records()).To(BeEmpty())
		s.net.HealAll()
		time.Sleep(20 * time.Second)
		b := s.budget(rest[0])
		s.Expect(b.Charged).To(Equal(s.billed()))
		s.expectWithinPaid(rest[0])
		t.Logf("served %d of %d while cut off", served, 2*seconds)
	})
}

func TestHostWithADiskServesFromItsGrantWhileCutOff(t *testing.T) {
	bothSidesServe(t, 30, longLease, func(s *site) (cut, rest []*host) {
		return s.hosts[4:], s.hosts[:4]
	})
}

// The leader itself is cut off silently for two minutes and keeps its callers.
func TestLeaderThatIsCutOffForMinutesSpendsOnlyItsGrant(t *testing.T) {
	bothSidesServe(t, 120, longLease, func(s *site) (cut, rest []*host) {
		leader := s.leader()
		for _, h := range s.hosts {
			if h != leader {
				rest = append(rest, h)
			}
		}
		return []*host{leader}, rest
	})
}

func TestHostWithoutADiskJournalsOnAPeerOfItsSide(t *testing.T) {
	bothSidesServe(t, 30, withoutDisk, func(s *site) (cut, rest []*host) {
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

func TestHostWithoutADiskRefusesWhenAllAlone(t *testing.T) {
	run(t, siteOptions{hosts: 5, control: 3, adjust: withoutDisk}, func(s *site) {
		cut := s.hosts[4]
		s.warm(cut)
		s.net.Partition(names(cut), names(s.hosts[:4]...))
		time.Sleep(5 * time.Second)
		answer, err := s.chat(cut, "alone", "good morning")
		s.Expect(err == nil && answer.Status == http.StatusOK && answer.Complete).To(BeFalse())
		s.net.HealAll()
		time.Sleep(20 * time.Second)
		s.expectWithinPaid(s.hosts[0])
	})
}

func TestGrantsAreReturnedAtADrain(t *testing.T) {
	run(t, siteOptions{hosts: 5, control: 3}, func(s *site) {
		s.warm(s.hosts[4])
		s.drain(s.hosts[4])
		s.hosts[4].done <- nil
		s.Expect(s.budget(s.hosts[0]).Granted).To(BeZero())
	})
}

// Grants do not strand the end of a budget: what hosts hold comes back before
// a request that fits is refused.
func TestGrantsComeBackNearTheEndOfABudget(t *testing.T) {
	run(t, siteOptions{hosts: 5, control: 3, paid: 20_000}, func(s *site) {
		s.warm(s.hosts[4])
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

// A request that ran on a host which is cut off is never called "not run" on
// the other side, though the control group knows nothing of it yet.
func TestRequestServedWhileCutOffIsNeverCalledNotRunElsewhere(t *testing.T) {
	run(t, siteOptions{hosts: 5, control: 3, adjust: longLease}, func(s *site) {
		cut, rest := s.hosts[4], s.hosts[:4]
		s.warm(cut)
		s.net.Partition(names(cut), names(rest...))
		time.Sleep(5 * time.Second)
		s.Expect(s.served(cut, "ran-alone")).To(BeTrue())
		s.operate(rest[0], http.MethodPost, operatorapi.PathApply,
			s.write(config.KindOrganisation, "o", `{"disabled":true}`), nil)
		refusal := func(key string) *errkind.Error {
			answer, err := s.chat(rest[0], key, "good morning")
			s.Expect(err).NotTo(HaveOccurred())
			s.Expect(answer.Refusal).NotTo(BeNil())
			return answer.Refusal
		}
		s.Expect(refusal("ran-alone").Outcome()).To(Equal(errkind.Unknown), "while one host is cut off")
		s.net.HealAll()
		for range 20 {
			s.Expect(refusal("ran-alone").Outcome()).NotTo(Equal(errkind.NotRun), "after the heal")
			time.Sleep(200 * time.Millisecond)
		}
		s.Expect(refusal("ran-alone").Outcome()).To(Equal(errkind.Ran), "once the journal is merged")
		s.Expect(refusal("never-ran").Outcome()).To(Equal(errkind.NotRun))
	})
}

// Requests that arrive just as a host is cut off are served from its grant as
// soon as it knows, though their Begin may have reached the control group.
func TestRequestsAtTheMomentOfACutAreServed(t *testing.T) {
	run(t, siteOptions{hosts: 5, control: 3, adjust: longLease}, func(s *site) {
		cut := s.hosts[4]
		s.warm(cut)
		const requests = 10
		answers := make(chan *harness.Answer, requests)
		for i := range requests {
			go func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				answer, _ := s.chat(cut, fmt.Sprint("moment-", i), "good morning")
				answers <- answer
			}()
		}
		time.Sleep(250 * time.Millisecond)
		s.net.Partition(names(cut), names(s.hosts[:4]...))
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
		s.Expect(b.Charged).To(Equal(s.billed()))
		s.Expect(b.Reserved).To(BeZero())
	})
}
