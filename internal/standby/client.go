package standby

import (
	"context"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/timing"
)

// connectionPollInterval is the interval at which a pending command checks whether the
// control group is still reachable.
const connectionPollInterval = 50 * time.Millisecond

// Store persists journal records. Append returns once the records are durable.
type Store interface {
	Append(session string, records []Record) error
}

// Options configures a Client.
type Options struct {
	// ControlGroup executes the commands while the control group is reachable.
	ControlGroup controlapi.Client
	// Session returns the ID of the host's current session; empty while none is open.
	Session func() string
	// Connected reports whether the control group is reachable.
	Connected func() bool
	// Store persists the journal. If it is nil, nothing is served while the control group is
	// unreachable.
	Store Store
	// Journals equals Store if the journal is on this host's disk; nil otherwise.
	Journals *Journals
	// GrantHorizon is the time for which a grant should cover the demand.
	GrantHorizon time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Client executes the request path's commands in the control group, or against standby
// grants while the control group is unreachable. It implements controlapi.Client.
type Client struct {
	options Options
	mu      sync.Mutex
	// current is the ledger of the current session. retiring holds the ledgers of earlier
	// sessions until their grants are returned.
	current  *ledger
	retiring []*ledger
	// deferred holds the settlements that are durable in the journal but not yet settled in
	// the control group, by request ID.
	deferred map[string]*deferredSettlement
	// demands holds the recent demand by budget.
	demands map[string]*demand
	// abandonedBegins holds the Begins that may have reached the control group and whose
	// requests this host has released.
	abandonedBegins []*controlapi.Command
}

// deferredSettlement is a settlement to send once the control group is reachable.
type deferredSettlement struct {
	session string
	request *controlapi.SettleRequest
}

var _ controlapi.Client = (*Client)(nil)

// New returns a client. It recovers the journals that earlier sessions left on this host's
// disk.
func New(o Options) (*Client, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	c := &Client{
		options:  o,
		current:  newLedger(""),
		deferred: make(map[string]*deferredSettlement),
		demands:  make(map[string]*demand),
	}
	return c, c.recoverJournals()
}

// recoverJournals recovers the sessions that have a journal on this host's disk.
func (c *Client) recoverJournals() error {
	if c.options.Journals == nil {
		return nil
	}
	sessions, err := c.options.Journals.Sessions()
	if err != nil {
		return err
	}
	for _, session := range sessions {
		records, err := c.options.Journals.Read(session)
		if err != nil {
			return err
		}
		c.recoverSession(session, records)
	}
	return nil
}

// recoverSession adds a retiring ledger and the deferred settlements from a session's journal.
func (c *Client) recoverSession(session string, records []Record) {
	var entries []*controlapi.JournalEntry
	for _, r := range records {
		if r.Entry != nil {
			entries = append(entries, r.Entry)
		}
		if r.Settle != nil {
			c.deferred[r.Settle.RequestID] = &deferredSettlement{session: session, request: r.Settle}
		}
	}
	c.retiring = append(c.retiring, recoveredLedger(session, entries))
}

// Query implements controlapi.Client.
func (c *Client) Query(ctx context.Context, req *controlapi.QueryRequest) (*controlapi.QueryReply, error) {
	return c.options.ControlGroup.Query(ctx, req)
}

// Execute implements controlapi.Client. Requests that were begun from a grant are settled
// or released in their ledger; everything else goes to the control group while it is
// reachable.
func (c *Client) Execute(ctx context.Context, cmd *controlapi.Command) (*controlapi.Result, error) {
	switch {
	case cmd.Begin != nil:
		return c.begin(ctx, cmd)
	case cmd.Settle != nil:
		return c.settle(ctx, cmd)
	case cmd.Release != nil && c.release(cmd.Release):
		return &controlapi.Result{}, nil
	case cmd.Dispatch != nil && c.owningLedger(cmd.Dispatch.RequestID, cmd.Dispatch.Attempt) != nil:
		return &controlapi.Result{}, nil
	}
	return c.options.ControlGroup.Execute(ctx, cmd)
}

// begin begins a request in the control group, or from a grant if the control group is
// unreachable. A request whose Begin may have reached the control group may be begun from a
// grant too: the merge charges it once, and the control group's reservation is freed by the
// merge or by releaseAbandonedBegins.
func (c *Client) begin(ctx context.Context, cmd *controlapi.Command) (*controlapi.Result, error) {
	if reply := c.localReply(cmd.Begin); reply != nil {
		return reply, nil
	}
	if !c.options.Connected() {
		if reply, err := c.beginLocal(cmd.Begin, nil); err == nil {
			return &controlapi.Result{Begin: reply}, nil
		}
	}
	result, err := c.executeWhileConnected(ctx, cmd)
	if err == nil && result.Err == nil {
		c.recordDemand(cmd.Begin)
	}
	if err == nil || ctx.Err() != nil || c.options.Connected() {
		return result, err
	}
	reply, localErr := c.beginLocal(cmd.Begin, cmd)
	if localErr != nil {
		return nil, err
	}
	return &controlapi.Result{Begin: reply}, nil
}

// executeWhileConnected executes a command in the control group and cancels it when the
// control group becomes unreachable.
func (c *Client) executeWhileConnected(ctx context.Context, cmd *controlapi.Command) (*controlapi.Result, error) {
	if c.options.Store == nil || !c.options.Connected() {
		return c.options.ControlGroup.Execute(ctx, cmd)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go timing.EveryUntil(ctx, connectionPollInterval, func() bool {
		if c.options.Connected() {
			return true
		}
		cancel()
		return false
	})
	return c.options.ControlGroup.Execute(ctx, cmd)
}

// localReply returns the result of beginning a request that is in flight or unmerged in a
// ledger of this host; nil for any other request.
func (c *Client) localReply(b *controlapi.BeginRequest) *controlapi.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.ledgers() {
		if l.unmergedByRequest[b.RequestID] == nil && l.inFlight[b.RequestID] == nil {
			continue
		}
		reply, err := l.begin(b)
		if err != nil {
			return &controlapi.Result{Err: errkind.From(err)}
		}
		return &controlapi.Result{Begin: reply}
	}
	return nil
}

// ledgers returns the current and the retiring ledgers. The caller must hold c.mu.
func (c *Client) ledgers() []*ledger {
	return append([]*ledger{c.current}, c.retiring...)
}

// beginLocal begins a request from the current session's grant. sent is its Begin if that
// may have reached the control group.
func (c *Client) beginLocal(b *controlapi.BeginRequest, sent *controlapi.Command) (*controlapi.BeginReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.options.Store == nil || c.current.session == "" || c.current.session != b.Session {
		return nil, errkind.New(errkind.ControlUnavailable, "this host has no standby grant in the session of the request")
	}
	if c.deferred[b.RequestID] != nil {
		return nil, errkind.New(errkind.ControlUnavailable, "the settlement of the request has not reached the control group yet")
	}
	reply, err := c.current.begin(b)
	if err == nil && reply.Status == controlapi.BeginStarted {
		c.current.inFlight[b.RequestID].sentBegin = sent
	}
	return reply, err
}

// owningLedger returns the ledger in which the request is in flight under this attempt; nil
// if there is none.
func (c *Client) owningLedger(requestID string, attempt uint32) *ledger {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owningLedgerLocked(requestID, attempt)
}

func (c *Client) owningLedgerLocked(requestID string, attempt uint32) *ledger {
	for _, l := range c.ledgers() {
		if l.hasAttempt(requestID, attempt) {
			return l
		}
	}
	return nil
}

// release releases a request that is in flight in a ledger; it returns false for any other.
func (c *Client) release(r *controlapi.ReleaseRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.owningLedgerLocked(r.RequestID, r.Attempt)
	if l == nil {
		return false
	}
	if sent := l.inFlight[r.RequestID].sentBegin; sent != nil {
		c.abandonedBegins = append(c.abandonedBegins, sent)
	}
	l.release(r.RequestID)
	return true
}

// settle settles a request and makes its charge durable in the control group or in the
// journal.
func (c *Client) settle(ctx context.Context, cmd *controlapi.Command) (*controlapi.Result, error) {
	s := cmd.Settle
	if result, err := c.settleLocal(s); result != nil || err != nil {
		return result, err
	}
	if c.options.Connected() || c.options.Store == nil || s.Unknown {
		result, err := c.executeWhileConnected(ctx, cmd)
		if err == nil || ctx.Err() != nil || c.options.Store == nil || c.options.Connected() || s.Unknown {
			return result, err
		}
	}
	return c.deferSettlement(s)
}

// settleLocal charges a request that is in flight in a ledger; it returns nil for any other.
func (c *Client) settleLocal(s *controlapi.SettleRequest) (*controlapi.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.owningLedgerLocked(s.RequestID, s.Attempt)
	if l == nil {
		return nil, nil
	}
	e := l.settle(s.RequestID, s.Tokens, s.Partial)
	if err := c.options.Store.Append(l.session, l.nonDurableRecords()); err != nil {
		return nil, errkind.New(errkind.StorageFailed, "the charge is not durable: %v", err).WithOutcome(errkind.Ran)
	}
	l.lastDurable = l.lastSequence
	return &controlapi.Result{Settled: e.Tokens}, nil
}

// deferSettlement journals the settlement of a request that was begun in the control group,
// to be sent once the control group is reachable again. If another host takes over the
// request in the meantime, the first settlement to arrive is charged.
func (c *Client) deferSettlement(settle *controlapi.SettleRequest) (*controlapi.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := *settle
	s.Delivered = !s.Partial
	if err := c.options.Store.Append(c.current.session, []Record{{Settle: &s}}); err != nil {
		return nil, errkind.New(errkind.ControlUnavailable, "the charge is not durable: %v", err)
	}
	c.deferred[s.RequestID] = &deferredSettlement{session: c.current.session, request: &s}
	return &controlapi.Result{Settled: s.Tokens}, nil
}

// recordDemand adds a repeatable request to the demand of its budget. Other requests are
// not served from grants.
func (c *Client) recordDemand(b *controlapi.BeginRequest) {
	if !b.Repeatable {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.demands[b.Budget]
	if !ok {
		d = &demand{}
		c.demands[b.Budget] = d
	}
	d.record(b.Tokens, c.options.Now())
}

// HasUnmerged reports whether the host has requests in flight from grants, or charges or
// settlements that have not reached the control group yet.
func (c *Client) HasUnmerged() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.ledgers() {
		if !l.idle() {
			return true
		}
	}
	return len(c.deferred) > 0
}
