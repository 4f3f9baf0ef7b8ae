package fleet_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/fake"
	"github.com/godwitbend/godwitbend/internal/harness"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
)

// leavingLimit is the time after which a leaving upstream must receive no new work.
const leavingLimit = 3 * time.Second

// TestLeavingUpstreamGetsNoNewWorkFromIsolatedHost cuts a host off from the upstream's
// announcements and from the other hosts. The host does not learn that the upstream is
// leaving, yet must send it nothing after the limit.
func TestLeavingUpstreamGetsNoNewWorkFromIsolatedHost(t *testing.T) {
	run(t, siteOptions{hosts: 5, control: 3, adjust: longLease}, func(s *site) {
		isolated := s.hosts[4]
		s.acquireGrant(isolated)
		s.net.Partition(hostNames(isolated), hostNames(s.hosts[:4]...))
		time.Sleep(settleTime)
		s.net.Cut(announcerNode("engine-1"), isolated.name)
		s.engine.Leave()
		served := 0
		for i := range 60 {
			if s.isServed(isolated, fmt.Sprint("leaving-", i)) {
				served++
			}
			time.Sleep(100 * time.Millisecond)
		}
		s.Expect(served).To(BeNumerically(">", 0), "the host still dispatches at first")
		s.expectNoNewWork()
	})
}

// concurrentFailures are injected while an upstream leaves or a host is shut down.
var concurrentFailures = map[string]func(s *site){
	"none":                    func(*site) {},
	"leader cut off":          func(s *site) { s.isolate(s.leader()) },
	"another host lost":       func(s *site) { s.disconnect(s.hosts[3]) },
	"replica lost and leader": func(s *site) { s.disconnect(s.hosts[3]); s.isolate(s.leader()) },
	"operators race": func(s *site) {
		for i := range 2 {
			write := s.newChange(config.KindOrganisation, "o", fmt.Sprintf(`{"display_name":"n%d"}`, i))
			go s.operate(s.hosts[i], http.MethodPost, operatorapi.PathApply, write, nil)
		}
	},
	"leader cut off twice": func(s *site) {
		s.isolate(s.leader())
		time.Sleep(2 * time.Second)
		s.net.HealAll()
		time.Sleep(time.Second)
		s.isolate(s.leader())
	},
}

// isolate cuts a host off from all other hosts, but not from callers and upstreams.
func (s *site) isolate(h *host) {
	for _, other := range s.hosts {
		if other != h {
			s.net.Cut(h.name, other.name)
		}
	}
}

// disconnect resets all connections of a host and makes it unreachable for all nodes.
func (s *site) disconnect(h *host) {
	s.isolate(h)
	for _, node := range []string{callersNode, operatorsNode, "engine-1", "service-1", announcerNode("engine-1")} {
		s.net.Cut(h.name, node)
	}
	s.net.Reset(h.name)
}

// TestLeavingUpstreamGetsNoNewWorkDuringFailures combines a leaving upstream with each
// of concurrentFailures.
func TestLeavingUpstreamGetsNoNewWorkDuringFailures(t *testing.T) {
	for name, fail := range concurrentFailures {
		t.Run(name, func(t *testing.T) {
			run(t, siteOptions{hosts: 5, control: 3}, func(s *site) {
				started := make(chan struct{})
				go func() {
					defer close(started)
					for i := range 60 {
						_, _ = s.chat(s.hosts[4], fmt.Sprint("leaving-", i), "good morning")
						time.Sleep(100 * time.Millisecond)
					}
				}()
				time.Sleep(time.Second)
				s.engine.Leave()
				fail(s)
				<-started
				s.net.HealAll()
				s.expectNoNewWork()
			})
		})
	}
}

// expectNoNewWork expects that the engine ran requests, but started none after
// leavingLimit.
func (s *site) expectNoNewWork() {
	s.t.Helper()
	runs := 0
	for _, r := range s.engine.Truth().Records() {
		if r.Event != fake.TruthStarted {
			continue
		}
		runs++
		after := time.Duration(r.AfterLeavingMS) * time.Millisecond
		s.Expect(after).To(BeNumerically("<=", leavingLimit))
	}
	s.Expect(runs).To(BeNumerically(">", 0))
}

// TestShutdownAbortsNoStreamDuringFailures shuts a host down during a stream and one of
// concurrentFailures: the stream completes and is charged.
func TestShutdownAbortsNoStreamDuringFailures(t *testing.T) {
	slow := fake.EngineOptions{TokenTime: 200 * time.Millisecond}
	for name, fail := range concurrentFailures {
		t.Run(name, func(t *testing.T) {
			run(t, siteOptions{hosts: 5, control: 3, engine: slow}, func(s *site) {
				stopped := s.hosts[4]
				done := s.startStream(stopped)
				fail(s)
				s.drain(stopped)
				s.expectWholeAnswer(<-done)
				s.net.HealAll()
				s.start(stopped)
				time.Sleep(20 * time.Second)
				b := s.budget(s.hosts[0])
				s.Expect(b.Charged).To(Equal(s.expectedCharge()))
				s.Expect(b.Reserved).To(BeZero())
			})
		})
	}
}

// callResult is the answer or the transport error of a call.
type callResult struct {
	answer *harness.Answer
	err    error
}

// startStream sends a request through a host and returns once the engine has started
// it; the result follows on the channel.
func (s *site) startStream(h *host) <-chan callResult {
	done := make(chan callResult, 1)
	go func() {
		answer, err := s.chat(h, "open", promptFor(""))
		done <- callResult{answer, err}
	}()
	time.Sleep(time.Second)
	s.Expect(s.engine.Truth().Records()).NotTo(BeEmpty(), "the stream has started")
	return done
}

// expectWholeAnswer expects the complete answer to the request of startStream.
func (s *site) expectWholeAnswer(r callResult) {
	s.t.Helper()
	s.Expect(r.err).NotTo(HaveOccurred())
	s.Expect(r.answer.Status).To(Equal(http.StatusOK))
	s.Expect(r.answer.Complete).To(BeTrue())
	s.Expect(r.answer.Text).To(Equal(expectedText(s, "")))
}

// TestShutdownOfIsolatedHostAbortsNoStream shuts a host down during a stream, just after
// isolating it: the stream completes, and is charged once the host has restarted.
func TestShutdownOfIsolatedHostAbortsNoStream(t *testing.T) {
	slow := fake.EngineOptions{TokenTime: 200 * time.Millisecond}
	run(t, siteOptions{hosts: 5, control: 3, adjust: longLease, engine: slow}, func(s *site) {
		isolated := s.hosts[4]
		done := s.startStream(isolated)
		s.isolate(isolated)
		s.drain(isolated)
		s.expectWholeAnswer(<-done)
		s.net.HealAll()
		s.start(isolated)
		time.Sleep(20 * time.Second)
		b := s.budget(s.hosts[0])
		s.Expect(b.Charged).To(Equal(s.expectedCharge()))
		s.Expect(b.Reserved).To(BeZero())
	})
}
