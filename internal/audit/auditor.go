package audit

import (
	"fmt"
	"slices"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/fake"
)

// stateSettled is the state of a request record that has been charged.
const stateSettled = "settled"

// maxExamples bounds the number of violations described in Findings.Examples.
const maxExamples = 10

// auditor indexes the evidence by request ID and budget and collects the findings.
type auditor struct {
	evidence *Evidence
	findings Findings
	bills    map[string][]*controlapi.RequestStatus
	budgets  map[string]*controlapi.BudgetStatus
	starts   map[string][]*fake.TruthRecord
	// ranTokens holds the tokens that upstreams ran, by request ID.
	ranTokens map[string]int64
	// deliveredCost holds the cost of the requests with a complete answer, by budget.
	deliveredCost map[string]int64
}

func newAuditor(e *Evidence) *auditor {
	a := &auditor{
		evidence: e,
		findings: Findings{
			FalseRefusals:  map[errkind.Kind]int{},
			Refusals:       map[errkind.Kind]int{},
			RefusalAnswers: map[errkind.Kind]int{},
		},
		bills:         map[string][]*controlapi.RequestStatus{},
		budgets:       map[string]*controlapi.BudgetStatus{},
		starts:        map[string][]*fake.TruthRecord{},
		ranTokens:     map[string]int64{},
		deliveredCost: map[string]int64{},
	}
	for i := range e.Bills {
		b := &e.Bills[i]
		a.bills[b.RequestID] = append(a.bills[b.RequestID], b)
	}
	for i := range e.Budgets {
		a.budgets[e.Budgets[i].Budget] = &e.Budgets[i]
	}
	for i := range e.Truth {
		r := &e.Truth[i]
		if isStart(r) {
			a.starts[r.RequestID] = append(a.starts[r.RequestID], r)
		} else {
			tokens := r.PromptTokens + r.OutputTokens
			a.ranTokens[r.RequestID] += tokens
			a.findings.WastedTokens += tokens
		}
		if r.Event == fake.TruthFinished {
			a.findings.PromptTokens += r.PromptTokens
			a.findings.CachedTokens += r.CachedTokens
		}
	}
	return a
}

// isStart reports whether r records that an upstream started to run a request.
func isStart(r *fake.TruthRecord) bool {
	return r.Event == fake.TruthStarted || r.Event == fake.TruthRan
}

// recordIDs returns the IDs of all records of r.
func (r *Request) recordIDs() []string { return append([]string{r.ID}, r.Completions...) }

// hasRun reports whether upstreams ran tokens under any ID of r.
func (a *auditor) hasRun(r *Request) bool {
	return slices.ContainsFunc(r.recordIDs(), func(id string) bool { return a.ranTokens[id] > 0 })
}

// checkRequest audits one request.
func (a *auditor) checkRequest(r *Request) {
	f := &a.findings
	if !r.Repeatable {
		repeats := max(0, len(a.starts[r.ID])-1)
		f.DoubleRuns += repeats
		a.addExample(repeats > 0, r, "ran %d times", repeats+1)
	}
	if a.hasRun(r) {
		f.WastedTokens -= r.Cost
	}
	complete := a.checkAnswers(r)
	a.checkBills(r, complete)
	switch last := lastAnswer(r); {
	case complete > 0:
		f.Served++
	case last != nil && last.Refusal != nil:
		a.countRefusal(r, last.Refusal)
	default:
		f.Unanswered++
	}
}

// checkAnswers audits the answers of r and returns the number of complete ones.
func (a *auditor) checkAnswers(r *Request) int {
	f := &a.findings
	complete := 0
	for i := range r.Answers {
		answer := &r.Answers[i]
		if answer.Refusal != nil {
			f.RefusalAnswers[answer.Refusal.Kind]++
		}
		switch {
		case answer.Complete && answer.Wrong:
			f.WrongAnswers++
			complete++
			a.addExample(true, r, "wrong answer: %s", answer.Detail)
		case answer.Complete:
			complete++
		case answer.Aborted:
			f.AbortedStreams++
		case answer.Refusal != nil && answer.Refusal.Outcome() == errkind.NotRun && a.contradictsRun(r, i):
			f.UntrueNotRun++
			a.addExample(true, r, "refused with %s although it ran", answer.Refusal)
		}
	}
	return complete
}

// contradictsRun reports whether the i-th answer, a refusal with outcome not_run, contradicts
// a run: one that started before the answer, or one that started later although the caller
// had no other call in flight that could have caused it.
func (a *auditor) contradictsRun(r *Request, i int) bool {
	refused := &r.Answers[i]
	for _, start := range a.starts[r.ID] {
		if start.TimeMS < refused.ReceivedMS || !callInFlightAt(r, i, start.TimeMS) {
			return true
		}
	}
	return false
}

// callInFlightAt reports whether another call was sent by time t and was answered no earlier
// than the i-th, so that it may account for a run at time t.
func callInFlightAt(r *Request, i int, t int64) bool {
	for j := range r.Answers {
		other := &r.Answers[j]
		if j != i && other.SentMS <= t && other.ReceivedMS >= r.Answers[i].ReceivedMS {
			return true
		}
	}
	return false
}

// checkBills compares the charge of a request with its cost and with the answers that the
// caller received.
func (a *auditor) checkBills(r *Request, complete int) {
	f := &a.findings
	var charged, completionCharges, chargedByCompletions int64
	settled := 0
	for i, id := range r.recordIDs() {
		for _, b := range a.bills[id] {
			charged += b.Charged
			if i > 0 {
				completionCharges += b.Charged
			}
			chargedByCompletions = max(chargedByCompletions, b.ChargedByCompletions)
			if b.State == stateSettled {
				settled++
			}
		}
	}
	// A merged journal may have charged the remainder of an aborted run without a separate
	// record.
	charged += max(chargedByCompletions-completionCharges, 0)
	if charged > r.Cost {
		f.DoubleBills++
		a.addExample(true, r, "%d bills of %d tokens for a cost of %d", settled, charged, r.Cost)
	}
	if complete > 0 && (settled == 0 || charged < r.Cost) {
		f.UnbilledRuns++
		a.addExample(true, r, "answered with %d bills of %d tokens for a cost of %d", settled, charged, r.Cost)
	}
	if complete > 0 {
		a.deliveredCost[r.Budget] += r.Cost
	}
}

// addExample adds a description of a violation to the findings if violated is set.
func (a *auditor) addExample(violated bool, r *Request, format string, args ...any) {
	f := &a.findings
	if !violated || len(f.Examples) >= maxExamples {
		return
	}
	f.Examples = append(f.Examples, fmt.Sprintf("%s %s: ", r.ID, r.Class)+fmt.Sprintf(format, args...))
}

// countRefusal counts a refused request, as a false refusal if its budget still covers it.
func (a *auditor) countRefusal(r *Request, e *errkind.Error) {
	a.findings.Refusals[e.Kind]++
	b := a.budgets[r.Budget]
	if b != nil && b.PaidIn-b.Charged >= r.Cost {
		a.findings.FalseRefusals[e.Kind]++
	}
}

// overspendTokens returns the tokens by which spending exceeds the payments, summed over all
// budgets. Spending is the larger of the booked amount and the cost of the complete answers.
func (a *auditor) overspendTokens() int64 {
	var sum int64
	for name, b := range a.budgets {
		booked := b.Charged + b.Reserved + b.Granted
		sum += max(0, booked-b.PaidIn, a.deliveredCost[name]-b.PaidIn)
	}
	return sum
}

func lastAnswer(r *Request) *Answer {
	if len(r.Answers) == 0 {
		return nil
	}
	return &r.Answers[len(r.Answers)-1]
}
