package failure_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/fake"
	"github.com/godwitbend/godwitbend/internal/harness"
	"github.com/godwitbend/godwitbend/internal/load"
	"github.com/godwitbend/godwitbend/internal/trace"
)

// smallBudgetTokens is the top-up of a budget that the test exhausts.
const smallBudgetTokens = 3000

// TestConcurrentRequestsNeverOverspendBudget exhausts a budget through all hosts
// at once: the tokens used, reported to callers and charged agree and stay within
// what was paid in.
func TestConcurrentRequestsNeverOverspendBudget(t *testing.T) {
	s := newSite(t, trace.Carvalho, func(o *load.SiteOptions) { o.Budget = smallBudgetTokens })
	organisation := s.deployment.Organisations[0]
	caller := harness.Caller{Key: s.Key(organisation + "-description")}
	var mu sync.Mutex
	var reportedTokens int64
	kinds := map[errkind.Kind]int{}
	var senders sync.WaitGroup
	for i := range 24 {
		senders.Go(func() {
			for j := range 20 {
				key := fmt.Sprintf("dry-%d-%d", i, j)
				a, err := caller.Do(s.ctx, harness.Call{
					Method: http.MethodPost, URL: s.Hosts[(i+j)%len(s.Hosts)].CallersURL(), Path: harness.PathChat,
					IdempotencyKey: key, Body: harness.ChatBody(s.deployment.Model, 40, "describe "+key),
				})
				mu.Lock()
				if err == nil && a.Usage != nil {
					reportedTokens += a.Usage.TotalTokens
				}
				if a.Refusal != nil {
					kinds[a.Refusal.Kind]++
				}
				mu.Unlock()
			}
		})
	}
	senders.Wait()
	truth, err := s.AllGroundTruth(s.ctx)
	s.Expect(err).NotTo(HaveOccurred())
	var ranTokens int64
	for _, r := range truth {
		if r.Event != fake.TruthStarted {
			ranTokens += r.PromptTokens + r.OutputTokens
		}
	}
	s.Expect(ranTokens).To(BeNumerically("<=", smallBudgetTokens))
	s.Expect(reportedTokens).To(Equal(ranTokens))
	s.Expect(kinds).To(HaveKey(errkind.BudgetExhausted))
	budgets, err := s.Budgets(s.ctx, s.Hosts[1])
	s.Expect(err).NotTo(HaveOccurred())
	for _, b := range budgets {
		if b.Budget == organisation {
			s.Expect(b.Charged).To(Equal(ranTokens))
			s.Expect(b.Reserved).To(BeZero())
		}
	}
}

// maxCharge returns the upper bound of the charge of a, in tokens.
func maxCharge(d *trace.Deployment, a *trace.Arrival) int64 {
	if a.Method != "" {
		return load.Costs(d, []trace.Arrival{*a})[a.Organisation]
	}
	req, err := fake.ParseChat(harness.ChatBody(a.Service, a.MaxTokens, a.Prompt()))
	if err != nil {
		return 0
	}
	return req.PromptTokens() + a.MaxTokens
}

// TestExactBudgetCausesNoFalseRefusals pays in exactly what all requests cost: a
// request is refused only if its maximum charge exceeds what remains of its budget.
func TestExactBudgetCausesNoFalseRefusals(t *testing.T) {
	d := trace.Find(trace.Heraut)
	arrivals := trace.Generate(d, traceSeed, traceSize, traceRate)
	s := newSite(t, trace.Heraut, func(o *load.SiteOptions) { o.Budgets = load.Costs(d, arrivals) })
	o := s.run(traceSize, load.NoFailure)
	s.Expect(o.Findings.HasViolations()).To(BeFalse(), "%+v", o.Findings)
	budgets, err := s.Budgets(s.ctx, s.Hosts[0])
	s.Expect(err).NotTo(HaveOccurred())
	remaining := map[string]int64{}
	for _, b := range budgets {
		remaining[b.Budget] = b.PaidIn - b.Charged
	}
	byID := map[string]*trace.Arrival{}
	for i := range arrivals {
		a := &arrivals[i]
		byID[controlapi.RequestIDFor(a.Caller(), a.Key)] = a
	}
	for _, r := range o.Requests {
		if r.Answers[len(r.Answers)-1].Refusal == nil {
			continue
		}
		a := byID[r.ID]
		s.Expect(maxCharge(d, a)).To(BeNumerically(">", remaining[r.Budget]), "%+v", a)
	}
}
