// Package hostsync keeps a gateway host in touch with the control group: it
// fetches the configuration, the upstreams and grants, and reports use.
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
	"github.com/godwitbend/godwitbend/internal/netconn"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/prepaid"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// callHosts is the number of control hosts that are tried in one call: each that is
	// up to date names the leader.
	callHosts = 3
	// callTimeout bounds one call.
	callTimeout = 700 * time.Millisecond
	// dialTimeout and silence bound the time lost to a host that can't be reached.
	dialTimeout = 120 * time.Millisecond
	silence     = time.Second
	// closeTimeout bounds the closing of the session.
	closeTimeout = 800 * time.Millisecond
	// maxCrashes bounds the crashes that wait to be reported.
	maxCrashes = 256
)

// Options are the settings of a Client.
type Options struct {
	// Host is the host's name.
	Host string
	// Address is where other gateway hosts reach this one.
	Address string
	// Seeds are the addresses of control hosts that are known at the start.
	Seeds func() []string
	// Decode reads a document.
	Decode func(content []byte) (*catalog.Document, error)
	// Pool is kept up to date with the upstreams.
	Pool *placement.Pool
	// Clock returns the boot-time clock in ns.
	Clock func() int64
}

// View is what the host knows of the fleet. It is immutable.
type View struct {
	Index *catalog.Index
	// Hosts is the number of gateway hosts.
	Hosts int
	// Quarantined are the fingerprints of requests that must not run.
	Quarantined map[uint64]bool
}

// Client talks to the control group.
type Client struct {
	options   Options
	rpc       *rpc.Client
	opening   prepaid.SessionOpening
	allowance *prepaid.Allowance
	witness   *prepaid.Witness
	view      atomic.Pointer[View]
	contacted atomic.Pointer[time.Time] // the latest contact
	wake      chan struct{}
	lost      chan struct{}
	lostOnce  sync.Once

	// What follows belongs to Run.
	opened   bool
	target   string
	members  []string
	version  uint64
	epoch    uint64
	revision uint64
	peersAt  uint64
	// statements answer the questions of the last reply.
	statements []prepaid.CeilingAnswer
	inTouch    bool
	// failures counts the calls since the last successful one.
	failures int
	// fullAt is when the leader last told the loads by other hosts.
	fullAt time.Time

	mu      sync.Mutex
	crashes []controlnode.Crash
	peers   []controlnode.Peer
	// begun and ended number the contacts; ended is that of the latest successful one.
	begun, ended uint64
	// round is closed and replaced after each successful contact; waiters watch it.
	round chan struct{}
}

// New returns a client that has not talked to anyone.
func New(o Options) *Client {
	session := rand.Uint64()
	return &Client{
		options: o,
		rpc: rpc.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
			return netconn.Dial(ctx, address, dialTimeout, silence)
		}),
		opening:   prepaid.SessionOpening{Host: o.Host, Session: session, BootTime: o.Clock(), WallTime: time.Now().UnixNano()},
		allowance: prepaid.NewAllowance(session),
		witness:   prepaid.NewWitness(),
		wake:      make(chan struct{}, 1),
		lost:      make(chan struct{}),
		round:     make(chan struct{}),
	}
}

// View returns what is known, or nil before the first configuration.
func (c *Client) View() *View { return c.view.Load() }

// Allowance returns the host's share of the budgets.
func (c *Client) Allowance() *prepaid.Allowance { return c.allowance }

// ReportCrash tells the group that an upstream broke down with a request.
func (c *Client) ReportCrash(crash controlnode.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < maxCrashes {
		c.crashes = append(c.crashes, crash)
	}
}

// AwaitContact asks for a call at once, and waits until one has succeeded that began
// after this call. False means that ctx has ended first.
func (c *Client) AwaitContact(ctx context.Context) bool {
	c.mu.Lock()
	target := c.begun + 1
	c.mu.Unlock()
	for {
		c.mu.Lock()
		done, round := c.ended >= target, c.round
		c.mu.Unlock()
		if done {
			return true
		}
		select {
		case c.wake <- struct{}{}:
		default:
		}
		select {
		case <-round:
		case <-ctx.Done():
			return false
		}
	}
}

// AwaitView waits until a configuration is known, and returns it, or nil when ctx ends.
func (c *Client) AwaitView(ctx context.Context) *View {
	for {
		if view := c.View(); view != nil {
			return view
		}
		if !c.AwaitContact(ctx) {
			return c.View()
		}
	}
}

// Run calls the leader at intervals until ctx ends.
func (c *Client) Run(ctx context.Context) {
	go timing.Every(ctx, reserveInterval, func() { c.openReserve(ctx) })
	for ctx.Err() == nil {
		started := time.Now()
		err := c.contact(ctx)
		c.noteContact(err)
		c.pause(ctx, started, err)
	}
}

// noteContact logs when the group is lost or found again, and frees the waiters.
func (c *Client) noteContact(err error) {
	if err == nil {
		now := time.Now()
		c.contacted.Store(&now)
	}
	if touch := err == nil; touch != c.inTouch {
		c.inTouch = touch
		if touch {
			klog.InfoS("control group regained", "leader", c.target)
		} else {
			klog.InfoS("control group lost", "error", err.Error())
		}
	}
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = c.begun
	close(c.round)
	c.round = make(chan struct{})
}

// contact makes one call to the leader, which it looks for if need be.
func (c *Client) contact(ctx context.Context) error {
	c.mu.Lock()
	c.begun++
	c.mu.Unlock()
	req := c.request()
	var last error
	for _, address := range c.addresses() {
		for range 2 {
			reply, err := c.call(ctx, address, req)
			if err != nil {
				last = err
				break
			}
			if !reply.NotLeader {
				c.target = address
				return c.take(req, reply)
			}
			last = eris.New("the leader is not known")
			if address = reply.Leader; address == "" {
				break
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	c.target = ""
	return last
}

// addresses returns where the leader may be: the last one first, then some of the
// known members and the seeds.
func (c *Client) addresses() []string {
	known := append(slices.Clone(c.members), c.options.Seeds()...)
	slices.Sort(known)
	known = slices.Compact(known)
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	if c.target != "" {
		known = slices.DeleteFunc(known, func(a string) bool { return a == c.target })
		known = append([]string{c.target}, known...)
	}
	return known[:min(len(known), callHosts)]
}

func (c *Client) call(ctx context.Context, address string, req *controlnode.SyncRequest) (*controlnode.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return rpc.Call[controlnode.SyncRequest, controlnode.SyncReply](ctx, c.rpc, address, controlnode.MethodSync, req)
}

func (c *Client) request() *controlnode.SyncRequest {
	req := &controlnode.SyncRequest{
		Host: c.options.Host, Version: c.version, Epoch: c.epoch, Revision: c.revision,
		Peers: c.peersAt, Brief: time.Since(c.fullAt) < c.interval()/2,
		Statements: c.statements,
		Peer:       controlnode.Peer{Session: c.opening.Session, Address: c.options.Address},
	}
	if !req.Brief {
		req.Loads = c.options.Pool.Loads()
	}
	if !c.opened {
		opening := c.opening
		opening.Age = c.options.Clock() - opening.BootTime
		req.Opening = &opening
	}
	req.Report = c.allowance.Report(prepaid.Instant{BootTime: c.options.Clock(), WallTime: time.Now().UnixNano()}, c.witnesses(), req.Brief)
	c.mu.Lock()
	defer c.mu.Unlock()
	req.Crashes = slices.Clone(c.crashes)
	return req
}

// Close reports the last use and ends the session, so that nothing is written
// off. It is called after Run has returned and the last request has ended.
func (c *Client) Close() error {
	c.allowance.Seal()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	// The first call repeats a report that may be on its way; the second has the rest.
	for range 2 {
		if err := c.contact(ctx); err != nil {
			return eris.Wrap(err, "report the last use")
		}
	}
	req := &controlnode.CloseRequest{Host: c.options.Host, Session: c.opening.Session}
	reply, err := rpc.Call[controlnode.CloseRequest, controlnode.CloseReply](ctx, c.rpc, c.target, controlnode.MethodClose, req)
	if err != nil {
		return err
	}
	if reply.NotLeader {
		return eris.New("the leader has changed")
	}
	return nil
}
