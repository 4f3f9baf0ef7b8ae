package failure_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/fake"
	"github.com/godwitbend/godwitbend/internal/harness"
	"github.com/godwitbend/godwitbend/internal/load"
	"github.com/godwitbend/godwitbend/internal/trace"
)

// TestFaultyEnginesViolateNoGuarantee injects each kind of fault into one of four engines.
func TestFaultyEnginesViolateNoGuarantee(t *testing.T) {
	for name, faults := range map[string]fake.Faults{
		"cut short":           {TruncateAfter: 5},
		"foreign id":          {ForeignID: "0123456789abcdef0123456789abcdef"},
		"late":                {AnswerDelayMS: 700},
		"refused connections": {Refuse: true},
		"lost answers":        {DropAnswers: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, trace.Heraut, nil)
			s.Expect(s.SetFaults(s.ctx, s.Upstreams[0], faults)).To(Succeed())
			o := s.run(faultyTraceSize, load.NoFailure)
			s.Expect(o.Findings.HasViolations()).To(BeFalse(), "%+v", o.Findings)
		})
	}
}

// TestOutputBeyondLimitIsTruncated lets all engines exceed the output limit: the
// caller gets output up to the limit and is charged exactly for what the engine ran.
func TestOutputBeyondLimitIsTruncated(t *testing.T) {
	s := newSite(t, trace.Heraut, nil)
	for _, u := range s.Upstreams[:engines] {
		s.Expect(s.SetFaults(s.ctx, u, fake.Faults{ExtraTokens: 500})).To(Succeed())
	}
	const limit = 20
	name := trace.CallerName(s.deployment.Organisations[0], "question")
	caller := harness.Caller{Key: s.Key(name)}
	body := harness.ChatBody(s.deployment.Model, limit, "how long?")
	a, err := caller.Do(s.ctx, harness.Call{
		Method: http.MethodPost, URL: s.Hosts[0].CallersURL(), Path: harness.PathChat, IdempotencyKey: "past", Body: body,
	})
	s.Expect(err).NotTo(HaveOccurred())
	req, err := fake.ParseChat(body)
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(a.Complete).To(BeTrue())
	s.Expect(a.Text).To(Equal(req.AnswerText(limit)))
	bills, err := s.Bills(s.ctx, s.Hosts[1])
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(bills).To(HaveLen(1))
	truth, err := s.AllGroundTruth(s.ctx)
	s.Expect(err).NotTo(HaveOccurred())
	ran := truth[len(truth)-1]
	s.Expect(ran.OutputTokens).To(BeNumerically("<", limit+500))
	s.Expect(bills[0].Charged).To(Equal(ran.PromptTokens + ran.OutputTokens))
}

// TestCallsWithLostAnswersRunOnce drops every answer of the plain service after
// the call took effect.
func TestCallsWithLostAnswersRunOnce(t *testing.T) {
	s := newSite(t, trace.Carvalho, nil)
	service := s.Upstreams[len(s.Upstreams)-1]
	s.Expect(s.SetFaults(s.ctx, service, fake.Faults{DropAnswers: true})).To(Succeed())
	o := s.run(faultyTraceSize, load.NoFailure)
	s.Expect(o.Findings.HasViolations()).To(BeFalse(), "%+v", o.Findings)
}
