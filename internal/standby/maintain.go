package standby

import (
	"context"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
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
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.round(ctx, false)
		}
	}
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

// flushDeferred sends the deferred settlements. One that the group refuses is
// settled or superseded there.
func (c *Client) flushDeferred(ctx context.Context) error {
	c.mu.Lock()
	waiting := make([]*deferredSettle, 0, len(c.deferred))
	for _, d := range c.deferred {
		waiting = append(waiting, d)
	}
	c.mu.Unlock()
	for _, d := range waiting {
		_, err := c.execute(ctx, &controlapi.Command{Settle: d.settle})
		if errkind.Is(err, errkind.ControlUnavailable) || err != nil && errkind.From(err).Kind == errkind.Internal {
			return err
		}
		c.mu.Lock()
		delete(c.deferred, d.settle.RequestID)
		c.mu.Unlock()
	}
	return nil
}

// mergeAll merges the journal of each ledger and takes in the grants as they are then.
func (c *Client) mergeAll(ctx context.Context) error {
	c.mu.Lock()
	ledgers := c.ledgers()
	c.mu.Unlock()
	merged := make(map[*ledger]uint64, len(ledgers))
	for _, l := range ledgers {
		last, err := c.merge(ctx, l)
		if err != nil {
			return err
		}
		merged[l] = last
	}
	sessions := c.sessionsWithGrants(ledgers)
	if len(sessions) == 0 {
		return nil
	}
	reply, err := c.o.Group.Query(ctx, &controlapi.QueryRequest{Grants: true, Only: sessions})
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for l, last := range merged {
		l.refresh(last, reply.Grants)
	}
	return nil
}

// sessionsWithGrants returns the sessions whose grants the group must be asked
// about: those that hold one, and those of earlier processes.
func (c *Client) sessionsWithGrants(ledgers []*ledger) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, l := range ledgers {
		if l.session != "" && (l != c.current || len(l.grants) > 0) {
			out = append(out, l.session)
		}
	}
	return out
}

// merge sends the unmerged entries of l and returns the sequence of the last one taken.
func (c *Client) merge(ctx context.Context, l *ledger) (uint64, error) {
	c.mu.Lock()
	var entries []controlapi.JournalEntry
	for _, e := range l.unmerged {
		entries = append(entries, *e)
	}
	c.mu.Unlock()
	var last uint64
	for batch := range slices.Chunk(entries, mergeBatch) {
		cmd := &controlapi.Command{MergeJournal: &controlapi.MergeJournalRequest{Session: l.session, Entries: batch}}
		result, err := c.execute(ctx, cmd)
		if errkind.Is(err, errkind.NotFound) {
			klog.InfoS("journal of a session without grants dropped", "session", l.session, "entries", len(batch))
			return batch[len(batch)-1].Sequence, nil
		}
		if err != nil {
			return 0, err
		}
		last = result.Merge.Merged
		klog.InfoS("journal merged", "session", l.session, "entries", len(batch), "charged", result.Merge.Charged)
	}
	return last, nil
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
