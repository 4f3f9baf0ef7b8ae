package standby

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// maintenanceInterval is the time between two rounds of maintenance.
	maintenanceInterval = time.Second
	// maintenanceTimeout bounds one round of maintenance.
	maintenanceTimeout = 5 * time.Second
	// maxMergeBatch bounds the entries of one merge command.
	maxMergeBatch = 1000
	// hysteresisFactor is the factor by which a grant may exceed its target before tokens are
	// returned, or fall below it before tokens are requested.
	hysteresisFactor = 2
)

// Run adjusts the grants to the demand and merges journals until ctx ends.
func (c *Client) Run(ctx context.Context) {
	timing.Every(ctx, maintenanceInterval, func() { c.maintain(ctx, false) })
}

// Close merges the remaining entries and returns all grants. Run must have returned and no
// request may be in flight.
func (c *Client) Close(ctx context.Context) {
	c.maintain(ctx, true)
}

// maintain runs one round of maintenance if the control group is reachable. The next round
// repeats what failed.
func (c *Client) maintain(ctx context.Context, closing bool) {
	if !c.options.Connected() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	c.switchLedger(c.options.Session(), closing)
	err := c.sendDeferredSettlements(ctx)
	if err == nil {
		err = c.mergeLedgers(ctx)
	}
	if err == nil {
		err = c.releaseAbandonedBegins(ctx)
	}
	if err == nil {
		err = c.returnRetiringGrants(ctx)
	}
	if err == nil && !closing {
		err = c.adjustGrants(ctx)
	}
	if err != nil {
		klog.InfoS("failed to maintain standby grants", "error", err.Error())
	}
}

// switchLedger retires the current ledger and starts a new one if the session has changed
// or the client is closing.
func (c *Client) switchLedger(session string, closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.session == session && !closing {
		return
	}
	if c.current.session != "" {
		c.retiring = append(c.retiring, c.current)
	}
	if closing {
		session = ""
	}
	c.current = newLedger(session)
}

// execute executes a command in the control group and returns a refusal as an error.
func (c *Client) execute(ctx context.Context, cmd *controlapi.Command) (*controlapi.Result, error) {
	result, err := c.options.ControlGroup.Execute(ctx, cmd)
	if err == nil && result.Err != nil {
		return result, result.Err
	}
	return result, err
}

// returnRetiringGrants returns the grants of the retiring ledgers that are idle and removes
// these ledgers.
func (c *Client) returnRetiringGrants(ctx context.Context) error {
	c.mu.Lock()
	retiring := slices.Clone(c.retiring)
	c.mu.Unlock()
	for _, l := range retiring {
		done, err := c.returnLedgerGrants(ctx, l)
		if err != nil {
			return err
		}
		if done {
			c.removeRetiring(l)
		}
	}
	return nil
}

// returnLedgerGrants returns all grants of a ledger; false if the ledger is not idle.
func (c *Client) returnLedgerGrants(ctx context.Context, l *ledger) (bool, error) {
	c.mu.Lock()
	idle := l.idle()
	budgets := make([]string, 0, len(l.grants))
	for budget := range l.grants {
		budgets = append(budgets, budget)
	}
	c.mu.Unlock()
	if !idle {
		return false, nil
	}
	for _, budget := range budgets {
		if err := c.returnGrant(ctx, l, budget, l.session, allTokens); err != nil {
			return false, err
		}
	}
	return true, nil
}

// allTokens makes returnGrant return all available tokens.
const allTokens = int64(1) << 62

// returnGrant returns up to tokens of the available tokens of a grant to the control group.
func (c *Client) returnGrant(ctx context.Context, l *ledger, budget, session string, tokens int64) error {
	c.mu.Lock()
	total, send := l.prepareReturn(budget, tokens)
	c.mu.Unlock()
	if !send {
		return nil
	}
	cmd := &controlapi.Command{ReturnGrant: &controlapi.ReturnGrantRequest{Session: session, Budget: budget, Total: total}}
	_, err := c.execute(ctx, cmd)
	if errkind.Is(err, errkind.NotFound) {
		return nil
	}
	return err
}

// removeRetiring removes a retiring ledger, and its journal unless it holds settlements that
// are still deferred.
func (c *Client) removeRetiring(l *ledger) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retiring = slices.DeleteFunc(c.retiring, func(r *ledger) bool { return r == l })
	for _, d := range c.deferred {
		if d.session == l.session {
			return
		}
	}
	if c.options.Journals == nil {
		return
	}
	if err := c.options.Journals.Remove(l.session); err != nil {
		klog.ErrorS(err, "failed to remove journal", "session", l.session)
	}
}
