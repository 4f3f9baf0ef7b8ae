package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/fake"
)

func TestStreamDeliveredAndCharged(t *testing.T) {
	inSimulation(t, 10_000, func(s *simulation) {
		e := s.addEngine(1, nil)
		a := s.callStream()
		s.Expect(a.status).To(Equal(http.StatusOK), a.body)
		s.Expect(a.complete()).To(BeTrue(), a.body)
		ran := e.Truth().Records()
		last := ran[len(ran)-1]
		s.Expect(last.Event).To(Equal(fake.TruthFinished))
		s.Expect(s.control.onlyRecord().Charged).To(Equal(last.PromptTokens + last.OutputTokens))
		s.Expect(a.header.Get(announce.HeaderRequestID)).To(Equal(last.RequestID))
		s.Expect(a.body).NotTo(ContainSubstring(`"usage"`), "the caller did not ask for usage")
	})
}

func TestNonStreamingAnswerDeliveredAndCharged(t *testing.T) {
	inSimulation(t, 10_000, func(s *simulation) {
		e := s.addEngine(1, nil)
		a := s.call(http.MethodPost, chatPath, nonStreamingBody)
		s.Expect(a.status).To(Equal(http.StatusOK), a.body)
		s.Expect(a.body).To(ContainSubstring(`"chat.completion"`))
		last := e.Truth().Records()[1]
		s.Expect(s.control.onlyRecord().Charged).To(Equal(last.PromptTokens + last.OutputTokens))
	})
}

func TestModelsListFollowsPolicy(t *testing.T) {
	inSimulation(t, 0, func(s *simulation) {
		a := s.call(http.MethodGet, "/v1/models", "")
		s.Expect(a.status).To(Equal(http.StatusOK))
		s.Expect(a.body).To(ContainSubstring(`"id":"m"`))
		s.Expect(a.body).NotTo(ContainSubstring("hidden"))
		s.Expect(a.body).NotTo(ContainSubstring("numbers"))
	})
}

func TestSameIdempotencyKeyRunsOnce(t *testing.T) {
	inSimulation(t, 1000, func(s *simulation) {
		v := s.addService(1, nil)
		first := s.callNextNumber(withIdempotencyKey("k"))
		second := s.callNextNumber(withIdempotencyKey("k"))
		s.Expect(first.status).To(Equal(http.StatusOK), first.body)
		s.Expect(second.body).To(Equal(first.body))
		s.Expect(v.Truth().Records()).To(HaveLen(1))
		s.Expect(s.control.onlyRecord().Charged).To(Equal(int64(5)))
	})
}

func TestRepeatableCallNeedsNoKey(t *testing.T) {
	inSimulation(t, 1000, func(s *simulation) {
		s.addService(1, nil)
		a := s.call(http.MethodGet, "/services/numbers/series/a", "")
		s.Expect(a.status).To(Equal(http.StatusOK), a.body)
		s.Expect(s.control.onlyRecord().Charged).To(Equal(int64(1)))
	})
}

func TestSettledStreamNotChargedAgain(t *testing.T) {
	inSimulation(t, 10_000, func(s *simulation) {
		s.addEngine(1, nil)
		first := s.callStream(withIdempotencyKey("k"))
		charged := s.control.charged()
		second := s.callStream(withIdempotencyKey("k"))
		s.Expect(first.complete()).To(BeTrue())
		s.Expect(second.complete()).To(BeTrue())
		s.Expect(second.header.Get(announce.HeaderRequestID)).To(Equal(first.header.Get(announce.HeaderRequestID)))
		s.Expect(charged).To(BeNumerically(">", 0))
		s.Expect(s.control.charged()).To(Equal(charged))
	})
}

func TestLastChunkHeldUntilSettled(t *testing.T) {
	inSimulation(t, 10_000, func(s *simulation) {
		s.addEngine(1, nil)
		settling, commit := make(chan struct{}), make(chan struct{})
		s.control.beforeSettle = func() { close(settling); <-commit }
		got := make(chan answer)
		ended := false
		go func() { a := s.callStream(); ended = true; got <- a }()
		<-settling
		time.Sleep(time.Second)
		s.Expect(ended).To(BeFalse())
		close(commit)
		s.Expect((<-got).complete()).To(BeTrue())
	})
}

func TestStreamNotCompletedWithoutSettlement(t *testing.T) {
	inSimulation(t, 10_000, func(s *simulation) {
		s.addEngine(1, nil)
		s.control.beforeSettle = func() { s.control.setUnavailable(true) }
		a := s.callStream()
		s.Expect(a.complete()).To(BeFalse())
		s.Expect(a.body).To(ContainSubstring(`"finish_reason":null`))
		s.Expect(a.body).NotTo(ContainSubstring(`"finish_reason":"`))
		s.Expect(a.body).To(ContainSubstring(`"outcome":"ran"`))
	})
}

func TestStreamCutAtReservation(t *testing.T) {
	inSimulation(t, 10_000, func(s *simulation) {
		e := s.addEngine(1, func(o *fake.EngineOptions) { o.Faults.ExtraTokens = 500 })
		a := s.callStream()
		s.Expect(a.complete()).To(BeTrue())
		s.Expect(a.body).To(ContainSubstring(`"finish_reason":"length"`))
		s.Expect(strings.Fields(a.text())).To(HaveLen(20))
		s.Expect(s.control.charged()).To(BeNumerically("<=", s.control.reserved[s.control.onlyRecord().RequestID]))
		time.Sleep(time.Second)
		records := e.Truth().Records()
		s.Expect(records[len(records)-1].Event).To(Equal(fake.TruthCancelled))
	})
}

func TestDisconnectedCallerChargedForUsage(t *testing.T) {
	inSimulation(t, 10_000, func(s *simulation) {
		e := s.addEngine(1, func(o *fake.EngineOptions) { o.TokenTime = 100 * time.Millisecond })
		ctx, cancel := context.WithTimeout(context.Background(), 450*time.Millisecond)
		defer cancel()
		a := s.callStream(withContext(ctx))
		s.Expect(a.complete()).To(BeFalse())
		time.Sleep(time.Second)
		records := e.Truth().Records()
		last := records[len(records)-1]
		s.Expect(last.Event).To(Equal(fake.TruthCancelled))
		s.Expect(s.control.onlyRecord().State).To(Equal("settled"))
		s.Expect(s.control.onlyRecord().Charged).To(Equal(last.PromptTokens + last.OutputTokens))
		s.Expect(s.handler.InFlightRequests()).To(BeZero())
	})
}

func TestStalledCallerTimesOut(t *testing.T) {
	inSimulation(t, 10_000, func(s *simulation) {
		e := s.addEngine(1, nil)
		body := strings.Replace(streamBody, "{", `{"max_tokens":1000,`, 1)
		req, err := http.NewRequest(http.MethodPost, "http://10.0.0.1:80"+chatPath, strings.NewReader(body))
		s.Expect(err).NotTo(HaveOccurred())
		withBearerKey(callerKey)(req)
		resp, err := s.net.callerClient.Do(req)
		s.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		time.Sleep(2 * writeTimeout)
		s.Expect(s.handler.InFlightRequests()).To(BeZero())
		s.Expect(s.control.onlyRecord().State).To(Equal("settled"))
		s.Expect(s.registry.Snapshot().Entries["engine-1"].InFlight()).To(BeZero())
		s.Expect(e.Truth().Records()).NotTo(BeEmpty())
	})
}

func TestNonRepeatableCallOutlivesCaller(t *testing.T) {
	inSimulation(t, 1000, func(s *simulation) {
		v := s.addService(1, func(o *fake.ServiceOptions) { o.WorkTime = time.Second })
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		s.Expect(s.callNextNumber(withIdempotencyKey("k"), withContext(ctx)).err).To(HaveOccurred())
		time.Sleep(2 * time.Second)
		a := s.callNextNumber(withIdempotencyKey("k"))
		s.Expect(a.status).To(Equal(http.StatusOK))
		s.Expect(v.Truth().Records()).To(HaveLen(1))
	})
}

func TestExactPromptCountAvoidsFalseRefusal(t *testing.T) {
	inSimulation(t, 40, func(s *simulation) {
		s.addEngine(1, nil)
		a := s.callStream()
		s.Expect(a.complete()).To(BeTrue(), a.body)
		s.Expect(s.counter("prompts_tokenized", "")).To(Equal(int64(1)))
		s.Expect(s.control.onlyRecord().Charged).To(BeNumerically("<=", 40))
	})
}

func TestBeginWaitsForReservedBudget(t *testing.T) {
	inSimulation(t, 40, func(s *simulation) {
		s.addEngine(1, func(o *fake.EngineOptions) { o.TokenTime = 20 * time.Millisecond })
		other := controlapi.BeginRequest{
			RequestID: "other", Organisation: "org", Caller: "caller", Budget: "b", Service: "m", BodyHash: "other",
			Repeatable: true, Tokens: 30, Session: "session-1",
		}
		s.execute(&controlapi.Command{Begin: &other})
		go func() {
			time.Sleep(time.Second)
			s.execute(&controlapi.Command{Release: &controlapi.ReleaseRequest{RequestID: "other", Attempt: 1}})
		}()
		s.Expect(s.callStream().complete()).To(BeTrue())
	})
}

func TestUnansweredBeginReleasesReservation(t *testing.T) {
	inSimulation(t, 10_000, func(s *simulation) {
		s.addEngine(1, nil)
		s.control.loseReplyTo = "begin"
		a := s.callStream()
		s.Expect(a.refusal.Kind).To(BeEquivalentTo("control_unavailable"))
		s.Expect(a.refusal.Outcome).To(BeEquivalentTo("not_run"))
		time.Sleep(time.Second)
		s.Expect(s.control.onlyRecord().State).To(Equal("released"))
	})
}
