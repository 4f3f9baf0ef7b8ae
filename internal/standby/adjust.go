package standby

import (
	"context"
	"maps"
	"slices"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// adjust brings the grants of the present session towards their targets.
func (c *Client) adjust(ctx context.Context) error {
	if c.o.Store == nil {
		return nil
	}
	budgets := c.wanted()
	if len(budgets) == 0 {
		return nil
	}
	reply, err := c.o.Group.Query(ctx, &controlapi.QueryRequest{Budgets: true, Only: budgets})
	if err != nil {
		return err
	}
	for _, b := range reply.Budgets {
		if err := c.adjustBudget(ctx, b); err != nil {
			return err
		}
	}
	return nil
}

// wanted returns the budgets that have demand here or of which the host holds a grant.
func (c *Client) wanted() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make(map[string]bool)
	for name, d := range c.demands {
		if d.decay(c.o.Now()); d.rate == 0 {
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

func (c *Client) adjustBudget(ctx context.Context, b controlapi.BudgetStatus) error {
	c.mu.Lock()
	l := c.current
	target, held, granted := c.targetOf(l, b)
	c.mu.Unlock()
	switch {
	case l.session == "":
		return nil
	case held > slack*target:
		return c.giveBack(ctx, l, b.Budget, l.session, held-target)
	case held < target/slack:
		return c.ask(ctx, l, b.Budget, granted+target-held)
	}
	return nil
}

// targetOf returns the grant that the host should hold of a budget, what it
// holds, and the sum of all that it was ever granted.
func (c *Client) targetOf(l *ledger, b controlapi.BudgetStatus) (target, held, granted int64) {
	if g, ok := l.grants[b.Budget]; ok {
		held = max(0, l.available(b.Budget))
		granted = g.status.Granted
	}
	if d, ok := c.demands[b.Budget]; ok {
		left := b.PaidIn - b.Charged - b.Reserved - b.Granted + held
		target = d.target(left, c.o.Horizon, c.o.Now())
	}
	return target, held, granted
}

// ask requests a grant. The journal of the session exists before, so that a
// restart of this host knows what it must give back.
func (c *Client) ask(ctx context.Context, l *ledger, budget string, total int64) error {
	if err := c.o.Store.Append(l.session, nil); err != nil {
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
