// Package audit compares the answers that callers received, the bills, and the upstreams'
// records of what they ran, and counts each violation of a guarantee. It works on these
// records only and has no side effects.
package audit

import (
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/fake"
)

// Request is a caller's record of one request.
type Request struct {
	ID string
	// Completions holds the IDs of the records that complete an aborted run which was charged
	// in part.
	Completions []string
	Budget      string
	Class       string
	Repeatable  bool
	// Cost is the charge in tokens if the request runs once. For a chat request it follows
	// from the deterministic answer.
	Cost int64
	// Answers holds the results of the request's calls in the order of sending.
	Answers []Answer
}

// Answer is the result of one call of a request.
type Answer struct {
	// SentMS and ReceivedMS are the start and end of the call, in Unix milliseconds.
	SentMS     int64
	ReceivedMS int64
	// Refusal is set if the answer was a refusal.
	Refusal *errkind.Error
	// Complete means that a successful answer was received to its end.
	Complete bool
	// Aborted means that a successful answer began and ended early.
	Aborted bool
	// Wrong means that a complete answer does not match the request.
	Wrong bool
	// Detail describes what is wrong with the answer.
	Detail string
}

// Evidence holds the records that the audit compares.
type Evidence struct {
	Requests []Request
	// Bills holds the control group's request records.
	Bills   []controlapi.RequestStatus
	Budgets []controlapi.BudgetStatus
	// Truth holds the upstreams' records of what they ran.
	Truth []fake.TruthRecord
	// LeaveLimitMS is the time after which a leaving upstream must not start new work.
	LeaveLimitMS int64
}

// Findings holds the numbers of violations and of refusals.
type Findings struct {
	Requests int
	// Served counts the requests that got a complete answer.
	Served int
	// OverspendTokens is the amount by which spending exceeds the payments.
	OverspendTokens int64
	// DoubleRuns counts the surplus runs of requests that may not be repeated, DoubleBills
	// the requests charged more than their cost, and UnbilledRuns those that got a complete
	// answer but were not settled or were charged less.
	DoubleRuns   int
	DoubleBills  int
	UnbilledRuns int
	// UntrueNotRun counts the refusals with outcome not_run of requests that ran.
	UntrueNotRun   int
	AbortedStreams int
	WrongAnswers   int
	// NewWorkAfterLeaving counts the runs that upstreams started after LeaveLimitMS.
	NewWorkAfterLeaving int
	// FalseRefusals counts, by kind, the requests whose last answer was a refusal although
	// their budget still covers them. Refusals counts all requests whose last answer was a
	// refusal.
	FalseRefusals map[errkind.Kind]int
	Refusals      map[errkind.Kind]int
	// RefusalAnswers counts the refusals among all answers, by kind.
	RefusalAnswers map[errkind.Kind]int
	// Unanswered counts the requests without a complete answer whose last answer, if any, was
	// no refusal.
	Unanswered int
	// WastedTokens is the number of chat tokens that upstreams ran beyond one complete run per
	// request, over all its IDs. It is negative if runs were aborted.
	WastedTokens int64
	// PromptTokens counts the prompt tokens of all finished runs, and CachedTokens those that
	// the engines had cached.
	PromptTokens int64
	CachedTokens int64
	// Examples describes up to maxExamples violations.
	Examples []string
}

// FalseRefusalRatio returns the share of requests that were falsely refused.
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

// PrefixHitRatio returns the share of prompt tokens that were cached.
func (f *Findings) PrefixHitRatio() float64 {
	return float64(f.CachedTokens) / float64(max(1, f.PromptTokens))
}

// HasViolations reports whether a guarantee that must always hold was violated.
func (f *Findings) HasViolations() bool {
	return f.OverspendTokens != 0 || f.DoubleRuns != 0 || f.DoubleBills != 0 || f.UnbilledRuns != 0 ||
		f.UntrueNotRun != 0 || f.WrongAnswers != 0 || f.NewWorkAfterLeaving != 0
}

// Check audits the evidence and returns the findings.
func Check(e *Evidence) *Findings {
	a := newAuditor(e)
	f := &a.findings
	f.Requests = len(e.Requests)
	for i := range e.Requests {
		a.checkRequest(&e.Requests[i])
	}
	f.OverspendTokens = a.overspendTokens()
	for i := range e.Truth {
		r := &e.Truth[i]
		if isStart(r) && r.AfterLeavingMS > e.LeaveLimitMS {
			f.NewWorkAfterLeaving++
		}
	}
	return f
}
