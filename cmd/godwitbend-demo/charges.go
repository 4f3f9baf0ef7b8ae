package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/fake"
)

// compareCharges checks that the charged tokens equal the usage that answers reported to
// callers and the tokens that the upstreams executed, and do not exceed the tokens paid in.
func (d *demo) compareCharges(ctx context.Context) error {
	status, err := d.budgetStatus(ctx)
	if err != nil {
		return err
	}
	executed, err := d.executedTokens(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("    paid in %d, charged %d, reserved %d; executed by upstreams %d, reported to callers %d\n",
		status.PaidIn, status.Charged, status.Reserved, executed, d.reportedTokens)
	switch {
	case status.PaidIn != paidInTokens:
		return fmt.Errorf("paid in %d tokens, want %d", status.PaidIn, paidInTokens)
	case status.Charged != executed || status.Charged != d.reportedTokens:
		return fmt.Errorf("charged %d tokens, upstreams executed %d, reported to callers %d", status.Charged, executed, d.reportedTokens)
	case status.Charged > status.PaidIn:
		return fmt.Errorf("charged %d tokens, more than the %d paid in", status.Charged, status.PaidIn)
	case status.Reserved != 0:
		return fmt.Errorf("%d tokens are still reserved", status.Reserved)
	}
	return nil
}

func (d *demo) budgetStatus(ctx context.Context) (*controlapi.BudgetStatus, error) {
	out, err := d.fleet.Ctl(ctx, d.fleet.Hosts[1], "usage", "-o", "json")
	if err != nil {
		return nil, err
	}
	var reply controlapi.QueryReply
	if err := json.Unmarshal(out, &reply); err != nil {
		return nil, fmt.Errorf("decode %q: %w", out, err)
	}
	for i := range reply.Budgets {
		if reply.Budgets[i].Budget == budgetName {
			return &reply.Budgets[i], nil
		}
	}
	return nil, fmt.Errorf("budget %s is missing in %s", budgetName, out)
}

// executedTokens returns the tokens of all requests that the upstreams executed, by their
// own ground truth.
func (d *demo) executedTokens(ctx context.Context) (int64, error) {
	var sum int64
	chats, err := d.fleet.GroundTruth(ctx, d.engine)
	if err != nil {
		return 0, err
	}
	for _, r := range chats {
		if r.Event != fake.TruthStarted {
			sum += r.PromptTokens + r.OutputTokens
		}
	}
	calls, err := d.fleet.GroundTruth(ctx, d.numberService)
	if err != nil {
		return 0, err
	}
	return sum + int64(len(calls))*numberingTokens, nil
}
