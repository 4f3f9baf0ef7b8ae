package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/fake"
)

// compareBill checks that the budget was charged what the callers were told and
// what the upstreams say they ran, and no more than was paid in.
func (d *demo) compareBill(ctx context.Context) error {
	status, err := d.budgetStatus(ctx)
	if err != nil {
		return err
	}
	ran, err := d.ranTokens(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("    paid in %d, charged %d, reserved %d; upstreams ran %d, callers were told %d\n",
		status.PaidIn, status.Charged, status.Reserved, ran, d.billed)
	switch {
	case status.PaidIn != paidIn:
		return fmt.Errorf("paid in %d, not %d", status.PaidIn, paidIn)
	case status.Charged != ran || status.Charged != d.billed:
		return fmt.Errorf("charged %d, ran %d, told %d", status.Charged, ran, d.billed)
	case status.Charged > status.PaidIn:
		return fmt.Errorf("charged %d of %d", status.Charged, status.PaidIn)
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
		if reply.Budgets[i].Budget == budget {
			return &reply.Budgets[i], nil
		}
	}
	return nil, fmt.Errorf("no budget %s in %s", budget, out)
}

// ranTokens returns the tokens of all that the upstreams ran.
func (d *demo) ranTokens(ctx context.Context) (int64, error) {
	var sum int64
	chats, err := d.fleet.Truth(ctx, d.engine)
	if err != nil {
		return 0, err
	}
	for _, r := range chats {
		if r.Event != fake.TruthStarted {
			sum += r.PromptTokens + r.OutputTokens
		}
	}
	calls, err := d.fleet.Truth(ctx, d.series)
	if err != nil {
		return 0, err
	}
	return sum + int64(len(calls))*numberingTokens, nil
}
