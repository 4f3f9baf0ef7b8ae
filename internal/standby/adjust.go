package standby

import (
	"context"
	"maps"
	"slices"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// adjustGrants adjusts the current session's grants towards their targets.
func (c *Client) adjustGrants(ctx context.Context) error {
	if c.options.Store == nil {
		return nil
	}
	budgets := c.relevantBudgets()
	if len(budgets) == 0 {
		return nil
	}
	reply, err := c.options.ControlGroup.Query(ctx, &controlapi.QueryRequest{Budgets: true, Only: budgets})
	if err != nil {
		return err
	}
	for _, b := range reply.Budgets {
		if err := c.adjustGrant(ctx, b); err != nil {
			return err
		}
	}
	return nil
}

// relevantBudgets returns the budgets with recent demand on this host and those of which it
// holds a grant.
func (c *Client) relevantBudgets() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make(map[string]bool)
	for name, d := range c.demands {
		if d.decay(c.options.Now()); d.rate == 0 {
			delete(c.demands, name)
			continue
		}
		names[name] = true
	}
	for name, g := range c.current.grants {
		if g.status.Outstanding > 0 {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// adjustGrant requests or returns tokens of one grant if it is off target by more than
// hysteresisFactor.
func (c *Client) adjustGrant(ctx context.Context, b controlapi.BudgetStatus) error {
	c.mu.Lock()
	l := c.current
	target, held, granted := c.grantTarget(l, b)
	c.mu.Unlock()
	switch {
	case l.session == "":
		return nil
	case held > hysteresisFactor*target:
		return c.returnGrant(ctx, l, b.Budget, l.session, held-target)
	case held < target/hysteresisFactor:
		return c.requestGrant(ctx, l, b.Budget, granted+target-held)
	}
	return nil
}

// grantTarget returns the tokens that the host's grant of a budget should hold, the tokens
// that it holds, and the total ever granted to the session.
func (c *Client) grantTarget(l *ledger, b controlapi.BudgetStatus) (target, held, granted int64) {
	if g, ok := l.grants[b.Budget]; ok {
		held = max(0, l.available(b.Budget))
		granted = g.status.Granted
	}
	if d, ok := c.demands[b.Budget]; ok {
		unused := b.PaidIn - b.Charged - b.Reserved - b.Granted + held
		target = d.target(unused, c.options.GrantHorizon, c.options.Now())
	}
	return target, held, granted
}

// requestGrant requests a grant. It first creates the session's journal, so that the host
// knows after a restart that it has grants of this session to return.
func (c *Client) requestGrant(ctx context.Context, l *ledger, budget string, total int64) error {
	if err := c.options.Store.Append(l.session, nil); err != nil {
		return err
	}
	cmd := &controlapi.Command{Grant: &controlapi.GrantRequest{Session: l.session, Budget: budget, Total: total}}
	result, err := c.execute(ctx, cmd)
	if errkind.Is(err, errkind.BudgetExhausted) || errkind.Is(err, errkind.BudgetReserved) || errkind.Is(err, errkind.NotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	l.grant(budget).status = *result.Grant
	return nil
}
