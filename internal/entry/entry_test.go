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

func TestStreamIsDeliveredWholeAndBilledAsTheEngineCounts(t *testing.T) {
	inSite(t, 10_000, func(s *site) {
		e := s.addEngine(1, nil)
		a := s.stream()
		s.Expect(a.status).To(Equal(http.StatusOK), a.body)
		s.Expect(a.whole()).To(BeTrue(), a.body)
		ran := e.Truth().Records()
		last := ran[len(ran)-1]
		s.Expect(last.Event).To(Equal(fake.TruthFinished))
		s.Expect(s.control.only().Charged).To(Equal(last.PromptTokens + last.OutputTokens))
		s.Expect(a.header.Get(announce.HeaderRequestID)).To(Equal(last.RequestID))
		s.Expect(a.body).NotTo(ContainSubstring(`"usage"`), "the caller did not ask for it")
	})
}

func TestWholeAnswerIsDeliveredAndBilled(t *testing.T) {
	inSite(t, 10_000, func(s *site) {
		e := s.addEngine(1, nil)
		a := s.call(http.MethodPost, chatPath, wholeBody)
		s.Expect(a.status).To(Equal(http.StatusOK), a.body)
		s.Expect(a.body).To(ContainSubstring(`"chat.completion"`))
		last := e.Truth().Records()[1]
		s.Expect(s.control.only().Charged).To(Equal(last.PromptTokens + last.OutputTokens))
	})
}

func TestModelsListsWhatPolicyAllows(t *testing.T) {
	inSite(t, 0, func(s *site) {
		a := s.call(http.MethodGet, "/v1/models", "")
		s.Expect(a.status).To(Equal(http.StatusOK))
		s.Expect(a.body).To(ContainSubstring(`"id":"m"`))
		s.Expect(a.body).NotTo(ContainSubstring("hidden"))
		s.Expect(a.body).NotTo(ContainSubstring("numbers"))
	})
}

func TestCallWithTheSameKeyRunsOnce(t *testing.T) {
	inSite(t, 1000, func(s *site) {
		v := s.addService(1, nil)
		first := s.nextNumber(key("k"))
		second := s.nextNumber(key("k"))
		s.Expect(first.status).To(Equal(http.StatusOK), first.body)
		s.Expect(second.body).To(Equal(first.body))
		s.Expect(v.Truth().Records()).To(HaveLen(1))
		s.Expect(s.control.only().Charged).To(Equal(int64(5)))
	})
}

func TestRepeatableCallNeedsNoKey(t *testing.T) {
	inSite(t, 1000, func(s *site) {
		s.addService(1, nil)
		a := s.call(http.MethodGet, "/services/numbers/series/a", "")
		s.Expect(a.status).To(Equal(http.StatusOK), a.body)
		s.Expect(s.control.only().Charged).To(Equal(int64(1)))
	})
}

func TestRetryOfASettledStreamIsNotChargedAgain(t *testing.T) {
	inSite(t, 10_000, func(s *site) {
		s.addEngine(1, nil)
		first := s.stream(key("k"))
		charged := s.control.charged()
		second := s.stream(key("k"))
		s.Expect(first.whole()).To(BeTrue())
		s.Expect(second.whole()).To(BeTrue())
		s.Expect(second.header.Get(announce.HeaderRequestID)).To(Equal(first.header.Get(announce.HeaderRequestID)))
		s.Expect(charged).To(BeNumerically(">", 0))
		s.Expect(s.control.charged()).To(Equal(charged))
	})
}

func TestLastChunkIsHeldUntilTheChargeIsCommitted(t *testing.T) {
	inSite(t, 10_000, func(s *site) {
		s.addEngine(1, nil)
		settling, commit := make(chan struct{}), make(chan struct{})
		s.control.onSettle = func() { close(settling); <-commit }
		got := make(chan answer)
		ended := false
		go func() { a := s.stream(); ended = true; got <- a }()
		<-settling
		time.Sleep(time.Second)
		s.Expect(ended).To(BeFalse())
		close(commit)
		s.Expect((<-got).whole()).To(BeTrue())
	})
}

func TestStreamIsNotCompletedWithoutItsCharge(t *testing.T) {
	inSite(t, 10_000, func(s *site) {
		s.addEngine(1, nil)
		s.control.onSettle = func() { s.control.setDown(true) }
		a := s.stream()
		s.Expect(a.whole()).To(BeFalse())
		s.Expect(a.body).To(ContainSubstring(`"finish_reason":null`))
		s.Expect(a.body).NotTo(ContainSubstring(`"finish_reason":"`))
		s.Expect(a.body).To(ContainSubstring(`"outcome":"ran"`))
	})
}

func TestStreamIsCutAtItsReservation(t *testing.T) {
	inSite(t, 10_000, func(s *site) {
		e := s.addEngine(1, func(o *fake.EngineOptions) { o.Faults.ExtraTokens = 500 })
		a := s.stream()
		s.Expect(a.whole()).To(BeTrue())
		s.Expect(a.body).To(ContainSubstring(`"finish_reason":"length"`))
		s.Expect(strings.Fields(a.text())).To(HaveLen(20))
		s.Expect(s.control.charged()).To(BeNumerically("<=", s.control.reserved[s.control.only().RequestID]))
		time.Sleep(time.Second)
		records := e.Truth().Records()
		s.Expect(records[len(records)-1].Event).To(Equal(fake.TruthCancelled))
	})
}

func TestCallerThatLeavesPaysWhatWasUsed(t *testing.T) {
	inSite(t, 10_000, func(s *site) {
		e := s.addEngine(1, func(o *fake.EngineOptions) { o.TokenTime = 100 * time.Millisecond })
		ctx, cancel := context.WithTimeout(context.Background(), 450*time.Millisecond)
		defer cancel()
		a := s.stream(within(ctx))
		s.Expect(a.whole()).To(BeFalse())
		time.Sleep(time.Second)
		records := e.Truth().Records()
		last := records[len(records)-1]
		s.Expect(last.Event).To(Equal(fake.TruthCancelled))
		s.Expect(s.control.only().State).To(Equal("settled"))
		s.Expect(s.control.only().Charged).To(Equal(last.PromptTokens + last.OutputTokens))
		s.Expect(s.host.OpenRequests()).To(BeZero())
	})
}

func TestCallerThatDoesNotReadIsGivenUp(t *testing.T) {
	inSite(t, 10_000, func(s *site) {
		e := s.addEngine(1, nil)
		body := strings.Replace(streamBody, "{", `{"max_tokens":1000,`, 1)
		req, err := http.NewRequest(http.MethodPost, "http://10.0.0.1:80"+chatPath, strings.NewReader(body))
		s.Expect(err).NotTo(HaveOccurred())
		bearer(callerKey)(req)
		resp, err := s.net.client.Do(req)
		s.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		time.Sleep(2 * writeTimeout)
		s.Expect(s.host.OpenRequests()).To(BeZero())
		s.Expect(s.control.only().State).To(Equal("settled"))
		s.Expect(s.registry.Snapshot().Entries["engine-1"].InFlight()).To(BeZero())
		s.Expect(e.Truth().Records()).NotTo(BeEmpty())
	})
}

func TestCallThatMayNotBeRepeatedOutlivesItsCaller(t *testing.T) {
	inSite(t, 1000, func(s *site) {
		v := s.addService(1, func(o *fake.ServiceOptions) { o.WorkTime = time.Second })
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		s.Expect(s.nextNumber(key("k"), within(ctx)).err).To(HaveOccurred())
		time.Sleep(2 * time.Second)
		a := s.nextNumber(key("k"))
		s.Expect(a.status).To(Equal(http.StatusOK))
		s.Expect(v.Truth().Records()).To(HaveLen(1))
	})
}

func TestExactPromptCountServesWhatTheLooseBoundWouldRefuse(t *testing.T) {
	inSite(t, 40, func(s *site) {
		s.addEngine(1, nil)
		a := s.stream()
		s.Expect(a.whole()).To(BeTrue(), a.body)
		s.Expect(s.counter("prompts_tokenized", "")).To(Equal(int64(1)))
		s.Expect(s.control.only().Charged).To(BeNumerically("<=", 40))
	})
}

func TestReservedBudgetIsWaitedFor(t *testing.T) {
	inSite(t, 40, func(s *site) {
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
		s.Expect(s.stream().whole()).To(BeTrue())
	})
}

func TestCancelledBeginFreesItsReservation(t *testing.T) {
	inSite(t, 10_000, func(s *site) {
		s.addEngine(1, nil)
		s.control.loseAnswer = "begin"
		a := s.stream()
		s.Expect(a.refusal.Kind).To(BeEquivalentTo("control_unavailable"))
		s.Expect(a.refusal.Outcome).To(BeEquivalentTo("not_run"))
		time.Sleep(time.Second)
		s.Expect(s.control.only().State).To(Equal("released"))
	})
}
