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

func TestEachRefusalHasItsKindAndCounter(t *testing.T) {
	tests := map[string]struct {
		kind    errkind.Kind
		outcome errkind.Outcome
		paidIn  int64
		prepare func(s *site)
		call    func(s *site) answer
	}{
		"no key": {errkind.Unauthenticated, errkind.NotRun, 0, nil, func(s *site) answer {
			return s.stream(func(r *http.Request) { r.Header.Del("Authorization") })
		}},
		"unknown key": {errkind.Unauthenticated, errkind.NotRun, 0, nil, func(s *site) answer {
			return s.stream(bearer("another key"))
		}},
		"body that is no chat request": {errkind.InvalidRequest, errkind.NotRun, 0, nil, func(s *site) answer {
			return s.call(http.MethodPost, chatPath, `{"model":1}`)
		}},
		"second model in another spelling": {errkind.InvalidRequest, errkind.NotRun, 0, nil, func(s *site) answer {
			return s.call(http.MethodPost, chatPath, strings.Replace(wholeBody, `"model":"m"`, `"model":"hidden","Model":"m"`, 1))
		}},
		"output limit of nothing": {errkind.InvalidRequest, errkind.NotRun, 0, nil, func(s *site) answer {
			return s.call(http.MethodPost, chatPath, strings.Replace(wholeBody, "{", `{"max_tokens":0,`, 1))
		}},
		"long idempotency key": {errkind.InvalidRequest, errkind.NotRun, 0, nil, func(s *site) answer {
			return s.stream(key(strings.Repeat("k", defaultKeyBytes+1)))
		}},
		"large header": {errkind.InvalidRequest, errkind.NotRun, 0, nil, func(s *site) answer {
			return s.stream(func(r *http.Request) { r.Header.Set("X-Large", strings.Repeat("x", defaultHeaderBytes)) })
		}},
		"path with an escaped slash": {errkind.InvalidRequest, errkind.NotRun, 0, nil, func(s *site) answer {
			return s.call(http.MethodPost, "/services/numbers/series/a%2Fb/next", "{}", key("k"))
		}},
		"large body": {errkind.BodyTooLarge, errkind.NotRun, 0, nil, func(s *site) answer {
			return s.call(http.MethodPost, chatPath, strings.Repeat("x", defaultBodyBytes+1))
		}},
		"unknown path":   {errkind.NotFound, errkind.NotRun, 0, nil, func(s *site) answer { return s.call(http.MethodGet, "/nothing", "") }},
		"unknown method": {errkind.NotFound, errkind.NotRun, 0, nil, func(s *site) answer { return s.call(http.MethodPut, "/services/numbers/series/a", "") }},
		"service without a policy": {errkind.Forbidden, errkind.NotRun, 0, nil, func(s *site) answer {
			return s.call(http.MethodPost, chatPath, strings.Replace(wholeBody, `"m"`, `"hidden"`, 1))
		}},
		"call without a key": {errkind.KeyRequired, errkind.NotRun, 0, nil, func(s *site) answer { return s.nextNumber() }},
		"key of another body": {errkind.KeyReused, errkind.NotRun, 100, func(s *site) {
			s.addService(1, nil)
			s.nextNumber(key("k"))
		}, func(s *site) answer {
			return s.call(http.MethodPost, "/services/numbers/series/b/next", "{}", key("k"))
		}},
		"exhausted budget": {errkind.BudgetExhausted, errkind.NotRun, 4, func(s *site) { s.addService(1, nil) }, func(s *site) answer {
			return s.nextNumber(key("k"))
		}},
		"no upstream": {errkind.NoUpstream, errkind.NotRun, 1000, nil, func(s *site) answer {
			return s.call(http.MethodPost, chatPath, strings.Replace(wholeBody, `"m"`, `"absent"`, 1))
		}},
		"draining":   {errkind.Draining, errkind.NotRun, 0, func(s *site) { s.draining = true }, func(s *site) answer { return s.stream() }},
		"no session": {errkind.SessionExpired, errkind.NotRun, 0, func(s *site) { s.session = "" }, func(s *site) answer { return s.stream() }},
		"lapsed lease": {errkind.LeaseLapsed, errkind.NotRun, 0, func(s *site) { s.lapsed = true }, func(s *site) answer {
			return s.stream(key("k"))
		}},
		"control group down": {errkind.ControlUnavailable, errkind.NotRun, 1000, func(s *site) {
			s.addEngine(1, nil)
			s.control.setDown(true)
		}, func(s *site) answer { return s.stream() }},
		"control group down, with a key": {errkind.ControlUnavailable, errkind.Unknown, 1000, func(s *site) {
			s.addEngine(1, nil)
			s.control.setDown(true)
		}, func(s *site) answer { return s.stream(key("k")) }},
		"lapsed lease after the call ran": {errkind.LeaseLapsed, errkind.Ran, 1000, func(s *site) {
			s.addService(1, nil)
			s.nextNumber(key("k"))
			s.lapsed = true
		}, func(s *site) answer { return s.nextNumber(key("k")) }},
		"full engine": {errkind.UpstreamRefused, errkind.NotRun, 1000, func(s *site) {
			s.addFunc("engine-1", "10.0.1.1:80", "m", false, func(w http.ResponseWriter, _ *http.Request) {
				http.Error(w, "full", http.StatusServiceUnavailable)
			})
		}, func(s *site) answer { return s.stream() }},
		"engine that rejects the request": {errkind.InvalidRequest, errkind.NotRun, 1000, func(s *site) {
			s.addFunc("engine-1", "10.0.1.1:80", "m", false, func(w http.ResponseWriter, _ *http.Request) {
				http.Error(w, "no", http.StatusBadRequest)
			})
		}, func(s *site) answer { return s.stream() }},
		"failing engine": {errkind.UpstreamFailed, errkind.Unknown, 1000, func(s *site) {
			s.addFunc("engine-1", "10.0.1.1:80", "m", false, func(w http.ResponseWriter, _ *http.Request) {
				http.Error(w, "broken", http.StatusInternalServerError)
			})
		}, func(s *site) answer { return s.stream() }},
		"silent engine": {errkind.DeadlineUnmet, errkind.Unknown, 1000, func(s *site) {
			s.addFunc("engine-1", "10.0.1.1:80", "m", false, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			})
		}, func(s *site) answer { return s.stream() }},
		"call of which nobody knows": {errkind.OutcomeUnknown, errkind.Unknown, 1000, func(s *site) {
			s.addService(1, func(o *fake.ServiceOptions) { o.HideRequests, o.Faults.DropAnswers = true, true })
		}, func(s *site) answer { return s.nextNumber(key("k")) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inSite(t, test.paidIn, func(s *site) {
				if test.prepare != nil {
					test.prepare(s)
				}
				before := s.counter("refusals", string(test.kind))
				a := test.call(s)
				s.Expect(a.refusal.Kind).To(Equal(test.kind), a.body)
				s.Expect(a.refusal.Outcome).To(Equal(test.outcome))
				row := errkind.Lookup(test.kind)
				s.Expect(a.status).To(Equal(row.Status))
				s.Expect(a.refusal.Retry).To(Equal(row.Retry))
				s.Expect(a.header.Get("Retry-After") != "").To(Equal(a.refusal.RetryAfterMS > 0))
				s.Expect(a.refusal.RetryAfterMS > 0 || !row.Retry).To(BeTrue())
				s.Expect(a.refusal.RequestID).To(Equal(a.header.Get(announce.HeaderRequestID)))
				s.Expect(a.refusal.RequestID).NotTo(BeEmpty())
				s.Expect(s.counter("refusals", string(test.kind))).To(Equal(before + 1))
			})
		})
	}
}

func TestCallerMayHaveOnlySoManyRequestsOpen(t *testing.T) {
	inSite(t, 10_000, func(s *site) {
		s.addEngine(1, slow)
		got := make(chan answer)
		for range 5 {
			go func() { got <- s.stream() }()
		}
		first := <-got
		s.Expect(first.refusal.Kind).To(Equal(errkind.TooManyRequests))
		for range 4 {
			s.Expect((<-got).whole()).To(BeTrue())
		}
	})
}

func TestSecondTryOfARunningRequestIsToldSoAtOnce(t *testing.T) {
	inSite(t, 10_000, func(s *site) {
		e := s.addEngine(1, slow)
		s.addHost("10.0.0.2:80", "session-2")
		got := make(chan answer)
		go func() { got <- s.stream(key("k")) }()
		s.waitFor(func() bool { return len(e.Truth().Records()) > 0 })
		for _, host := range []string{"10.0.0.1:80", "10.0.0.2:80"} {
			a := s.stream(key("k"), via(host))
			s.Expect(a.refusal.Kind).To(Equal(errkind.InProgress))
			s.Expect(a.refusal.RetryAfterMS).To(BeNumerically(">", 0))
		}
		s.Expect((<-got).whole()).To(BeTrue())
	})
}

func TestConfigurationIsCheckedAgainRightBeforeTheDispatch(t *testing.T) {
	changes := map[string]struct {
		change func(s *site)
		kind   errkind.Kind
	}{
		"caller removed":        {func(s *site) { s.change(config.KindCaller, "caller", nil) }, errkind.Unauthenticated},
		"organisation disabled": {func(s *site) { s.change(config.KindOrganisation, "org", config.OrganisationSpec{Disabled: true}) }, errkind.Forbidden},
		"policy narrowed": {func(s *site) {
			s.change(config.KindPolicy, "p", config.PolicySpec{Organisation: "org", Services: []string{"numbers"}, Upstreams: []string{"other-*"}})
		}, errkind.Forbidden},
		"service removed": {func(s *site) { s.change(config.KindService, "numbers", nil) }, errkind.NotFound},
		"lease lapsed":    {func(s *site) { s.lapsed = true }, errkind.LeaseLapsed},
	}
	for name, test := range changes {
		t.Run(name, func(t *testing.T) {
			inSite(t, 1000, func(s *site) {
				v := s.addService(1, nil)
				s.control.onBegun = func() { test.change(s) }
				a := s.nextNumber(key("k"))
				s.Expect(a.refusal.Kind).To(Equal(test.kind), a.body)
				s.Expect(a.refusal.Outcome).To(Equal(errkind.NotRun))
				s.Expect(v.Truth().Records()).To(BeEmpty())
				s.Expect(s.control.only().State).To(Equal("released"))
			})
		})
	}
}

func TestUnrelatedChangeDoesNotStopARequest(t *testing.T) {
	inSite(t, 1000, func(s *site) {
		s.addService(1, nil)
		s.control.onBegun = func() { s.change(config.KindService, "hidden", nil) }
		s.Expect(s.nextNumber(key("k")).status).To(Equal(http.StatusOK))
	})
}

// change puts a new spec of a record in force on the host; nil removes the record.
func (s *site) change(kind config.Kind, name string, spec any) {
	r := config.Record{Kind: kind, Name: name, SchemaVersion: config.MaxSchema, Revision: s.view.Revision() + 1, Deleted: spec == nil}
	r.Spec, _ = json.Marshal(spec)
	s.view = s.view.With([]config.Record{r}, s.view.Revision()+1)
	s.Expect(s.view.Faults()).To(BeEmpty())
}
