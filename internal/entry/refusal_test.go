package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/fake"
)

func TestRefusalKindsAndCounters(t *testing.T) {
	tests := map[string]struct {
		kind         errkind.Kind
		outcome      errkind.Outcome
		budgetTokens int64
		prepare      func(s *simulation)
		call         func(s *simulation) answer
	}{
		"no key": {errkind.Unauthenticated, errkind.NotRun, 0, nil, func(s *simulation) answer {
			return s.callStream(func(r *http.Request) { r.Header.Del("Authorization") })
		}},
		"unknown key": {errkind.Unauthenticated, errkind.NotRun, 0, nil, func(s *simulation) answer {
			return s.callStream(withBearerKey("another key"))
		}},
		"body that is no chat request": {errkind.InvalidRequest, errkind.NotRun, 0, nil, func(s *simulation) answer {
			return s.call(http.MethodPost, chatPath, `{"model":1}`)
		}},
		"second model in another spelling": {errkind.InvalidRequest, errkind.NotRun, 0, nil, func(s *simulation) answer {
			return s.call(http.MethodPost, chatPath, strings.Replace(nonStreamingBody, `"model":"m"`, `"model":"hidden","Model":"m"`, 1))
		}},
		"output limit of nothing": {errkind.InvalidRequest, errkind.NotRun, 0, nil, func(s *simulation) answer {
			return s.call(http.MethodPost, chatPath, strings.Replace(nonStreamingBody, "{", `{"max_tokens":0,`, 1))
		}},
		"long idempotency key": {errkind.InvalidRequest, errkind.NotRun, 0, nil, func(s *simulation) answer {
			return s.callStream(withIdempotencyKey(strings.Repeat("k", defaultKeyBytes+1)))
		}},
		"large header": {errkind.InvalidRequest, errkind.NotRun, 0, nil, func(s *simulation) answer {
			return s.callStream(func(r *http.Request) { r.Header.Set("X-Large", strings.Repeat("x", defaultHeaderBytes)) })
		}},
		"path with an escaped slash": {errkind.InvalidRequest, errkind.NotRun, 0, nil, func(s *simulation) answer {
			return s.call(http.MethodPost, "/services/numbers/series/a%2Fb/next", "{}", withIdempotencyKey("k"))
		}},
		"large body": {errkind.BodyTooLarge, errkind.NotRun, 0, nil, func(s *simulation) answer {
			return s.call(http.MethodPost, chatPath, strings.Repeat("x", defaultBodyBytes+1))
		}},
		"unknown path":   {errkind.NotFound, errkind.NotRun, 0, nil, func(s *simulation) answer { return s.call(http.MethodGet, "/nothing", "") }},
		"unknown method": {errkind.NotFound, errkind.NotRun, 0, nil, func(s *simulation) answer { return s.call(http.MethodPut, "/services/numbers/series/a", "") }},
		"service without a policy": {errkind.Forbidden, errkind.NotRun, 0, nil, func(s *simulation) answer {
			return s.call(http.MethodPost, chatPath, strings.Replace(nonStreamingBody, `"m"`, `"hidden"`, 1))
		}},
		"call without a key": {errkind.KeyRequired, errkind.NotRun, 0, nil, func(s *simulation) answer { return s.callNextNumber() }},
		"key of another body": {errkind.KeyReused, errkind.NotRun, 100, func(s *simulation) {
			s.addService(1, nil)
			s.callNextNumber(withIdempotencyKey("k"))
		}, func(s *simulation) answer {
			return s.call(http.MethodPost, "/services/numbers/series/b/next", "{}", withIdempotencyKey("k"))
		}},
		"exhausted budget": {errkind.BudgetExhausted, errkind.NotRun, 4, func(s *simulation) { s.addService(1, nil) }, func(s *simulation) answer {
			return s.callNextNumber(withIdempotencyKey("k"))
		}},
		"no upstream": {errkind.NoUpstream, errkind.NotRun, 1000, nil, func(s *simulation) answer {
			return s.call(http.MethodPost, chatPath, strings.Replace(nonStreamingBody, `"m"`, `"absent"`, 1))
		}},
		"draining":   {errkind.Draining, errkind.NotRun, 0, func(s *simulation) { s.draining = true }, func(s *simulation) answer { return s.callStream() }},
		"no session": {errkind.SessionExpired, errkind.NotRun, 0, func(s *simulation) { s.session = "" }, func(s *simulation) answer { return s.callStream() }},
		"lapsed lease": {errkind.LeaseLapsed, errkind.NotRun, 0, func(s *simulation) { s.leaseLapsed = true }, func(s *simulation) answer {
			return s.callStream(withIdempotencyKey("k"))
		}},
		"control group down": {errkind.ControlUnavailable, errkind.NotRun, 1000, func(s *simulation) {
			s.addEngine(1, nil)
			s.control.setUnavailable(true)
		}, func(s *simulation) answer { return s.callStream() }},
		"control group down, with a key": {errkind.ControlUnavailable, errkind.Unknown, 1000, func(s *simulation) {
			s.addEngine(1, nil)
			s.control.setUnavailable(true)
		}, func(s *simulation) answer { return s.callStream(withIdempotencyKey("k")) }},
		"lapsed lease after the call ran": {errkind.LeaseLapsed, errkind.Ran, 1000, func(s *simulation) {
			s.addService(1, nil)
			s.callNextNumber(withIdempotencyKey("k"))
			s.leaseLapsed = true
		}, func(s *simulation) answer { return s.callNextNumber(withIdempotencyKey("k")) }},
		"full engine": {errkind.UpstreamRefused, errkind.NotRun, 1000, func(s *simulation) {
			s.addHandler("engine-1", "10.0.1.1:80", "m", false, func(w http.ResponseWriter, _ *http.Request) {
				http.Error(w, "full", http.StatusServiceUnavailable)
			})
		}, func(s *simulation) answer { return s.callStream() }},
		"engine that rejects the request": {errkind.InvalidRequest, errkind.NotRun, 1000, func(s *simulation) {
			s.addHandler("engine-1", "10.0.1.1:80", "m", false, func(w http.ResponseWriter, _ *http.Request) {
				http.Error(w, "no", http.StatusBadRequest)
			})
		}, func(s *simulation) answer { return s.callStream() }},
		"failing engine": {errkind.UpstreamFailed, errkind.Unknown, 1000, func(s *simulation) {
			s.addHandler("engine-1", "10.0.1.1:80", "m", false, func(w http.ResponseWriter, _ *http.Request) {
				http.Error(w, "broken", http.StatusInternalServerError)
			})
		}, func(s *simulation) answer { return s.callStream() }},
		"silent engine": {errkind.DeadlineUnmet, errkind.Unknown, 1000, func(s *simulation) {
			s.addHandler("engine-1", "10.0.1.1:80", "m", false, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			})
		}, func(s *simulation) answer { return s.callStream() }},
		"call of which nobody knows": {errkind.OutcomeUnknown, errkind.Unknown, 1000, func(s *simulation) {
			s.addService(1, func(o *fake.ServiceOptions) { o.HideRequestState, o.Faults.DropAnswers = true, true })
		}, func(s *simulation) answer { return s.callNextNumber(withIdempotencyKey("k")) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inSimulation(t, test.budgetTokens, func(s *simulation) {
				if test.prepare != nil {
					test.prepare(s)
				}
				before := s.counter("refusals", string(test.kind))
				a := test.call(s)
				s.Expect(a.refusal.Kind).To(Equal(test.kind), a.body)
				s.Expect(a.refusal.Outcome).To(Equal(test.outcome))
				row := errkind.Lookup(test.kind)
				s.Expect(a.status).To(Equal(row.Status))
				s.Expect(a.refusal.Retryable).To(Equal(row.Retryable))
				s.Expect(a.header.Get("Retry-After") != "").To(Equal(a.refusal.RetryAfterMS > 0))
				s.Expect(a.refusal.RetryAfterMS > 0 || !row.Retryable).To(BeTrue())
				s.Expect(a.refusal.RequestID).To(Equal(a.header.Get(announce.HeaderRequestID)))
				s.Expect(a.refusal.RequestID).NotTo(BeEmpty())
				s.Expect(s.counter("refusals", string(test.kind))).To(Equal(before + 1))
			})
		})
	}
}

func TestCallerConcurrencyLimit(t *testing.T) {
	inSimulation(t, 10_000, func(s *simulation) {
		s.addEngine(1, slowEngine)
		got := make(chan answer)
		for range 5 {
			go func() { got <- s.callStream() }()
		}
		first := <-got
		s.Expect(first.refusal.Kind).To(Equal(errkind.TooManyRequests))
		for range 4 {
			s.Expect((<-got).complete()).To(BeTrue())
		}
	})
}

func TestDuplicateOfRunningRequestRefused(t *testing.T) {
	inSimulation(t, 10_000, func(s *simulation) {
		e := s.addEngine(1, slowEngine)
		s.addHost("10.0.0.2:80", "session-2")
		got := make(chan answer)
		go func() { got <- s.callStream(withIdempotencyKey("k")) }()
		s.waitFor(func() bool { return len(e.Truth().Records()) > 0 })
		for _, host := range []string{"10.0.0.1:80", "10.0.0.2:80"} {
			a := s.callStream(withIdempotencyKey("k"), toHost(host))
			s.Expect(a.refusal.Kind).To(Equal(errkind.InProgress))
			s.Expect(a.refusal.RetryAfterMS).To(BeNumerically(">", 0))
		}
		s.Expect((<-got).complete()).To(BeTrue())
	})
}

func TestConfigurationRecheckedBeforeDispatch(t *testing.T) {
	changes := map[string]struct {
		change func(s *simulation)
		kind   errkind.Kind
	}{
		"caller removed": {func(s *simulation) { s.changeRecord(config.KindCaller, "caller", nil) }, errkind.Unauthenticated},
		"organisation disabled": {func(s *simulation) {
			s.changeRecord(config.KindOrganisation, "org", config.OrganisationSpec{Disabled: true})
		}, errkind.Forbidden},
		"policy narrowed": {func(s *simulation) {
			s.changeRecord(config.KindPolicy, "p", config.PolicySpec{Organisation: "org", Services: []string{"numbers"}, Upstreams: []string{"other-*"}})
		}, errkind.Forbidden},
		"service removed": {func(s *simulation) { s.changeRecord(config.KindService, "numbers", nil) }, errkind.NotFound},
		"lease lapsed":    {func(s *simulation) { s.leaseLapsed = true }, errkind.LeaseLapsed},
	}
	for name, test := range changes {
		t.Run(name, func(t *testing.T) {
			inSimulation(t, 1000, func(s *simulation) {
				v := s.addService(1, nil)
				s.control.afterBegin = func() { test.change(s) }
				a := s.callNextNumber(withIdempotencyKey("k"))
				s.Expect(a.refusal.Kind).To(Equal(test.kind), a.body)
				s.Expect(a.refusal.Outcome).To(Equal(errkind.NotRun))
				s.Expect(v.Truth().Records()).To(BeEmpty())
				s.Expect(s.control.onlyRecord().State).To(Equal("released"))
			})
		})
	}
}

func TestUnrelatedConfigurationChangeIgnored(t *testing.T) {
	inSimulation(t, 1000, func(s *simulation) {
		s.addService(1, nil)
		s.control.afterBegin = func() { s.changeRecord(config.KindService, "hidden", nil) }
		s.Expect(s.callNextNumber(withIdempotencyKey("k")).status).To(Equal(http.StatusOK))
	})
}

// changeRecord applies a new spec of a record to the host's configuration; nil deletes the record.
func (s *simulation) changeRecord(kind config.Kind, name string, spec any) {
	r := config.Record{Kind: kind, Name: name, SchemaVersion: config.MaxSchema, Revision: s.view.Revision() + 1, Deleted: spec == nil}
	r.Spec, _ = json.Marshal(spec)
	s.view = s.view.With([]config.Record{r}, s.view.Revision()+1)
	s.Expect(s.view.Faults()).To(BeEmpty())
}
