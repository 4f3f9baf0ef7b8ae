// Package hostsync synchronises a gateway host with the control group: it receives the
// configuration, the upstreams and the host's allowance, and reports token use, load and
// crashes. It also exchanges loads, tokens and spending ceilings with other gateway hosts.
package hostsync

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/crashcause"
	"github.com/godwitbend/godwitbend/internal/netconn"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/prepaid"
	"github.com/godwitbend/godwitbend/internal/retrylimit"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/rto"
	"github.com/godwitbend/godwitbend/internal/streamorigin"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// maxHostsPerCall is the number of control hosts that are tried in one call. Any
	// up-to-date one returns the address of the leader.
	maxHostsPerCall = 3
	// minCallTimeout and maxCallTimeout bound one call to a control host. Changes must be in
	// force within two seconds, so that a call that takes longer is of little use.
	minCallTimeout = 700 * time.Millisecond
	maxCallTimeout = 2 * time.Second
	// dialTimeout and unackedTimeout bound the time lost on an unreachable host.
	dialTimeout    = 120 * time.Millisecond
	unackedTimeout = time.Second
	// maxOpeningCalls is the number of calls to one control host in which a session has to be opened. Two are needed;
	// the others are for openings of earlier processes that arrive in between.
	maxOpeningCalls = 4
)

// Options are the settings of a Client.
type Options struct {
	// Host is the name of this host.
	Host string
	// Address is where other gateway hosts reach this one.
	Address string
	// Zone is the availability zone of this host.
	Zone string
	// Seeds returns the configured addresses of control hosts.
	Seeds func() []string
	// Decode decodes the content of a document.
	Decode func(content []byte) (*catalog.Document, error)
	// Pool receives the updates of the upstreams and their loads.
	Pool *placement.Pool
	// Retries bounds the retries of this host, which lends other hosts of its share; nil if it does not.
	Retries *retrylimit.Limiter
	// Clock returns the time since boot in nanoseconds.
	Clock func() int64
	// Boot identifies the boot of the machine that Clock counts from; 0 if it is not known.
	Boot uint64
}

// View is an immutable snapshot of the configuration and the fleet.
type View struct {
	Index *catalog.Index
	// Hosts is the number of gateway hosts.
	Hosts int
}

// Client synchronises one gateway host with the control group.
type Client struct {
	options      Options
	rpc          *rpc.Client
	opening      prepaid.SessionOpening
	allowance    *prepaid.Allowance
	witness      *prepaid.Witness
	traits       *crashcause.Host
	origins      *streamorigin.Table
	begunStreams streamorigin.Begun
	originAsker  *streamorigin.Asker
	tableCheck   tableCheck
	// resending lets one transfer of records run at a time, and originKeepers are the control hosts that
	// keep records; nil until the control group has named them.
	resending       sync.Mutex
	originKeepers   atomic.Pointer[controlKeepers]
	gossipConn      atomic.Pointer[net.UDPConn] // nil until Gossip runs
	gossipPlan      atomic.Pointer[gossipPlan]  // nil until the first list of gateway hosts
	view            atomic.Pointer[View]
	lastSync        atomic.Pointer[time.Time] // time of the latest successful call
	lastServedBy    atomic.Pointer[string]    // control host that answered it
	wake            chan struct{}
	sessionLost     chan struct{}
	sessionLostOnce sync.Once

	// The fields up to lastFullSync are used only by the goroutine of Run, and by Close
	// after Run has returned.
	sessionOpened bool
	// ticket is the one that the leader gave last for the opening of the session.
	ticket uint64
	// servedBy is the control host that answered the latest successful call; empty if that
	// failed.
	servedBy        string
	members         []string
	controlHosts    controlHosts
	callTimeout     *rto.Estimator
	transferTimeout *rto.Estimator
	documentVersion uint64
	epoch           uint64
	revision        uint64
	peersRevision   uint64
	// peersEpoch is the epoch of the leader that peersRevision belongs to.
	peersEpoch uint64
	// currentPeers are the gateway hosts that the leader knows.
	currentPeers []controlnode.Peer
	// earlierPeers are the gateway hosts that the previous leader knew, until epochSince is
	// peerRetention ago: a new leader learns of the hosts only when they call it.
	earlierPeers []controlnode.Peer
	epochSince   time.Time
	// ceilingAnswers answers the ceiling queries of the latest reply.
	ceilingAnswers   []prepaid.CeilingAnswer
	controlReachable bool
	// confirmsIdleCalls reports whether the control host answers calls without a report only if
	// a quorum has confirmed the leader.
	confirmsIdleCalls bool
	// consecutiveFailures counts the failed calls since the last successful one.
	consecutiveFailures int
	// reportDeferred reports that the latest successful call had no report though one was due.
	reportDeferred bool
	// lastFullSync is when the leader last sent the loads caused by other hosts.
	lastFullSync time.Time
	// noticesSentAt is when the notices of the current call were collected, and noticesDigest
	// identifies the limits that the leader sent last.
	noticesSentAt time.Time
	noticesDigest uint64
	// noticesEpoch is the epoch of the leader, since noticesEpochSince.
	noticesEpoch      uint64
	noticesEpochSince time.Time

	mu    sync.Mutex
	peers []controlnode.Peer
	// unreachable holds the time of the latest failed request for tokens or retries by address.
	unreachable map[string]time.Time
	retryLoans  retryLoans
	// syncsStarted counts the calls started; lastSuccessfulSync is the number of the
	// latest successful one.
	syncsStarted, lastSuccessfulSync uint64
	// syncDone is closed and replaced after each successful call, to wake waiters.
	syncDone chan struct{}
}

// New returns a client with a new session. It makes no calls until Run is called.
func New(o Options) *Client {
	session := rand.Uint64()
	client := rpc.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		return netconn.Dial(ctx, address, dialTimeout, unackedTimeout)
	})
	return &Client{
		options:         o,
		rpc:             client,
		originAsker:     streamorigin.NewAsker(client),
		opening:         prepaid.SessionOpening{Host: o.Host, Session: session, Boot: o.Boot, BootTime: o.Clock(), WallTime: time.Now().UnixNano()},
		allowance:       prepaid.NewAllowance(session),
		witness:         prepaid.NewWitness(),
		wake:            make(chan struct{}, 1),
		callTimeout:     rto.NewEstimator(minCallTimeout, maxCallTimeout),
		transferTimeout: rto.NewEstimator(transferTimeout, maxTransferTimeout),
		sessionLost:     make(chan struct{}),
		syncDone:        make(chan struct{}),
		unreachable:     map[string]time.Time{},
		traits:          crashcause.NewHost(),
		origins:         streamorigin.NewTable(),
	}
}

// View returns the current view, or nil before the first configuration is received.
func (c *Client) View() *View { return c.view.Load() }

// Allowance returns the tokens that this host may spend.
func (c *Client) Allowance() *prepaid.Allowance { return c.allowance }

// AwaitSync requests an immediate call to the leader, and waits until a call has succeeded
// that started after AwaitSync was called. It returns false if ctx ends first.
func (c *Client) AwaitSync(ctx context.Context) bool {
	c.mu.Lock()
	awaited := c.syncsStarted + 1
	c.mu.Unlock()
	for {
		c.mu.Lock()
		done, syncDone := c.lastSuccessfulSync >= awaited, c.syncDone
		c.mu.Unlock()
		if done {
			return true
		}
		c.requestSync()
		select {
		case <-syncDone:
		case <-ctx.Done():
			return false
		}
	}
}

// requestSync requests an immediate call to the leader.
func (c *Client) requestSync() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// AwaitView waits for the first configuration and returns the view, or nil if ctx ends
// first.
func (c *Client) AwaitView(ctx context.Context) *View {
	for {
		if view := c.View(); view != nil {
			return view
		}
		if !c.AwaitSync(ctx) {
			return c.View()
		}
	}
}

// Run calls the leader at intervals until ctx ends. It also opens the reserve when due, and asks other
// gateway hosts what they know of the upstreams while the control group is away.
func (c *Client) Run(ctx context.Context) {
	go c.maintainReserve(ctx)
	go c.keepTableCurrent(ctx)
	for ctx.Err() == nil {
		started := time.Now()
		defers := c.defersReport()
		err := c.syncWithLeader(ctx)
		c.recordSync(err)
		if err == nil {
			c.reportDeferred = defers
		}
		if c.reportDeferred {
			c.requestSync()
		}
		c.awaitNextSync(ctx, started, err)
	}
}

// recordSync records the result of a call, logs changes of the control group's
// reachability, and wakes waiters after a success.
func (c *Client) recordSync(err error) {
	if err == nil {
		now, servedBy := time.Now(), c.servedBy
		c.lastSync.Store(&now)
		c.lastServedBy.Store(&servedBy)
	}
	if reachable := err == nil; reachable != c.controlReachable {
		c.controlReachable = reachable
		if reachable {
			klog.InfoS("control group reachable", "control_host", c.servedBy)
		} else {
			klog.InfoS("control group unreachable", "error", err.Error())
		}
	}
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastSuccessfulSync = c.syncsStarted
	close(c.syncDone)
	c.syncDone = make(chan struct{})
}

// syncWithLeader makes one call to the leader, and finds the leader first if necessary.
func (c *Client) syncWithLeader(ctx context.Context) error {
	c.mu.Lock()
	c.syncsStarted++
	c.mu.Unlock()
	req := c.buildRequest()
	var lastErr error
	for _, address := range c.candidateAddresses() {
		preferred := address
		for range 2 {
			req.TableDigests = nil
			if address != c.servedBy {
				req.TableDigests = c.options.Pool.TableDigests()
			}
			began, suspended := time.Now(), timing.Suspended()
			reply, err := c.callWithTicket(ctx, address, req)
			if err != nil {
				lastErr = err
				break
			}
			if !reply.NotLeader {
				c.servedBy = address
				return c.applyReply(req, reply, began.Add(suspended-timing.Suspended()))
			}
			c.applyNews(reply)
			lastErr = eris.New("the leader of the control group is unknown")
			if address = reply.Leader; address == "" {
				break
			}
		}
		c.controlHosts.recordFailure(preferred, time.Now())
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	c.servedBy = ""
	return lastErr
}

// candidateAddresses returns the addresses to try: in a large fleet the control hosts that may
// pass calls on to the leader, by preference, or else the leader, then randomly chosen others.
func (c *Client) candidateAddresses() []string {
	known := append(slices.Clone(c.members), c.options.Seeds()...)
	slices.Sort(known)
	known = slices.Compact(known)
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	switch {
	case c.usesRelays():
		known = c.controlHosts.byPreference(known, c.options.Zone, c.options.Address, time.Now())
	case c.servedBy != "":
		known = slices.DeleteFunc(known, func(a string) bool { return a == c.servedBy })
		known = append([]string{c.servedBy}, known...)
	}
	return known[:min(len(known), maxHostsPerCall)]
}

// usesRelays reports whether the host should call a control host near it in place of the leader:
// in a large fleet, and until it knows how large the fleet is.
func (c *Client) usesRelays() bool {
	return c.peersEpoch == 0 || c.allowance.Concentrated()
}

// callWithTicket calls a control host, and again with the ticket that the opening of the session needs.
func (c *Client) callWithTicket(ctx context.Context, address string, req *controlnode.SyncRequest) (*controlnode.SyncReply, error) {
	for range maxOpeningCalls {
		reply, err := c.call(ctx, address, req)
		if err != nil || reply.Ticket == 0 {
			return reply, err
		}
		c.ticket = reply.Ticket
		c.addOpening(req)
	}
	return nil, errNotOpened
}

// addOpening adds the opening of the session to a call.
func (c *Client) addOpening(req *controlnode.SyncRequest) {
	opening := c.opening
	opening.Age = c.options.Clock() - opening.BootTime
	req.Opening, req.AwaitsTicket, req.Ticket = &opening, true, c.ticket
}

func (c *Client) call(ctx context.Context, address string, req *controlnode.SyncRequest) (*controlnode.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout.Timeout())
	defer cancel()
	started := time.Now()
	reply, err := rpc.Call[controlnode.SyncRequest, controlnode.SyncReply](ctx, c.rpc, address, controlnode.MethodSync, req)
	switch {
	case err == nil && reply.NotLeader:
		c.callTimeout.Succeeded(0) // the host may have waited for a leader
	case err == nil && req.Report == nil && c.defersReport(): // it tells nothing of the time that a report takes
	case err == nil:
		c.callTimeout.Succeeded(time.Since(started))
	case ctx.Err() != nil:
		c.callTimeout.TimedOut()
	}
	return reply, err
}

// defersReport reports whether a call has no report though one is due, which the next call has: after an outage the host learns the
// state of the fleet first, as a report is answered only once the control group has written it to its log. Only one successful call
// since the last acknowledged report is without one, as each may be followed by a failure.
func (c *Client) defersReport() bool {
	return c.consecutiveFailures > 0 && !c.reportDeferred && !c.allowance.Sealed()
}

func (c *Client) buildRequest() *controlnode.SyncRequest {
	req := &controlnode.SyncRequest{
		Host: c.options.Host, Version: c.documentVersion, Epoch: c.epoch, Revision: c.revision,
		PeersRevision: c.peersRevision, PeersEpoch: c.peersEpoch, Relay: c.usesRelays(), ControlHosts: c.controlHosts.digest,
		Brief:          time.Since(c.lastFullSync) < c.syncInterval()/2,
		CeilingAnswers: c.ceilingAnswers, AcceptsEncoded: true, EvacuationRevision: c.options.Pool.Evacuations().Revision,
		Peer: controlnode.Peer{Session: c.opening.Session, Address: c.options.Address},
	}
	if !req.Brief {
		req.Loads = c.options.Pool.Loads()
	}
	if !c.sessionOpened {
		c.addOpening(req)
	}
	c.addCrashes(req, time.Now())
	c.addNotices(req, time.Now())
	if c.confirmsIdleCalls && req.Opening == nil && len(c.ceilingAnswers) == 0 && (c.allowance.Idle(c.options.Clock()) || c.defersReport()) {
		return req
	}
	now := prepaid.Instant{Boot: c.options.Boot, BootTime: c.options.Clock(), WallTime: time.Now().UnixNano()}
	req.Report = c.allowance.Report(now, c.witnesses(), req.Brief)
	return req
}
