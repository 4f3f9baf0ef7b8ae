package standby

import (
	"context"
	"slices"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// sendDeferredSettlements sends the deferred settlements to the control group. A refusal
// means that the request is already settled or superseded there.
func (c *Client) sendDeferredSettlements(ctx context.Context) error {
	c.mu.Lock()
	deferred := make([]*deferredSettlement, 0, len(c.deferred))
	for _, d := range c.deferred {
		deferred = append(deferred, d)
	}
	c.mu.Unlock()
	for _, d := range deferred {
		_, err := c.execute(ctx, &controlapi.Command{Settle: d.request})
		if ignoreRefusal(err) != nil {
			return err
		}
		c.mu.Lock()
		delete(c.deferred, d.request.RequestID)
		c.mu.Unlock()
	}
	return nil
}

// releaseAbandonedBegins frees the control group's reservations for requests whose Begin
// got no reply and which this host has released. Records that were settled or taken over in
// the meantime are left unchanged.
func (c *Client) releaseAbandonedBegins(ctx context.Context) error {
	c.mu.Lock()
	abandoned := c.abandonedBegins
	c.abandonedBegins = nil
	c.mu.Unlock()
	for i, begin := range abandoned {
		if err := c.releaseAbandonedBegin(ctx, begin); err != nil {
			c.mu.Lock()
			c.abandonedBegins = append(c.abandonedBegins, abandoned[i:]...)
			c.mu.Unlock()
			return err
		}
	}
	return nil
}

// releaseAbandonedBegin repeats the Begin to learn its attempt, and releases that attempt.
func (c *Client) releaseAbandonedBegin(ctx context.Context, begin *controlapi.Command) error {
	result, err := c.execute(ctx, begin)
	if err != nil {
		return ignoreRefusal(err)
	}
	if result.Begin.Status != controlapi.BeginStarted && result.Begin.Status != controlapi.BeginTakenOver {
		return nil
	}
	_, err = c.execute(ctx, &controlapi.Command{Release: &controlapi.ReleaseRequest{
		RequestID: begin.Begin.RequestID, Attempt: result.Begin.Attempt, MayHaveRun: true,
	}})
	return ignoreRefusal(err)
}

// ignoreRefusal returns err if the control group was unavailable, and nil for a refusal.
func ignoreRefusal(err error) error {
	if err == nil || errkind.Is(err, errkind.ControlUnavailable) || errkind.From(err).Kind == errkind.Internal {
		return err
	}
	return nil
}

// mergeLedgers merges the unmerged entries of each ledger and updates the ledgers' grants to
// the resulting statuses.
func (c *Client) mergeLedgers(ctx context.Context) error {
	c.mu.Lock()
	ledgers := c.ledgers()
	c.mu.Unlock()
	merged := make(map[*ledger]uint64, len(ledgers))
	for _, l := range ledgers {
		last, err := c.mergeLedger(ctx, l)
		if err != nil {
			return err
		}
		merged[l] = last
	}
	sessions := c.sessionsWithGrants(ledgers)
	if len(sessions) == 0 {
		return nil
	}
	reply, err := c.options.ControlGroup.Query(ctx, &controlapi.QueryRequest{Grants: true, Only: sessions})
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

// sessionsWithGrants returns the sessions whose grants are to be queried: those of retiring
// ledgers, and the current one if it has grants.
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

// mergeLedger sends the unmerged entries of l and returns the sequence number of the last
// one merged.
func (c *Client) mergeLedger(ctx context.Context, l *ledger) (uint64, error) {
	c.mu.Lock()
	var entries []controlapi.JournalEntry
	for _, e := range l.unmerged {
		entries = append(entries, *e)
	}
	c.mu.Unlock()
	var last uint64
	for batch := range slices.Chunk(entries, maxMergeBatch) {
		cmd := &controlapi.Command{MergeJournal: &controlapi.MergeJournalRequest{Session: l.session, Entries: batch}}
		result, err := c.execute(ctx, cmd)
		if errkind.Is(err, errkind.NotFound) {
			klog.InfoS("dropped journal of a session without grants", "session", l.session, "entries", len(batch))
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
