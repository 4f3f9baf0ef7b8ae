package failure_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/fake"
	"github.com/godwitbend/godwitbend/internal/load"
	"github.com/godwitbend/godwitbend/internal/trace"
)

// TestFaultyEnginesBreakNoPromise lets one of four engines answer wrongly in each way.
func TestFaultyEnginesBreakNoPromise(t *testing.T) {
	for name, faults := range map[string]fake.Faults{
		"past the limit":      {ExtraTokens: 50},
		"cut short":           {TruncateAfter: 5},
		"foreign id":          {ForeignID: "0123456789abcdef0123456789abcdef"},
		"late":                {AnswerDelayMS: 700},
		"refused connections": {Refuse: true},
		"lost answers":        {DropAnswers: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, trace.Heraut, nil)
			s.Expect(s.SetFaults(s.ctx, s.Upstreams[0], faults)).To(Succeed())
			o := s.run(faultySize, load.Calm)
			s.Expect(o.Findings.Broken()).To(BeFalse(), "%+v", o.Findings)
		})
	}
}

// TestServiceThatLosesAnswersRunsEachCallOnce lets the answers of all calls of
// the plain service be lost after they took effect.
func TestServiceThatLosesAnswersRunsEachCallOnce(t *testing.T) {
	s := newSite(t, trace.Carvalho, nil)
	service := s.Upstreams[len(s.Upstreams)-1]
	s.Expect(s.SetFaults(s.ctx, service, fake.Faults{DropAnswers: true})).To(Succeed())
	o := s.run(faultySize, load.Calm)
	s.Expect(o.Findings.Broken()).To(BeFalse(), "%+v", o.Findings)
}
