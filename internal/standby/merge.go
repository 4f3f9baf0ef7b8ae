package standby

import (
	"context"
	"slices"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

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
		if onlyUnavailable(err) != nil {
			return err
		}
		c.mu.Lock()
		delete(c.deferred, d.settle.RequestID)
		c.mu.Unlock()
	}
	return nil
}

// abandonBegins frees what the group reserved for requests that were begun there
// without an answer, and were released here. A record that was settled or taken
// over since is left alone.
func (c *Client) abandonBegins(ctx context.Context) error {
	c.mu.Lock()
	waiting := c.abandoned
	c.abandoned = nil
	c.mu.Unlock()
	for i, begin := range waiting {
		if err := c.abandonBegin(ctx, begin); err != nil {
			c.mu.Lock()
			c.abandoned = append(c.abandoned, waiting[i:]...)
			c.mu.Unlock()
			return err
		}
	}
	return nil
}

// abandonBegin sends the Begin again to learn its attempt, and releases that.
func (c *Client) abandonBegin(ctx context.Context, begin *controlapi.Command) error {
	result, err := c.execute(ctx, begin)
	if err != nil {
		return onlyUnavailable(err)
	}
	if result.Begin.Status != controlapi.BeginStarted && result.Begin.Status != controlapi.BeginTakenOver {
		return nil
	}
	_, err = c.execute(ctx, &controlapi.Command{Release: &controlapi.ReleaseRequest{
		RequestID: begin.Begin.RequestID, Attempt: result.Begin.Attempt, MayHaveRun: true,
	}})
	return onlyUnavailable(err)
}

// onlyUnavailable returns err if the group did not answer, and nil for a refusal.
func onlyUnavailable(err error) error {
	if err == nil || errkind.Is(err, errkind.ControlUnavailable) || errkind.From(err).Kind == errkind.Internal {
		return err
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
