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
	// maintainInterval is the time between two rounds of maintenance.
	maintainInterval = time.Second
	// roundTimeout bounds one round.
	roundTimeout = 5 * time.Second
	// mergeBatch bounds the entries of one merge.
	mergeBatch = 1000
	// slack is the factor by which a grant may exceed its target before some is returned.
	slack = 2
)

// Run keeps the grants in step with the demand and merges journals until ctx ends.
func (c *Client) Run(ctx context.Context) {
	timing.Every(ctx, maintainInterval, func() { c.round(ctx, false) })
}

// Close merges what is left and returns all grants. Run must have returned and
// no request may be open.
func (c *Client) Close(ctx context.Context) {
	c.round(ctx, true)
}

// round does one round of maintenance; a failed one is made good by the next.
func (c *Client) round(ctx context.Context, closing bool) {
	if !c.o.Connected() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	c.follow(c.o.Session(), closing)
	err := c.flushDeferred(ctx)
	if err == nil {
		err = c.mergeAll(ctx)
	}
	if err == nil {
		err = c.abandonBegins(ctx)
	}
	if err == nil {
		err = c.giveBackRetired(ctx)
	}
	if err == nil && !closing {
		err = c.adjust(ctx)
	}
	if err != nil {
		klog.InfoS("standby grants not maintained", "error", err.Error())
	}
}

// follow retires the ledger of an earlier session.
func (c *Client) follow(session string, closing bool) {
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

// execute returns the refusal of a command as an error.
func (c *Client) execute(ctx context.Context, cmd *controlapi.Command) (*controlapi.Result, error) {
	result, err := c.o.Group.Execute(ctx, cmd)
	if err == nil && result.Err != nil {
		return result, result.Err
	}
	return result, err
}

// giveBackRetired returns the grants of ledgers that are idle, and forgets the
// ledgers that hold nothing more.
func (c *Client) giveBackRetired(ctx context.Context) error {
	c.mu.Lock()
	retiring := slices.Clone(c.retiring)
	c.mu.Unlock()
	for _, l := range retiring {
		done, err := c.retire(ctx, l)
		if err != nil {
			return err
		}
		if done {
			c.forget(l)
		}
	}
	return nil
}

func (c *Client) retire(ctx context.Context, l *ledger) (bool, error) {
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
		if err := c.giveBack(ctx, l, budget, l.session, maxTokens); err != nil {
			return false, err
		}
	}
	return true, nil
}

// maxTokens stands for all that is available.
const maxTokens = int64(1) << 62

// giveBack returns up to tokens of a grant.
func (c *Client) giveBack(ctx context.Context, l *ledger, budget, session string, tokens int64) error {
	c.mu.Lock()
	total, send := l.giveBack(budget, tokens)
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

func (c *Client) forget(l *ledger) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retiring = slices.DeleteFunc(c.retiring, func(r *ledger) bool { return r == l })
	for _, d := range c.deferred {
		if d.session == l.session {
			return
		}
	}
	if c.o.Journals == nil {
		return
	}
	if err := c.o.Journals.Remove(l.session); err != nil {
		klog.ErrorS(err, "journal not removed", "session", l.session)
	}
}
