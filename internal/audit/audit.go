// Package audit compares what callers were told, what was billed and what the
// upstreams say they ran, and counts each break of a promise. It is pure: the
// records go in, the findings come out.
package audit

import (
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/fake"
)

// Request is all that one caller knows of one request.
type Request struct {
	ID string
	// Completions are the ids of the records under which a run that was cut off
	// and charged in part is completed.
	Completions []string
	Budget      string
	Class       string
	Repeatable  bool
	// Cost is the charge of the request in tokens if it runs once; for a chat
	// request it is known from the deterministic answer.
	Cost    int64
	Answers []Answer
}

// Answer is what one call of a request gave, in the order of sending.
type Answer struct {
	// SentMS and ReceivedMS are the times of the call, in milliseconds since 1970.
	SentMS     int64
	ReceivedMS int64
	// Refusal is set if the answer was an error of the system.
	Refusal *errkind.Error
	// Whole tells that a successful answer came to its end.
	Whole bool
	// Cut tells that a successful answer began and did not come to its end.
	Cut bool
	// Wrong tells that a whole answer was not the request's own.
	Wrong bool
	// Detail says what was wrong, for people.
	Detail string
}

// Evidence is what the audit compares.
type Evidence struct {
	Requests []Request
	Bills    []controlapi.RequestStatus
	Budgets  []controlapi.BudgetStatus
	Truth    []fake.TruthRecord
	// LeaveLimitMS is the time after leaving from which an upstream may get no new work.
	LeaveLimitMS int64
}

// Findings are the counts of broken promises and of refusals.
type Findings struct {
	Requests int
	// Served counts the requests that ended with a whole answer.
	Served int
	// OverspendTokens is by how much spend exceeds what was paid in.
	OverspendTokens int64
	DoubleRuns      int
	DoubleBills     int
	UnbilledRuns    int
	UntrueNotRun    int
	CutOffStreams   int
	WrongAnswers    int
	// NewWorkAfterLeaving counts what an upstream started after the limit.
	NewWorkAfterLeaving int
	// FalseRefusals counts the requests whose last answer was a refusal though their
	// budget still covers them, by kind; Refusals counts all refused ones.
	FalseRefusals map[errkind.Kind]int
	Refusals      map[errkind.Kind]int
	// RefusalAnswers counts the refusals among all answers, by kind.
	RefusalAnswers map[errkind.Kind]int
	// Unanswered counts the requests that ended without an answer.
	Unanswered int
	// WastedTokens is what upstreams ran of chat requests beyond one whole run of
	// each, under whatever id. It is below 0 if runs were cut short.
	WastedTokens int64
	// PromptTokens counts the prompts of all finished runs, and CachedTokens the
	// part of them that the engines had cached.
	PromptTokens int64
	CachedTokens int64
	// Examples describe some of the broken promises.
	Examples []string
}

// FalseRefusalRatio returns the part of the requests that were refused falsely.
func (f *Findings) FalseRefusalRatio() float64 {
	if f.Requests == 0 {
		return 0
	}
	sum := 0
	for _, n := range f.FalseRefusals {
		sum += n
	}
	return float64(sum) / float64(f.Requests)
}

// PrefixHitRatio returns the part of the prompt tokens that was cached.
func (f *Findings) PrefixHitRatio() float64 {
	return float64(f.CachedTokens) / float64(max(1, f.PromptTokens))
}

// Broken tells whether a promise that must always hold was broken.
func (f *Findings) Broken() bool {
	return f.OverspendTokens != 0 || f.DoubleRuns != 0 || f.DoubleBills != 0 || f.UnbilledRuns != 0 ||
		f.UntrueNotRun != 0 || f.WrongAnswers != 0 || f.NewWorkAfterLeaving != 0
}

// Check compares the evidence.
func Check(e *Evidence) *Findings {
	a := newAuditor(e)
	f := &a.findings
	f.Requests = len(e.Requests)
	for i := range e.Requests {
		a.request(&e.Requests[i])
	}
	f.OverspendTokens = a.overspend()
	for i := range e.Truth {
		r := &e.Truth[i]
		if isStart(r) && r.AfterLeaving > e.LeaveLimitMS {
			f.NewWorkAfterLeaving++
		}
	}
	return f
}
