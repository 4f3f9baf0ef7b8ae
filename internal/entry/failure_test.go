package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/fake"
)

// slowEngine sets an engine to 100 ms per token.
func slowEngine(o *fake.EngineOptions) { o.TokenTime = 100 * time.Millisecond }

// waitFor waits in virtual time until the condition is true.
func (s *simulation) waitFor(condition func() bool) {
	for range 10_000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatal("timed out waiting for the condition")
}

// countEvents counts the records of an event in the logs of fake upstreams.
func countEvents(event fake.TruthEvent, truths ...*fake.GroundTruth) int {
	n := 0
	for _, truth := range truths {
		for _, r := range truth.Records() {
			if r.Event == event {
				n++
			}
		}
	}
	return n
}

func TestForeignAnswerNotDelivered(t *testing.T) {
	for _, body := range []string{streamBody, nonStreamingBody} {
		inSimulation(t, 10_000, func(s *simulation) {
			s.addEngine(1, func(o *fake.EngineOptions) { o.Faults.ForeignID = "another" })
			good := s.addEngine(2, nil)
			for range 8 {
				a := s.call(http.MethodPost, chatPath, body)
				s.Expect(a.status).To(Equal(http.StatusOK), a.body)
				last := good.Truth().Records()
				s.Expect(a.header.Get(announce.HeaderRequestID)).To(Equal(last[len(last)-1].RequestID))
			}
			s.Expect(s.counter("retries", string(reasonForeign))).To(BeNumerically(">", 0))
		})
	}
}

func TestForeignAnswerRecoveredByRequestID(t *testing.T) {
	inSimulation(t, 1000, func(s *simulation) {
		v := s.addService(1, func(o *fake.ServiceOptions) { o.Faults.ForeignID = "another" })
		a := s.callNextNumber(withIdempotencyKey("k"))
		s.Expect(a.status).To(Equal(http.StatusOK), a.body)
		s.Expect(a.body).To(ContainSubstring(`"number":1`))
		s.Expect(v.Truth().Records()).To(HaveLen(1))
	})
}

func TestForeignEventAbortsStream(t *testing.T) {
	inSimulation(t, 10_000, func(s *simulation) {
		s.addHandler("engine-1", "10.0.1.1:80", "m", false, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(announce.HeaderRequestID, r.Header.Get(announce.HeaderRequestID))
			fmt.Fprint(w, "data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"mine\"}}]}\n\n")
			fmt.Fprint(w, "data: {\"id\":\"b\",\"choices\":[{\"delta\":{\"content\":\"foreign\"}}]}\n\n")
			fmt.Fprint(w, "data: [DONE]\n\n")
		})
		a := s.callStream()
		s.Expect(a.text()).To(Equal("mine"))
		s.Expect(a.complete()).To(BeFalse())
		s.Expect(a.body).To(ContainSubstring(string(errkind.UpstreamFailed)))
	})
}

func TestTruncatedStreamNotCompleted(t *testing.T) {
	inSimulation(t, 10_000, func(s *simulation) {
		s.addEngine(1, func(o *fake.EngineOptions) { o.Faults.TruncateAfter = 3 })
		a := s.callStream()
		s.Expect(a.complete()).To(BeFalse())
		s.Expect(strings.Fields(a.text())).To(HaveLen(3))
		s.Expect(a.body).To(ContainSubstring(string(errkind.UpstreamFailed)))
		s.Expect(s.counter("retries", string(reasonResume))).To(BeNumerically(">", 0))
		s.Expect(s.control.onlyRecord().State).To(Equal("settled"))
	})
}

func TestStreamWithoutEndMarkerNotCompleted(t *testing.T) {
	inSimulation(t, 10_000, func(s *simulation) {
		s.addHandler("engine-1", "10.0.1.1:80", "m", false, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(announce.HeaderRequestID, r.Header.Get(announce.HeaderRequestID))
			fmt.Fprint(w, "data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"one\"}}]}\n\n")
		})
		a := s.callStream()
		s.Expect(a.complete()).To(BeFalse())
		s.Expect(a.body).To(ContainSubstring(string(errkind.UpstreamFailed)))
		s.Expect(s.control.onlyRecord().State).To(Equal("settled"))
	})
}

func TestTruncatedAnswerNotDelivered(t *testing.T) {
	inSimulation(t, 10_000, func(s *simulation) {
		s.addHandler("engine-1", "10.0.1.1:80", "m", false, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(announce.HeaderRequestID, r.Header.Get(announce.HeaderRequestID))
			w.Header().Set("Content-Length", "1000")
			fmt.Fprint(w, `{"choices":[{}]}`)
		})
		a := s.call(http.MethodPost, chatPath, nonStreamingBody)
		s.Expect(a.status).NotTo(Equal(http.StatusOK))
		s.Expect(s.control.onlyRecord().Charged).To(BeZero())
	})
}

func TestBrokenStreamResumed(t *testing.T) {
	inSimulation(t, 10_000, func(s *simulation) {
		e := s.addEngine(1, slowEngine)
		got := make(chan answer)
		go func() { got <- s.callStream() }()
		s.waitFor(func() bool { return countEvents(fake.TruthStarted, e.Truth()) == 1 })
		time.Sleep(500 * time.Millisecond)
		s.net.Reset("10.0.1.1:80")
		a := <-got
		s.Expect(a.complete()).To(BeTrue(), a.body)
		last := e.Truth().Records()[1]
		s.Expect(last.Event).To(Equal(fake.TruthFinished))
		s.Expect(strings.Fields(a.text())).To(HaveLen(int(last.OutputTokens)))
		s.Expect(s.control.charged()).To(Equal(last.PromptTokens + last.OutputTokens))
		s.Expect(s.control.committedCount("crash")).To(BeZero())
	})
}

func TestRefusedConnectionRetriedElsewhere(t *testing.T) {
	inSimulation(t, 10_000, func(s *simulation) {
		killed := s.addService(1, nil)
		alive := s.addService(2, nil)
		s.net.kill("10.0.2.1:80")
		for i := range 8 {
			a := s.callNextNumber(withIdempotencyKey(fmt.Sprint(i)))
			s.Expect(a.status).To(Equal(http.StatusOK), a.body)
			s.registry.Apply(killed.Announcement(), time.Now())
		}
		s.Expect(alive.Truth().Records()).To(HaveLen(8))
		s.Expect(s.counter("retries", string(reasonNotSent))).To(BeNumerically(">", 0))
		s.Expect(s.control.charged()).To(Equal(int64(8 * 5)))
	})
}

func TestLostAnswerRecoveredByRequestID(t *testing.T) {
	inSimulation(t, 1000, func(s *simulation) {
		v := s.addService(1, func(o *fake.ServiceOptions) { o.Faults.DropAnswers = true })
		a := s.callNextNumber(withIdempotencyKey("k"))
		s.Expect(a.status).To(Equal(http.StatusOK), a.body)
		s.Expect(v.Truth().Records()).To(HaveLen(1))
		s.Expect(s.control.charged()).To(Equal(int64(5)))
	})
}

func TestUndeliveredCallRunsElsewhere(t *testing.T) {
	inSimulation(t, 1000, func(s *simulation) {
		refusing := s.addService(1, func(o *fake.ServiceOptions) { o.Faults.Refuse = true })
		good := s.addService(2, nil)
		for i := range 6 {
			a := s.callNextNumber(withIdempotencyKey(fmt.Sprint(i)))
			s.Expect(a.status).To(Equal(http.StatusOK), a.body)
			s.registry.Apply(refusing.Announcement(), time.Now())
		}
		s.Expect(refusing.Truth().Records()).To(BeEmpty())
		s.Expect(good.Truth().Records()).To(HaveLen(6))
	})
}

func TestCallNotRerunAfterUpstreamRestart(t *testing.T) {
	inSimulation(t, 1000, func(s *simulation) {
		v := s.addService(1, func(o *fake.ServiceOptions) { o.AnswerTime = 50 * time.Second })
		got := make(chan answer)
		go func() { got <- s.callNextNumber(withIdempotencyKey("k")) }()
		s.waitFor(func() bool { return countEvents(fake.TruthRan, v.Truth()) == 1 })
		v.Crash()
		s.net.Reset("10.0.2.1:80")
		a := <-got
		s.Expect(a.refusal.Kind).To(Equal(errkind.OutcomeUnknown), a.body)
		s.Expect(a.refusal.Outcome).To(Equal(errkind.Unknown))
		s.Expect(s.control.onlyRecord().State).To(Equal("unknown"))
		s.Expect(s.callNextNumber(withIdempotencyKey("k")).refusal.Kind).To(Equal(errkind.OutcomeUnknown))
		s.Expect(v.Truth().Records()).To(HaveLen(1))
	})
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	inSimulation(t, 1_000_000, func(s *simulation) {
		dispatches := 0
		s.addHandler("engine-1", "10.0.1.1:80", "m", false, func(w http.ResponseWriter, _ *http.Request) {
			dispatches++
			http.Error(w, "broken", http.StatusInternalServerError)
		})
		const requests = 100
		for range requests {
			s.Expect(s.callStream().refusal.Kind).To(Equal(errkind.UpstreamFailed))
		}
		s.Expect(dispatches).To(BeNumerically("<=", requests+retryBurst+requests*retryRatio))
		s.Expect(s.counter("retry_budget_exhausted", "")).To(BeNumerically(">", 0))
	})
}

// endSession ends a host's session, as the expiry of its lease does.
func (s *simulation) endSession(session string) {
	s.execute(&controlapi.Command{EndSession: &controlapi.EndSession{Session: session}})
}

func TestStreamTakenOverFromCrashedHost(t *testing.T) {
	inSimulation(t, 10_000, func(s *simulation) {
		e := s.addEngine(1, slowEngine)
		s.addHost("10.0.0.2:80", "session-2")
		go s.callStream(withIdempotencyKey("k"))
		s.waitFor(func() bool { return countEvents(fake.TruthStarted, e.Truth()) == 1 })
		time.Sleep(500 * time.Millisecond)
		s.killHost["10.0.0.1:80"]()
		s.endSession("session-1")
		a := s.callStream(withIdempotencyKey("k"), toHost("10.0.0.2:80"))
		s.Expect(a.complete()).To(BeTrue(), a.body)
		s.Expect(s.control.onlyRecord().State).To(Equal("settled"))
		s.Expect(s.counter("retries", string(reasonTakeover))).To(Equal(int64(1)))
	})
}

func TestCallTakenOverFromCrashedHostRunsOnce(t *testing.T) {
	tests := map[string]struct {
		change   func(*fake.ServiceOptions)
		during   func(s *simulation, v *fake.Service)
		ran      int
		refusal  errkind.Kind
		recorded string
	}{
		"done": {
			change: func(o *fake.ServiceOptions) { o.AnswerTime = 50 * time.Second }, ran: 1, recorded: "settled",
		},
		"still running": {
			change: func(o *fake.ServiceOptions) { o.WorkTime = time.Second }, ran: 1, recorded: "settled",
		},
		"never arrived": {
			change: func(o *fake.ServiceOptions) { o.Faults.Refuse = true },
			during: func(_ *simulation, v *fake.Service) { v.SetFaults(fake.Faults{}) },
			ran:    0, refusal: errkind.NoUpstream, recorded: "released",
		},
		"restarted meanwhile": {
			change: func(o *fake.ServiceOptions) { o.AnswerTime = 50 * time.Second },
			during: func(_ *simulation, v *fake.Service) { v.Crash() },
			ran:    1, refusal: errkind.OutcomeUnknown, recorded: "unknown",
		},
		"unreachable": {
			change: func(o *fake.ServiceOptions) { o.AnswerTime = 50 * time.Second },
			during: func(s *simulation, _ *fake.Service) { s.net.kill("10.0.2.1:80") },
			ran:    1, refusal: errkind.OutcomeUnknown, recorded: "open",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inSimulation(t, 1000, func(s *simulation) {
				v := s.addService(1, test.change)
				s.addHost("10.0.0.2:80", "session-2")
				s.beginOnCrashedHost("k", v)
				if test.during != nil {
					test.during(s, v)
				}
				s.endSession("session-1")
				a := s.callNextNumber(withIdempotencyKey("k"), toHost("10.0.0.2:80"))
				s.Expect(a.refusal.Kind).To(Equal(test.refusal), a.body)
				s.Expect(countEvents(fake.TruthRan, v.Truth())).To(Equal(test.ran))
				s.Expect(s.control.onlyRecord().State).To(Equal(test.recorded))
			})
		})
	}
}

// beginOnCrashedHost reproduces what a host did for a call before it crashed: it opens
// the record and sends the call, and discards the answer.
func (s *simulation) beginOnCrashedHost(k string, v *fake.Service) {
	id := controlapi.RequestIDFor("caller", k)
	const path = "/series/a/next"
	s.execute(&controlapi.Command{Begin: &controlapi.BeginRequest{
		RequestID: id, Organisation: "org", Caller: "caller", Budget: "b", Service: "numbers", Tokens: 5, Session: "session-1",
		BodyHash: controlapi.BodyHash("numbers", "POST "+path, []byte("{}")), Upstream: "service-1", UpstreamIncarnation: 1,
	}})
	go func() {
		req, _ := http.NewRequest(http.MethodPost, "http://10.0.2.1:80"+path, strings.NewReader("{}"))
		req.Header.Set(announce.HeaderRequestID, id)
		if resp, err := s.net.callerClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	time.Sleep(100 * time.Millisecond)
}

func TestPartialRequestCompletedForRemainingCharge(t *testing.T) {
	inSimulation(t, 10_000, func(s *simulation) {
		e := s.addEngine(1, slowEngine)
		for _, timeout := range []time.Duration{350 * time.Millisecond, 650 * time.Millisecond} {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			s.Expect(s.callStream(withIdempotencyKey("k"), withContext(ctx)).complete()).To(BeFalse())
			cancel()
			time.Sleep(time.Second)
		}
		s.Expect(s.control.charged()).To(BeNumerically(">", 0))
		a := s.callStream(withIdempotencyKey("k"))
		s.Expect(a.complete()).To(BeTrue(), a.body)
		records := e.Truth().Records()
		last := records[len(records)-1]
		s.Expect(last.Event).To(Equal(fake.TruthFinished))
		s.Expect(s.control.charged()).To(Equal(last.PromptTokens+last.OutputTokens), "one complete run is charged once")
		s.Expect(s.callStream(withIdempotencyKey("k")).complete()).To(BeTrue())
		s.Expect(s.control.charged()).To(Equal(last.PromptTokens + last.OutputTokens))
	})
}

// spendBudget charges tokens to the budget under a record of its own.
func (s *simulation) spendBudget(tokens int64) {
	s.execute(&controlapi.Command{Begin: &controlapi.BeginRequest{
		RequestID: "spent", Organisation: "org", Caller: "caller", Budget: "b", Service: "m", BodyHash: "spent",
		Repeatable: true, Tokens: tokens, Session: "session-1",
	}})
	s.execute(&controlapi.Command{Settle: &controlapi.SettleRequest{RequestID: "spent", Attempt: 1, Tokens: tokens}})
}

func TestReleasedRequestReportsUnknownOutcome(t *testing.T) {
	inSimulation(t, 10_000, func(s *simulation) {
		status := http.StatusInternalServerError
		s.addHandler("engine-1", "10.0.1.1:80", "m", false, func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "no", status)
		})
		first := s.callStream(withIdempotencyKey("k"))
		s.Expect(first.refusal.Outcome).To(Equal(errkind.Unknown))
		s.Expect(s.control.onlyRecord().State).To(Equal("released"))
		status = http.StatusServiceUnavailable
		refused := s.callStream(withIdempotencyKey("k"))
		s.Expect(refused.refusal.Kind).To(Equal(errkind.UpstreamRefused), refused.body)
		s.Expect(refused.refusal.Outcome).To(Equal(errkind.Unknown), "the first request may have run")
		s.spendBudget(9_990)
		exhausted := s.callStream(withIdempotencyKey("k"))
		s.Expect(exhausted.refusal.Kind).To(Equal(errkind.BudgetExhausted))
		s.Expect(exhausted.refusal.Outcome).To(Equal(errkind.Unknown))
		s.draining = true
		s.Expect(s.callStream(withIdempotencyKey("k")).refusal.Outcome).To(Equal(errkind.Unknown))
		s.Expect(s.callStream(withIdempotencyKey("new")).refusal.Outcome).To(Equal(errkind.NotRun))
	})
}
