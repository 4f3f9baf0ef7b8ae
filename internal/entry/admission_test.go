package entry

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/admission"
	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/fake"
)

// gated is a host that admits by the places of one engine with one place.
const gated = "10.0.0.9:80"

func (s *site) addGatedHost(settings admission.Settings) *admission.Gate {
	s.addEngine(1, func(o *fake.EngineOptions) {
		slow(o)
		o.Capacity = 1
	})
	gate := admission.NewGate(settings, admission.NewCapacity(s.registry, func() int { return 1 }, nil).Slots, nil)
	s.options.Admission = gate
	s.addHost(gated, "session-9")
	return gate
}

// addCaller puts a caller of a class with a queue of its own in force.
func (s *site) addCaller(name string, class config.ClassSpec) {
	s.change(config.KindClass, name, class)
	s.change(config.KindCaller, name, config.CallerSpec{
		Organisation: "org", KeyHash: hashOf(name), Class: name, Budget: "b", MaxConcurrent: 100,
	})
}

func TestRefusalsOfAdmissionReachTheCaller(t *testing.T) {
	inSite(t, 1_000_000, func(s *site) {
		gate := s.addGatedHost(admission.Settings{MaxWaiting: 2})
		s.addCaller("low", config.ClassSpec{Worth: 1, DeadlineMS: 60_000, QueueLimit: 10})
		s.addCaller("hasty", config.ClassSpec{Worth: 2, DeadlineMS: 500, QueueLimit: 10})
		got := make(chan answer, 3)
		for i := range 3 {
			go func() { got <- s.stream(bearer("low"), via(gated)) }()
			s.waitFor(func() bool { return gate.Waiting("m") == i })
		}
		full := s.stream(bearer("low"), via(gated))
		s.Expect(full.refusal.Kind).To(Equal(errkind.Overloaded), full.body)
		hasty := s.stream(bearer("hasty"), via(gated))
		s.Expect(hasty.refusal.Kind).To(Equal(errkind.DeadlineUnmet), hasty.body)
		displaced := 0
		for range 3 {
			a := <-got
			if a.refusal.Kind == errkind.Displaced {
				displaced++
				s.Expect(a.refusal.RetryAfterMS).To(BeNumerically(">", 0))
				continue
			}
			s.Expect(a.whole()).To(BeTrue(), a.body)
		}
		s.Expect(displaced).To(Equal(1))
		for _, kind := range []errkind.Kind{errkind.Overloaded, errkind.DeadlineUnmet, errkind.Displaced} {
			s.Expect(s.counter("refusals", string(kind))).To(Equal(int64(1)))
		}
	})
}

func TestWorthierCallerIsServedFirst(t *testing.T) {
	inSite(t, 1_000_000, func(s *site) {
		gate := s.addGatedHost(admission.Settings{})
		s.addCaller("low", config.ClassSpec{Worth: 1, DeadlineMS: 60_000, QueueLimit: 10})
		s.addCaller("high", config.ClassSpec{Worth: 50, DeadlineMS: 60_000, QueueLimit: 10})
		order := make(chan string, 4)
		for i, name := range []string{"low", "low", "low", "high"} {
			go func() {
				a := s.call("POST", chatPath, strings.Replace(streamBody, "draft", fmt.Sprint("draft ", i), 1), bearer(name), via(gated))
				s.Expect(a.whole()).To(BeTrue(), a.body)
				order <- name
			}()
			s.waitFor(func() bool { return gate.Waiting("m") == i })
		}
		s.Expect(<-order).To(Equal("low"), "it had its place already")
		s.Expect(<-order).To(Equal("high"))
	})
}

func TestLeavingUpstreamFinishesWhatItHasAndGetsNothingNew(t *testing.T) {
	inSite(t, 1_000_000, func(s *site) {
		leaving := s.addEngine(1, slow)
		got := make(chan answer, 1)
		go func() { got <- s.stream() }()
		s.waitFor(func() bool { return finished(fake.TruthStarted, leaving.Truth()) == 1 })
		leaving.Leave()
		s.registry.Apply(leaving.Announcement(), time.Now())
		stays := s.addEngine(2, nil)
		for range 5 {
			s.Expect(s.stream().whole()).To(BeTrue())
		}
		s.Expect((<-got).whole()).To(BeTrue())
		s.Expect(finished(fake.TruthStarted, leaving.Truth())).To(Equal(1))
		s.Expect(finished(fake.TruthFinished, stays.Truth())).To(Equal(5))
		s.Expect(leaving.Announcement().State).To(Equal(announce.StateLeaving))
	})
}

// fullAdmission refuses every request.
type fullAdmission struct{}

func (fullAdmission) Acquire(context.Context, admission.Ticket) (func(), error) {
	return nil, errkind.New(errkind.Overloaded, "the queue is full")
}

func TestStoredAnswerNeedsNoPlace(t *testing.T) {
	inSite(t, 1000, func(s *site) {
		v := s.addService(1, nil)
		s.options.Admission = fullAdmission{}
		s.addHost(gated, "session-9")
		first := s.nextNumber(key("k"))
		s.Expect(first.status).To(Equal(200), first.body)
		again := s.nextNumber(key("k"), via(gated))
		s.Expect(again.body).To(Equal(first.body))
		other := s.nextNumber(key("other"), via(gated))
		s.Expect(other.refusal.Kind).To(Equal(errkind.Overloaded))
		s.Expect(other.refusal.Outcome).To(Equal(errkind.NotRun))
		s.Expect(v.Truth().Records()).To(HaveLen(1))
	})
}
