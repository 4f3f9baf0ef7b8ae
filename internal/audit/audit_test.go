package audit_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/audit"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/fake"
)

func refused(kind errkind.Kind, sent, received int64) audit.Answer {
	return audit.Answer{SentMS: sent, ReceivedMS: received, Refusal: errkind.New(kind, "")}
}

func served(sent, received int64) audit.Answer {
	return audit.Answer{SentMS: sent, ReceivedMS: received, Complete: true}
}

func runRecord(id string, t int64) fake.TruthRecord {
	return fake.TruthRecord{Event: fake.TruthRan, RequestID: id, TimeMS: t}
}

// newEvidence returns evidence of one request r with cost 10, one run, one bill and a budget
// of 100.
func newEvidence(answers ...audit.Answer) *audit.Evidence {
	return &audit.Evidence{
		Requests:     []audit.Request{{ID: "r", Budget: "b", Cost: 10, Answers: answers}},
		Bills:        []controlapi.RequestStatus{{RequestID: "r", State: "settled", Charged: 10}},
		Budgets:      []controlapi.BudgetStatus{{Budget: "b", PaidIn: 100, Charged: 10}},
		Truth:        []fake.TruthRecord{runRecord("r", 5)},
		LeaveLimitMS: 3000,
	}
}

func TestConsistentEvidenceHasNoViolations(t *testing.T) {
	g := NewWithT(t)
	f := audit.Check(newEvidence(served(0, 10)))
	g.Expect(f.HasViolations()).To(BeFalse())
	g.Expect([]int{f.Requests, f.Served, f.AbortedStreams}).To(Equal([]int{1, 1, 0}))
	g.Expect(f.FalseRefusalRatio()).To(BeZero())
}

func TestEachViolationIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*audit.Evidence)
		found  func(*audit.Findings) int
	}{
		"books over the payments": {
			func(e *audit.Evidence) { e.Budgets[0].Reserved = 91 },
			func(f *audit.Findings) int { return int(f.OverspendTokens) },
		},
		"answers over the payments": {
			func(e *audit.Evidence) { e.Budgets[0] = controlapi.BudgetStatus{Budget: "b", PaidIn: 9} },
			func(f *audit.Findings) int { return int(f.OverspendTokens) },
		},
		"second run": {
			func(e *audit.Evidence) { e.Truth = append(e.Truth, runRecord("r", 6)) },
			func(f *audit.Findings) int { return f.DoubleRuns },
		},
		"second bill": {
			func(e *audit.Evidence) { e.Bills = append(e.Bills, e.Bills[0]) },
			func(f *audit.Findings) int { return f.DoubleBills },
		},
		"larger bill": {
			func(e *audit.Evidence) { e.Bills[0].Charged = 11 },
			func(f *audit.Findings) int { return f.DoubleBills },
		},
		"no bill": {
			func(e *audit.Evidence) { e.Bills = nil },
			func(f *audit.Findings) int { return f.UnbilledRuns },
		},
		"foreign answer": {
			func(e *audit.Evidence) { e.Requests[0].Answers[0].Wrong = true },
			func(f *audit.Findings) int { return f.WrongAnswers },
		},
		"work long after leaving": {
			func(e *audit.Evidence) { e.Truth[0].AfterLeavingMS = 3001 },
			func(f *audit.Findings) int { return f.NewWorkAfterLeaving },
		},
		"told not run after a run": {
			func(e *audit.Evidence) { e.Requests[0].Answers = []audit.Answer{refused(errkind.Overloaded, 0, 8)} },
			func(f *audit.Findings) int { return f.UntrueNotRun },
		},
		"told not run before a run of nobody's": {
			func(e *audit.Evidence) { e.Requests[0].Answers = []audit.Answer{refused(errkind.Overloaded, 0, 3)} },
			func(f *audit.Findings) int { return f.UntrueNotRun },
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := newEvidence(served(0, 10))
			c.change(e)
			f := audit.Check(e)
			g.Expect(c.found(f)).To(Equal(1))
			g.Expect(f.HasViolations()).To(BeTrue())
		})
	}
}

func TestRefusalBeforeLaterRunIsNoViolation(t *testing.T) {
	g := NewWithT(t)
	f := audit.Check(newEvidence(refused(errkind.Overloaded, 0, 3), served(4, 10)))
	g.Expect(f.HasViolations()).To(BeFalse())
	f = audit.Check(newEvidence(refused(errkind.InProgress, 0, 8), served(1, 10)))
	g.Expect(f.HasViolations()).To(BeFalse())
}

func TestRefusalCoveredByBudgetIsFalse(t *testing.T) {
	g := NewWithT(t)
	e := newEvidence(refused(errkind.BudgetExhausted, 0, 3))
	e.Bills, e.Truth = nil, nil
	e.Budgets[0].Charged = 90
	f := audit.Check(e)
	g.Expect(f.FalseRefusalRatio()).To(Equal(1.0))
	e.Budgets[0].Charged = 91
	f = audit.Check(e)
	g.Expect(f.FalseRefusalRatio()).To(BeZero())
	g.Expect(f.Refusals).To(HaveKeyWithValue(errkind.BudgetExhausted, 1))
	g.Expect(f.HasViolations()).To(BeFalse())
}

func TestCompletionOfAbortedRunIsBilledForRemainder(t *testing.T) {
	g := NewWithT(t)
	e := newEvidence(audit.Answer{Aborted: true, ReceivedMS: 5}, served(6, 10))
	e.Requests[0].Repeatable = true
	e.Requests[0].Completions = []string{"r-1"}
	e.Bills[0].Charged = 4
	g.Expect(audit.Check(e).UnbilledRuns).To(Equal(1))
	e.Bills = append(e.Bills, controlapi.RequestStatus{RequestID: "r-1", State: "settled", Charged: 6})
	g.Expect(audit.Check(e).HasViolations()).To(BeFalse())
	e.Bills[1].Charged = 7
	g.Expect(audit.Check(e).DoubleBills).To(Equal(1))
}

// The merge of a journal may charge the remainder of an aborted run without a separate
// record; the record of the aborted run then includes it in ChargedByCompletions. The charge
// of a completing record is included there too and must count once.
func TestRemainderChargedByJournalCounts(t *testing.T) {
	g := NewWithT(t)
	e := newEvidence(audit.Answer{Aborted: true, ReceivedMS: 5}, served(6, 10))
	e.Requests[0].Repeatable = true
	e.Requests[0].Completions = []string{"r-1"}
	e.Bills[0].Charged, e.Bills[0].ChargedByCompletions = 4, 5
	g.Expect(audit.Check(e).UnbilledRuns).To(Equal(1))
	e.Bills[0].ChargedByCompletions = 6
	g.Expect(audit.Check(e).HasViolations()).To(BeFalse())
	e.Bills[0].ChargedByCompletions = 7
	g.Expect(audit.Check(e).DoubleBills).To(Equal(1))
	e.Bills[0].ChargedByCompletions = 6
	e.Bills = append(e.Bills, controlapi.RequestStatus{RequestID: "r-1", State: "settled", Charged: 6})
	g.Expect(audit.Check(e).HasViolations()).To(BeFalse())
}

func TestWastedTokensAndAbortedStreams(t *testing.T) {
	g := NewWithT(t)
	e := newEvidence(audit.Answer{SentMS: 0, ReceivedMS: 5, Aborted: true}, served(6, 10))
	e.Requests[0].Repeatable = true
	e.Truth = nil
	for _, tokens := range []int64{4, 10} {
		e.Truth = append(e.Truth,
			fake.TruthRecord{Event: fake.TruthStarted, RequestID: "r"},
			fake.TruthRecord{Event: fake.TruthFinished, RequestID: "r", PromptTokens: tokens, CachedTokens: tokens / 2})
	}
	f := audit.Check(e)
	g.Expect(f.HasViolations()).To(BeFalse())
	g.Expect(f.AbortedStreams).To(Equal(1))
	g.Expect(f.WastedTokens).To(Equal(int64(4)))
	g.Expect(f.PrefixHitRatio()).To(Equal(0.5))
}
