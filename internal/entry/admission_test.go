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

// gatedAddress is the address of the host that addGatedHost starts.
const gatedAddress = "10.0.0.9:80"

// addGatedHost starts a host with a real admission gate in front of one engine of capacity 1.
func (s *simulation) addGatedHost(settings admission.Settings) *admission.Gate {
	s.addEngine(1, func(o *fake.EngineOptions) {
		slowEngine(o)
		o.Capacity = 1
	})
	gate := admission.NewGate(settings, admission.NewCapacity(s.registry, func() int { return 1 }, nil).Slots, nil)
	s.options.Admission = gate
	s.addHost(gatedAddress, "session-9")
	return gate
}

// addCaller configures a caller together with a priority class of the same name.
func (s *simulation) addCaller(name string, class config.ClassSpec) {
	s.changeRecord(config.KindClass, name, class)
	s.changeRecord(config.KindCaller, name, config.CallerSpec{
		Organisation: "org", KeyHash: hashOf(name), Class: name, Budget: "b", MaxConcurrent: 100,
	})
}

func TestAdmissionRefusalsReachCaller(t *testing.T) {
	inSimulation(t, 1_000_000, func(s *simulation) {
		gate := s.addGatedHost(admission.Settings{MaxWaiting: 2})
		s.addCaller("low", config.ClassSpec{Worth: 1, DeadlineMS: 60_000, QueueLimit: 10})
		s.addCaller("hasty", config.ClassSpec{Worth: 2, DeadlineMS: 500, QueueLimit: 10})
		got := make(chan answer, 3)
		for i := range 3 {
			go func() { got <- s.callStream(withBearerKey("low"), toHost(gatedAddress)) }()
			s.waitFor(func() bool { return gate.Waiting("m") == i })
		}
		full := s.callStream(withBearerKey("low"), toHost(gatedAddress))
		s.Expect(full.refusal.Kind).To(Equal(errkind.Overloaded), full.body)
		shortDeadline := s.callStream(withBearerKey("hasty"), toHost(gatedAddress))
		s.Expect(shortDeadline.refusal.Kind).To(Equal(errkind.DeadlineUnmet), shortDeadline.body)
		displaced := 0
		for range 3 {
			a := <-got
			if a.refusal.Kind == errkind.Displaced {
				displaced++
				s.Expect(a.refusal.RetryAfterMS).To(BeNumerically(">", 0))
				continue
			}
			s.Expect(a.complete()).To(BeTrue(), a.body)
		}
		s.Expect(displaced).To(Equal(1))
		for _, kind := range []errkind.Kind{errkind.Overloaded, errkind.DeadlineUnmet, errkind.Displaced} {
			s.Expect(s.counter("refusals", string(kind))).To(Equal(int64(1)))
		}
	})
}

func TestHigherWorthServedFirst(t *testing.T) {
	inSimulation(t, 1_000_000, func(s *simulation) {
		gate := s.addGatedHost(admission.Settings{})
		s.addCaller("low", config.ClassSpec{Worth: 1, DeadlineMS: 60_000, QueueLimit: 10})
		s.addCaller("high", config.ClassSpec{Worth: 50, DeadlineMS: 60_000, QueueLimit: 10})
		order := make(chan string, 4)
		for i, name := range []string{"low", "low", "low", "high"} {
			go func() {
				a := s.call("POST", chatPath, strings.Replace(streamBody, "draft", fmt.Sprint("draft ", i), 1), withBearerKey(name), toHost(gatedAddress))
				s.Expect(a.complete()).To(BeTrue(), a.body)
				order <- name
			}()
			s.waitFor(func() bool { return gate.Waiting("m") == i })
		}
		s.Expect(<-order).To(Equal("low"), "it was admitted before the others were queued")
		s.Expect(<-order).To(Equal("high"))
	})
}

func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	inSimulation(t, 1_000_000, func(s *simulation) {
		leaving := s.addEngine(1, slowEngine)
		got := make(chan answer, 1)
		go func() { got <- s.callStream() }()
		s.waitFor(func() bool { return countEvents(fake.TruthStarted, leaving.Truth()) == 1 })
		leaving.Leave()
		s.registry.Apply(leaving.Announcement(), time.Now())
		stays := s.addEngine(2, nil)
		for range 5 {
			s.Expect(s.callStream().complete()).To(BeTrue())
		}
		s.Expect((<-got).complete()).To(BeTrue())
		s.Expect(countEvents(fake.TruthStarted, leaving.Truth())).To(Equal(1))
		s.Expect(countEvents(fake.TruthFinished, stays.Truth())).To(Equal(5))
		s.Expect(leaving.Announcement().State).To(Equal(announce.StateLeaving))
	})
}

// fullAdmission refuses every request as overloaded.
type fullAdmission struct{}

func (fullAdmission) Acquire(context.Context, admission.Ticket) (func(), error) {
	return nil, errkind.New(errkind.Overloaded, "the queue is full")
}

func TestStoredAnswerBypassesAdmission(t *testing.T) {
	inSimulation(t, 1000, func(s *simulation) {
		v := s.addService(1, nil)
		s.options.Admission = fullAdmission{}
		s.addHost(gatedAddress, "session-9")
		first := s.callNextNumber(withIdempotencyKey("k"))
		s.Expect(first.status).To(Equal(200), first.body)
		again := s.callNextNumber(withIdempotencyKey("k"), toHost(gatedAddress))
		s.Expect(again.body).To(Equal(first.body))
		other := s.callNextNumber(withIdempotencyKey("other"), toHost(gatedAddress))
		s.Expect(other.refusal.Kind).To(Equal(errkind.Overloaded))
		s.Expect(other.refusal.Outcome).To(Equal(errkind.NotRun))
		s.Expect(v.Truth().Records()).To(HaveLen(1))
	})
}
