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

// leavingLimit is the time after which an upstream that leaves gets no new work.
const leavingLimit = 3 * time.Second

// A host that neither the upstream's announcements nor the other hosts reach
// learns nothing of its leaving, and still sends it nothing after the limit.
func TestLeavingUpstreamGetsNoNewWorkThroughACutOffHost(t *testing.T) {
	run(t, siteOptions{hosts: 5, control: 3, adjust: longLease}, func(s *site) {
		cut := s.hosts[4]
		s.warm(cut)
		s.net.Partition(names(cut), names(s.hosts[:4]...))
		time.Sleep(settle)
		s.net.Cut(announcerOf("engine-1"), cut.name)
		s.engine.Leave()
		served := 0
		for i := range 60 {
			if s.served(cut, fmt.Sprint("leaving-", i)) {
				served++
			}
			time.Sleep(100 * time.Millisecond)
		}
		s.Expect(served).To(BeNumerically(">", 0), "the host does not know of the leaving at first")
		s.expectNoNewWork()
	})
}

// otherFailures are made while an upstream leaves, or a host is shut down.
var otherFailures = map[string]func(s *site){
	"none":                    func(*site) {},
	"leader cut off":          func(s *site) { s.isolate(s.leader()) },
	"another host lost":       func(s *site) { s.lose(s.hosts[3]) },
	"replica lost and leader": func(s *site) { s.lose(s.hosts[3]); s.isolate(s.leader()) },
	"operators race": func(s *site) {
		for i := range 2 {
			write := s.write(config.KindOrganisation, "o", fmt.Sprintf(`{"display_name":"n%d"}`, i))
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

// isolate cuts a host from all others; its callers and upstreams still reach it.
func (s *site) isolate(h *host) {
	for _, other := range s.hosts {
		if other != h {
			s.net.Cut(h.name, other.name)
		}
	}
}

// lose breaks all connections of a host, which nobody reaches any more.
func (s *site) lose(h *host) {
	s.isolate(h)
	for _, node := range []string{callers, operators, "engine-1", "service-1", announcerOf("engine-1")} {
		s.net.Cut(h.name, node)
	}
	s.net.Reset(h.name)
}

func TestLeavingUpstreamGetsNoNewWorkUnderOtherFailures(t *testing.T) {
	for name, fail := range otherFailures {
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

func (s *site) expectNoNewWork() {
	s.t.Helper()
	runs := 0
	for _, r := range s.engine.Truth().Records() {
		if r.Event != fake.TruthStarted {
			continue
		}
		runs++
		after := time.Duration(r.AfterLeaving) * time.Millisecond
		s.Expect(after).To(BeNumerically("<=", leavingLimit))
	}
	s.Expect(runs).To(BeNumerically(">", 0))
}

// A stream that is open at a shutdown comes to its end and is billed, whatever
// else fails meanwhile.
func TestShutdownCutsOffNoStreamUnderOtherFailures(t *testing.T) {
	slow := fake.EngineOptions{TokenTime: 200 * time.Millisecond}
	for name, fail := range otherFailures {
		t.Run(name, func(t *testing.T) {
			run(t, siteOptions{hosts: 5, control: 3, engine: slow}, func(s *site) {
				stopped := s.hosts[4]
				done := s.openStream(stopped)
				fail(s)
				s.drain(stopped)
				s.expectWhole(<-done)
				s.net.HealAll()
				s.start(stopped)
				time.Sleep(20 * time.Second)
				b := s.budget(s.hosts[0])
				s.Expect(b.Charged).To(Equal(s.billed()))
				s.Expect(b.Reserved).To(BeZero())
			})
		})
	}
}

// received is the end of a call.
type received struct {
	answer *harness.Answer
	err    error
}

// openStream sends a request at a host and returns when its stream has begun.
func (s *site) openStream(h *host) <-chan received {
	done := make(chan received, 1)
	go func() {
		answer, err := s.chat(h, "open", promptOf(""))
		done <- received{answer, err}
	}()
	time.Sleep(time.Second)
	s.Expect(s.engine.Truth().Records()).NotTo(BeEmpty(), "the stream is open")
	return done
}

func (s *site) expectWhole(r received) {
	s.t.Helper()
	s.Expect(r.err).NotTo(HaveOccurred())
	s.Expect(r.answer.Status).To(Equal(http.StatusOK))
	s.Expect(r.answer.Complete).To(BeTrue())
	s.Expect(r.answer.Text).To(Equal(expectedText(s, "")))
}

// A host is shut down with a stream open just after it was cut off: the stream
// comes to its end, and is billed once the host is back.
func TestShutdownWhileCutOffCutsOffNoStream(t *testing.T) {
	slow := fake.EngineOptions{TokenTime: 200 * time.Millisecond}
	run(t, siteOptions{hosts: 5, control: 3, adjust: longLease, engine: slow}, func(s *site) {
		cut := s.hosts[4]
		done := s.openStream(cut)
		s.isolate(cut)
		s.drain(cut)
		s.expectWhole(<-done)
		s.net.HealAll()
		s.start(cut)
		time.Sleep(20 * time.Second)
		b := s.budget(s.hosts[0])
		s.Expect(b.Charged).To(Equal(s.billed()))
		s.Expect(b.Reserved).To(BeZero())
	})
}
