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

// slow makes an engine take 100 ms per token.
func slow(o *fake.EngineOptions) { o.TokenTime = 100 * time.Millisecond }

// waitFor waits in virtual time until a condition holds.
func (s *site) waitFor(condition func() bool) {
	for range 10_000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatal("the condition did not come to hold")
}

// finished counts the events of a kind in the ground truth.
func finished(event fake.TruthEvent, truths ...*fake.Truth) int {
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

func TestForeignAnswerIsNotDelivered(t *testing.T) {
	for _, body := range []string{streamBody, wholeBody} {
		inSite(t, 10_000, func(s *site) {
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

func TestForeignAnswerOfACallIsAskedForAgain(t *testing.T) {
	inSite(t, 1000, func(s *site) {
		v := s.addService(1, func(o *fake.ServiceOptions) { o.Faults.ForeignID = "another" })
		a := s.nextNumber(key("k"))
		s.Expect(a.status).To(Equal(http.StatusOK), a.body)
		s.Expect(a.body).To(ContainSubstring(`"number":1`))
		s.Expect(v.Truth().Records()).To(HaveLen(1))
	})
}

func TestEventOfAnotherAnswerBreaksTheStreamOff(t *testing.T) {
	inSite(t, 10_000, func(s *site) {
		s.addFunc("engine-1", "10.0.1.1:80", "m", false, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(announce.HeaderRequestID, r.Header.Get(announce.HeaderRequestID))
			fmt.Fprint(w, "data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"mine\"}}]}\n\n")
			fmt.Fprint(w, "data: {\"id\":\"b\",\"choices\":[{\"delta\":{\"content\":\"foreign\"}}]}\n\n")
			fmt.Fprint(w, "data: [DONE]\n\n")
		})
		a := s.stream()
		s.Expect(a.text()).To(Equal("mine"))
		s.Expect(a.whole()).To(BeFalse())
		s.Expect(a.body).To(ContainSubstring(string(errkind.UpstreamFailed)))
	})
}

func TestTruncatedStreamIsNeverWhole(t *testing.T) {
	inSite(t, 10_000, func(s *site) {
		s.addEngine(1, func(o *fake.EngineOptions) { o.Faults.TruncateAfter = 3 })
		a := s.stream()
		s.Expect(a.whole()).To(BeFalse())
		s.Expect(strings.Fields(a.text())).To(HaveLen(3))
		s.Expect(a.body).To(ContainSubstring(string(errkind.UpstreamFailed)))
		s.Expect(s.counter("retries", string(reasonResume))).To(BeNumerically(">", 0))
		s.Expect(s.control.only().State).To(Equal("settled"))
	})
}

func TestStreamThatEndsWithoutItsMarkerIsNeverWhole(t *testing.T) {
	inSite(t, 10_000, func(s *site) {
		s.addFunc("engine-1", "10.0.1.1:80", "m", false, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(announce.HeaderRequestID, r.Header.Get(announce.HeaderRequestID))
			fmt.Fprint(w, "data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"one\"}}]}\n\n")
		})
		a := s.stream()
		s.Expect(a.whole()).To(BeFalse())
		s.Expect(a.body).To(ContainSubstring(string(errkind.UpstreamFailed)))
		s.Expect(s.control.only().State).To(Equal("settled"))
	})
}

func TestTruncatedWholeAnswerIsNotDelivered(t *testing.T) {
	inSite(t, 10_000, func(s *site) {
		s.addFunc("engine-1", "10.0.1.1:80", "m", false, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(announce.HeaderRequestID, r.Header.Get(announce.HeaderRequestID))
			w.Header().Set("Content-Length", "1000")
			fmt.Fprint(w, `{"choices":[{}]}`)
		})
		a := s.call(http.MethodPost, chatPath, wholeBody)
		s.Expect(a.status).NotTo(Equal(http.StatusOK))
		s.Expect(s.control.only().Charged).To(BeZero())
	})
}

func TestBrokenConnectionIsResumedInTheMiddle(t *testing.T) {
	inSite(t, 10_000, func(s *site) {
		e := s.addEngine(1, slow)
		got := make(chan answer)
		go func() { got <- s.stream() }()
		s.waitFor(func() bool { return finished(fake.TruthStarted, e.Truth()) == 1 })
		time.Sleep(500 * time.Millisecond)
		s.net.Reset("10.0.1.1:80")
		a := <-got
		s.Expect(a.whole()).To(BeTrue(), a.body)
		last := e.Truth().Records()[1]
		s.Expect(last.Event).To(Equal(fake.TruthFinished))
		s.Expect(strings.Fields(a.text())).To(HaveLen(int(last.OutputTokens)))
		s.Expect(s.control.charged()).To(Equal(last.PromptTokens + last.OutputTokens))
		s.Expect(s.control.count("crash")).To(BeZero())
	})
}

func TestRefusedConnectionGoesToAnotherUpstream(t *testing.T) {
	inSite(t, 10_000, func(s *site) {
		dead := s.addService(1, nil)
		alive := s.addService(2, nil)
		s.net.kill("10.0.2.1:80")
		for i := range 8 {
			a := s.nextNumber(key(fmt.Sprint(i)))
			s.Expect(a.status).To(Equal(http.StatusOK), a.body)
			s.registry.Apply(dead.Announcement(), time.Now())
		}
		s.Expect(alive.Truth().Records()).To(HaveLen(8))
		s.Expect(s.counter("retries", string(reasonNotSent))).To(BeNumerically(">", 0))
		s.Expect(s.control.charged()).To(Equal(int64(8 * 5)))
	})
}

func TestLostAnswerOfACallIsAskedForById(t *testing.T) {
	inSite(t, 1000, func(s *site) {
		v := s.addService(1, func(o *fake.ServiceOptions) { o.Faults.DropAnswers = true })
		a := s.nextNumber(key("k"))
		s.Expect(a.status).To(Equal(http.StatusOK), a.body)
		s.Expect(v.Truth().Records()).To(HaveLen(1))
		s.Expect(s.control.charged()).To(Equal(int64(5)))
	})
}

func TestCallThatNeverArrivedRunsElsewhere(t *testing.T) {
	inSite(t, 1000, func(s *site) {
		refusing := s.addService(1, func(o *fake.ServiceOptions) { o.Faults.Refuse = true })
		good := s.addService(2, nil)
		for i := range 6 {
			a := s.nextNumber(key(fmt.Sprint(i)))
			s.Expect(a.status).To(Equal(http.StatusOK), a.body)
			s.registry.Apply(refusing.Announcement(), time.Now())
		}
		s.Expect(refusing.Truth().Records()).To(BeEmpty())
		s.Expect(good.Truth().Records()).To(HaveLen(6))
	})
}

func TestCallIsNotRunAgainAfterARestartForgotIt(t *testing.T) {
	inSite(t, 1000, func(s *site) {
		v := s.addService(1, func(o *fake.ServiceOptions) { o.AnswerTime = 50 * time.Second })
		got := make(chan answer)
		go func() { got <- s.nextNumber(key("k")) }()
		s.waitFor(func() bool { return finished(fake.TruthRan, v.Truth()) == 1 })
		v.Crash()
		s.net.Reset("10.0.2.1:80")
		a := <-got
		s.Expect(a.refusal.Kind).To(Equal(errkind.OutcomeUnknown), a.body)
		s.Expect(a.refusal.Outcome).To(Equal(errkind.Unknown))
		s.Expect(s.control.only().State).To(Equal("unknown"))
		s.Expect(s.nextNumber(key("k")).refusal.Kind).To(Equal(errkind.OutcomeUnknown))
		s.Expect(v.Truth().Records()).To(HaveLen(1))
	})
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	inSite(t, 1_000_000, func(s *site) {
		tries := 0
		s.addFunc("engine-1", "10.0.1.1:80", "m", false, func(w http.ResponseWriter, _ *http.Request) {
			tries++
			http.Error(w, "broken", http.StatusInternalServerError)
		})
		const requests = 100
		for range requests {
			s.Expect(s.stream().refusal.Kind).To(Equal(errkind.UpstreamFailed))
		}
		s.Expect(tries).To(BeNumerically("<=", requests+retryBurst+requests*retryShare))
		s.Expect(s.counter("retry_budget_exhausted", "")).To(BeNumerically(">", 0))
	})
}

// endSession ends a host's session, as when its lease lapsed.
func (s *site) endSession(session string) {
	s.execute(&controlapi.Command{EndSession: &controlapi.EndSession{Session: session}})
}

func TestStreamOfALostHostIsResumedByAnother(t *testing.T) {
	inSite(t, 10_000, func(s *site) {
		e := s.addEngine(1, slow)
		s.addHost("10.0.0.2:80", "session-2")
		go s.stream(key("k"))
		s.waitFor(func() bool { return finished(fake.TruthStarted, e.Truth()) == 1 })
		time.Sleep(500 * time.Millisecond)
		s.lost["10.0.0.1:80"]()
		s.endSession("session-1")
		a := s.stream(key("k"), via("10.0.0.2:80"))
		s.Expect(a.whole()).To(BeTrue(), a.body)
		s.Expect(s.control.only().State).To(Equal("settled"))
		s.Expect(s.counter("retries", string(reasonTakeover))).To(Equal(int64(1)))
	})
}

func TestCallOfALostHostIsTakenOverAndRunsOnce(t *testing.T) {
	tests := map[string]struct {
		change   func(*fake.ServiceOptions)
		during   func(s *site, v *fake.Service)
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
			during: func(_ *site, v *fake.Service) { v.SetFaults(fake.Faults{}) },
			ran:    0, refusal: errkind.NoUpstream, recorded: "released",
		},
		"restarted meanwhile": {
			change: func(o *fake.ServiceOptions) { o.AnswerTime = 50 * time.Second },
			during: func(_ *site, v *fake.Service) { v.Crash() },
			ran:    1, refusal: errkind.OutcomeUnknown, recorded: "unknown",
		},
		"unreachable": {
			change: func(o *fake.ServiceOptions) { o.AnswerTime = 50 * time.Second },
			during: func(s *site, _ *fake.Service) { s.net.kill("10.0.2.1:80") },
			ran:    1, refusal: errkind.OutcomeUnknown, recorded: "open",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inSite(t, 1000, func(s *site) {
				v := s.addService(1, test.change)
				s.addHost("10.0.0.2:80", "session-2")
				s.begunElsewhere("k", v)
				if test.during != nil {
					test.during(s, v)
				}
				s.endSession("session-1")
				a := s.nextNumber(key("k"), via("10.0.0.2:80"))
				s.Expect(a.refusal.Kind).To(Equal(test.refusal), a.body)
				s.Expect(finished(fake.TruthRan, v.Truth())).To(Equal(test.ran))
				s.Expect(s.control.only().State).To(Equal(test.recorded))
			})
		})
	}
}

// begunElsewhere does what a host did for a call before it was lost: it opened
// the record and sent the call, whose answer nobody reads.
func (s *site) begunElsewhere(k string, v *fake.Service) {
	id := controlapi.RequestIDFor("caller", k)
	const path = "/series/a/next"
	s.execute(&controlapi.Command{Begin: &controlapi.BeginRequest{
		RequestID: id, Organisation: "org", Caller: "caller", Budget: "b", Service: "numbers", Tokens: 5, Session: "session-1",
		BodyHash: controlapi.BodyHash("numbers", "POST "+path, []byte("{}")), Upstream: "service-1", UpstreamIncarnation: 1,
	}})
	go func() {
		req, _ := http.NewRequest(http.MethodPost, "http://10.0.2.1:80"+path, strings.NewReader("{}"))
		req.Header.Set(announce.HeaderRequestID, id)
		if resp, err := s.net.client.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	time.Sleep(100 * time.Millisecond)
}

func TestCutOffRequestIsCompletedForTheRestOfItsPrice(t *testing.T) {
	inSite(t, 10_000, func(s *site) {
		e := s.addEngine(1, slow)
		for _, patience := range []time.Duration{350 * time.Millisecond, 650 * time.Millisecond} {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			s.Expect(s.stream(key("k"), within(ctx)).whole()).To(BeFalse())
			cancel()
			time.Sleep(time.Second)
		}
		s.Expect(s.control.charged()).To(BeNumerically(">", 0))
		a := s.stream(key("k"))
		s.Expect(a.whole()).To(BeTrue(), a.body)
		records := e.Truth().Records()
		last := records[len(records)-1]
		s.Expect(last.Event).To(Equal(fake.TruthFinished))
		s.Expect(s.control.charged()).To(Equal(last.PromptTokens+last.OutputTokens), "once, as a whole")
		s.Expect(s.stream(key("k")).whole()).To(BeTrue())
		s.Expect(s.control.charged()).To(Equal(last.PromptTokens + last.OutputTokens))
	})
}

// spend charges tokens to the budget.
func (s *site) spend(tokens int64) {
	s.execute(&controlapi.Command{Begin: &controlapi.BeginRequest{
		RequestID: "spent", Organisation: "org", Caller: "caller", Budget: "b", Service: "m", BodyHash: "spent",
		Repeatable: true, Tokens: tokens, Session: "session-1",
	}})
	s.execute(&controlapi.Command{Settle: &controlapi.SettleRequest{RequestID: "spent", Attempt: 1, Tokens: tokens}})
}

func TestReleasedRequestThatRanIsNotSaidNotToHaveRun(t *testing.T) {
	inSite(t, 10_000, func(s *site) {
		status := http.StatusInternalServerError
		s.addFunc("engine-1", "10.0.1.1:80", "m", false, func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "no", status)
		})
		first := s.stream(key("k"))
		s.Expect(first.refusal.Outcome).To(Equal(errkind.Unknown))
		s.Expect(s.control.only().State).To(Equal("released"))
		status = http.StatusServiceUnavailable
		refused := s.stream(key("k"))
		s.Expect(refused.refusal.Kind).To(Equal(errkind.UpstreamRefused), refused.body)
		s.Expect(refused.refusal.Outcome).To(Equal(errkind.Unknown), "the first try may have run")
		s.spend(9_990)
		poor := s.stream(key("k"))
		s.Expect(poor.refusal.Kind).To(Equal(errkind.BudgetExhausted))
		s.Expect(poor.refusal.Outcome).To(Equal(errkind.Unknown))
		s.draining = true
		s.Expect(s.stream(key("k")).refusal.Outcome).To(Equal(errkind.Unknown))
		s.Expect(s.stream(key("new")).refusal.Outcome).To(Equal(errkind.NotRun))
	})
}
