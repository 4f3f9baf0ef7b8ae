package standby

import (
	"context"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/timing"
)

// connectedPoll is the time between two looks whether the group still answers.
const connectedPoll = 50 * time.Millisecond

// Store makes the records of a session durable before Append returns.
type Store interface {
	Append(session string, records []Record) error
}

// Options configure a Client.
type Options struct {
	// Group is the control group.
	Group controlapi.Client
	// Session returns the host's present session; empty while none is open.
	Session func() string
	// Connected tells whether the control group answered lately.
	Connected func() bool
	// Store keeps the journal; nil means that nothing is served without the group.
	Store Store
	// Journals is Store if it is on this host's own disk; nil otherwise.
	Journals *Journals
	// Horizon is the time for which a grant should last.
	Horizon time.Duration
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// Client is the control group for the traffic path, with the standby grants
// behind it. It implements controlapi.Client.
type Client struct {
	o  Options
	mu sync.Mutex
	// current is the ledger of the present session; retiring holds those of
	// earlier sessions until their grants are given back.
	current  *ledger
	retiring []*ledger
	// deferred holds settlements that are durable here but not yet with the group.
	deferred map[string]*deferredSettle
	demands  map[string]*demand
	// abandoned holds the Begins that may have reached the group and whose
	// requests were released here.
	abandoned []*controlapi.Command
}

type deferredSettle struct {
	session string
	settle  *controlapi.SettleRequest
}

var _ controlapi.Client = (*Client)(nil)

// New returns a client, with the journals that an earlier process left.
func New(o Options) (*Client, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	c := &Client{
		o:        o,
		current:  newLedger(""),
		deferred: make(map[string]*deferredSettle),
		demands:  make(map[string]*demand),
	}
	return c, c.recover()
}

// recover takes in the journals on this host's disk.
func (c *Client) recover() error {
	if c.o.Journals == nil {
		return nil
	}
	sessions, err := c.o.Journals.Sessions()
	if err != nil {
		return err
	}
	for _, session := range sessions {
		records, err := c.o.Journals.Read(session)
		if err != nil {
			return err
		}
		c.recoverSession(session, records)
	}
	return nil
}

func (c *Client) recoverSession(session string, records []Record) {
	var entries []*controlapi.JournalEntry
	for _, r := range records {
		if r.Entry != nil {
			entries = append(entries, r.Entry)
		}
		if r.Settle != nil {
			c.deferred[r.Settle.RequestID] = &deferredSettle{session: session, settle: r.Settle}
		}
	}
	c.retiring = append(c.retiring, recoveredLedger(session, entries))
}

// Query implements controlapi.Client.
func (c *Client) Query(ctx context.Context, req *controlapi.QueryRequest) (*controlapi.QueryReply, error) {
	return c.o.Group.Query(ctx, req)
}

// Execute implements controlapi.Client. Requests that were begun from a grant
// are settled or released there; all else goes to the group while it answers.
func (c *Client) Execute(ctx context.Context, cmd *controlapi.Command) (*controlapi.Result, error) {
	switch {
	case cmd.Begin != nil:
		return c.begin(ctx, cmd)
	case cmd.Settle != nil:
		return c.settle(ctx, cmd)
	case cmd.Release != nil && c.release(cmd.Release):
		return &controlapi.Result{}, nil
	case cmd.Dispatch != nil && c.owner(cmd.Dispatch.RequestID, cmd.Dispatch.Attempt) != nil:
		return &controlapi.Result{}, nil
	}
	return c.o.Group.Execute(ctx, cmd)
}

// begin goes to the group while it answers. A request whose Begin may have
// reached the group may be begun from a grant too: the merge bills it once, and
// what the group reserved for it is freed by the merge or by abandonBegins.
func (c *Client) begin(ctx context.Context, cmd *controlapi.Command) (*controlapi.Result, error) {
	if reply := c.unmerged(cmd.Begin); reply != nil {
		return reply, nil
	}
	if !c.o.Connected() {
		if reply, err := c.beginLocal(cmd.Begin, nil); err == nil {
			return &controlapi.Result{Begin: reply}, nil
		}
	}
	result, err := c.whileConnected(ctx, cmd)
	if err == nil && result.Err == nil {
		c.noteDemand(cmd.Begin)
	}
	if err == nil || ctx.Err() != nil || c.o.Connected() {
		return result, err
	}
	reply, localErr := c.beginLocal(cmd.Begin, cmd)
	if localErr != nil {
		return nil, err
	}
	return &controlapi.Result{Begin: reply}, nil
}

// whileConnected executes a command until the host finds that the group does
// not answer any more.
func (c *Client) whileConnected(ctx context.Context, cmd *controlapi.Command) (*controlapi.Result, error) {
	if c.o.Store == nil || !c.o.Connected() {
		return c.o.Group.Execute(ctx, cmd)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go timing.EveryUntil(ctx, connectedPoll, func() bool {
		if c.o.Connected() {
			return true
		}
		cancel()
		return false
	})
	return c.o.Group.Execute(ctx, cmd)
}

// unmerged answers for a request that was served from a grant and is not yet
// known to the group; nil for any other.
func (c *Client) unmerged(b *controlapi.BeginRequest) *controlapi.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.ledgers() {
		if l.charged[b.RequestID] == nil && l.open[b.RequestID] == nil {
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

func (c *Client) ledgers() []*ledger {
	return append([]*ledger{c.current}, c.retiring...)
}

// beginLocal begins a request from the grant. sent is its Begin if that may
// have reached the group.
func (c *Client) beginLocal(b *controlapi.BeginRequest, sent *controlapi.Command) (*controlapi.BeginReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.o.Store == nil || c.current.session == "" || c.current.session != b.Session {
		return nil, errkind.New(errkind.ControlUnavailable, "the host holds no standby grant")
	}
	if c.deferred[b.RequestID] != nil {
		return nil, errkind.New(errkind.ControlUnavailable, "the request is settled, but the control group does not know yet")
	}
	reply, err := c.current.begin(b)
	if err == nil && reply.Status == controlapi.BeginStarted {
		c.current.open[b.RequestID].sent = sent
	}
	return reply, err
}

// owner returns the ledger in which the request is open under this attempt.
func (c *Client) owner(requestID string, attempt uint32) *ledger {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownerLocked(requestID, attempt)
}

func (c *Client) ownerLocked(requestID string, attempt uint32) *ledger {
	for _, l := range c.ledgers() {
		if l.owns(requestID, attempt) {
			return l
		}
	}
	return nil
}

func (c *Client) release(r *controlapi.ReleaseRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.ownerLocked(r.RequestID, r.Attempt)
	if l == nil {
		return false
	}
	if sent := l.open[r.RequestID].sent; sent != nil {
		c.abandoned = append(c.abandoned, sent)
	}
	l.release(r.RequestID)
	return true
}

// settle makes the charge durable: in the group, or in the journal.
func (c *Client) settle(ctx context.Context, cmd *controlapi.Command) (*controlapi.Result, error) {
	s := cmd.Settle
	if result, err := c.settleLocal(s); result != nil || err != nil {
		return result, err
	}
	if c.o.Connected() || c.o.Store == nil || s.Unknown {
		result, err := c.whileConnected(ctx, cmd)
		if err == nil || ctx.Err() != nil || c.o.Store == nil || c.o.Connected() || s.Unknown {
			return result, err
		}
	}
	return c.deferSettle(s)
}

// settleLocal charges a request that is open in a ledger; it returns nil for any other.
func (c *Client) settleLocal(s *controlapi.SettleRequest) (*controlapi.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.ownerLocked(s.RequestID, s.Attempt)
	if l == nil {
		return nil, nil
	}
	e := l.settle(s.RequestID, s.Tokens, s.Partial)
	if err := c.o.Store.Append(l.session, l.pending()); err != nil {
		return nil, errkind.New(errkind.StorageFailed, "the charge is not durable: %v", err).WithOutcome(errkind.Ran)
	}
	l.durable = l.sequence
	return &controlapi.Result{Settled: e.Tokens}, nil
}

// deferSettle keeps the settlement of a request that the group holds open until
// the group answers again. If another host takes the request over meanwhile,
// the first settlement that arrives is billed.
func (c *Client) deferSettle(settle *controlapi.SettleRequest) (*controlapi.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := *settle
	s.Delivered = !s.Partial
	if err := c.o.Store.Append(c.current.session, []Record{{Settle: &s}}); err != nil {
		return nil, errkind.New(errkind.ControlUnavailable, "the charge is not durable: %v", err)
	}
	c.deferred[s.RequestID] = &deferredSettle{session: c.current.session, settle: &s}
	return &controlapi.Result{Settled: s.Tokens}, nil
}

func (c *Client) noteDemand(b *controlapi.BeginRequest) {
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
	d.note(b.Tokens, c.o.Now())
}

// Unmerged tells whether the host has served from its grants, or settled,
// what the control group does not know yet.
func (c *Client) Unmerged() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.ledgers() {
		if !l.idle() {
			return true
		}
	}
	return len(c.deferred) > 0
}
