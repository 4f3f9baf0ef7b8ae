package load

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/audit"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/harness"
	"github.com/godwitbend/godwitbend/internal/trace"
)

func TestHostPickerCyclesThroughReadyHosts(t *testing.T) {
	g := NewWithT(t)
	p := newHostPicker(&Site{Fleet: &harness.Fleet{Hosts: make([]*harness.Host, 3)}})
	g.Expect([]int{p.next(nil, -1), p.next(nil, -1), p.next(nil, -1)}).To(Equal([]int{1, 2, 0}))
	g.Expect(p.next(nil, 1)).To(Equal(2))
	p.ready = []bool{false, true, false}
	g.Expect([]int{p.next(nil, -1), p.next(nil, 0)}).To(Equal([]int{1, 1}))
	p.ready = []bool{false, false, false}
	g.Expect(p.next(nil, -1)).To(Equal(2))
}

func TestEvidenceIsSettledOnceNothingIsReservedAndAnswersAreCharged(t *testing.T) {
	g := NewWithT(t)
	const id, budget, cost = "r", "b", 100
	e := &audit.Evidence{
		Requests: []audit.Request{{ID: id, Budget: budget, Cost: cost, Answers: []audit.Answer{{Complete: true}}}},
		Bills:    []controlapi.RequestStatus{{RequestID: id, State: "released"}},
		Budgets:  []controlapi.BudgetStatus{{Budget: budget, PaidIn: cost}},
	}
	g.Expect(checkSettled(e)).To(MatchError(ContainSubstring("1 answered requests are not charged")))
	e.Bills[0].State, e.Bills[0].Charged = "settled", cost
	g.Expect(checkSettled(e)).To(Succeed())
	e.Budgets[0].Reserved = 1
	g.Expect(checkSettled(e)).To(MatchError(ContainSubstring("1 tokens of budget b are reserved")))
}

func TestReplaySpeedScalesWithLoadAndCapacity(t *testing.T) {
	g := NewWithT(t)
	e := Engine{Capacity: 2, TokenTime: 5 * time.Millisecond, PromptTokenTime: 50 * time.Microsecond}
	d := trace.Find(trace.Heraut)
	arrivals := trace.Generate(d, 1, 1000, 50)
	fullLoad := e.ReplaySpeed(arrivals, d.Engines, 1)
	g.Expect(e.ReplaySpeed(arrivals, d.Engines, 1.5)).To(BeNumerically("~", 1.5*fullLoad, 1e-9))
	g.Expect(e.ReplaySpeed(arrivals, 2*d.Engines, 1)).To(BeNumerically("~", 2*fullLoad, 1e-9))
	single := []trace.Arrival{{AtMS: 1000, Key: "k", MaxTokens: 1, TextBytes: 4, Service: "m"}}
	g.Expect(Engine{Capacity: 1, TokenTime: time.Second}.ReplaySpeed(single, 1, 1)).To(BeNumerically("~", 1, 1e-9))
}

func TestReportWritesMeasuresWithBaseline(t *testing.T) {
	g := NewWithT(t)
	failedAt := time.UnixMilli(1000)
	result := &RunResult{
		FailedAt: failedAt,
		Findings: &audit.Findings{Requests: 4, Served: 3, FalseRefusals: map[errkind.Kind]int{errkind.Overloaded: 1}},
		Samples:  []Sample{{Class: "draft", TimeToFirstToken: 100 * time.Millisecond}},
		Requests: []audit.Request{{Answers: []audit.Answer{
			{Complete: true, SentMS: 900, ReceivedMS: 1100},
			{Complete: true, SentMS: 1000, ReceivedMS: 1900},
			{Complete: true, SentMS: 1200, ReceivedMS: 1400},
		}}},
	}
	baseline := &RunResult{
		Findings: &audit.Findings{Requests: 4, Served: 2, DoubleRuns: 5},
		Samples:  []Sample{{Class: "draft", TimeToFirstToken: 200 * time.Millisecond}},
	}
	var out bytes.Buffer
	report := Report{Out: &out, Scenario: "s", Seed: 9}
	g.Expect(report.AddRunResult(result, baseline)).To(Succeed())
	got := map[string]Measure{}
	for decoder := json.NewDecoder(&out); decoder.More(); {
		var m Measure
		g.Expect(decoder.Decode(&m)).To(Succeed())
		got[m.Measure] = m
	}
	g.Expect(got["served_share"].Value).To(Equal(0.75))
	g.Expect(*got["served_share"].Baseline).To(Equal(0.5))
	g.Expect(*got["double_runs"].Baseline).To(Equal(5.0))
	g.Expect(got["failover_ms"].Value).To(Equal(400.0))
	g.Expect(got["false_refusal_ratio"].Value).To(Equal(0.25))
	g.Expect(got["false_refusals_overloaded"].Value).To(Equal(1.0))
	g.Expect(got["overspend_tokens"].Baseline).To(BeNil())
	g.Expect(got["first_token_p95_ms_draft"].Value).To(BeNumerically("~", 100, 1))
	g.Expect(*got["first_token_p95_ms_draft"].Baseline).To(BeNumerically("~", 200, 1))
	g.Expect(got["first_token_p95_ms_draft"].Seed).To(Equal(uint64(9)))
}
