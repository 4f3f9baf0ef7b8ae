// Package controlnode runs a control host of a gateway fleet: a replica of the
// control group, the calls of other hosts, and the table of upstreams.
package controlnode

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

	"github.com/godwitbend/godwitbend/internal/controlgroup"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/netconn"
	"github.com/godwitbend/godwitbend/internal/presence"
	"github.com/godwitbend/godwitbend/internal/replica"
	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/rpc"
)

const (
	// tick, electionTicks and heartbeatTicks let a group elect a leader within about a
	// second, and allow for syncs of 60 ms on a slow disk.
	tick           = 50 * time.Millisecond
	electionTicks  = 12
	heartbeatTicks = 2
	// snapshotEntries bounds the entries that a starting host applies before it serves:
	// in a fleet of 59 gateways 2,000 took 8 s on 0.12 of a core.
	snapshotEntries = 200
	segmentBytes    = 1 << 20
	// dialTimeout and silence bound how long a host that can't be reached holds up a
	// call. Hosts of a region answer within some ms; a host that was down when the
	// connecting began answers only the next one.
	dialTimeout = 150 * time.Millisecond
	silence     = 1500 * time.Millisecond
)

// Options are the settings of a control host.
type Options struct {
	// Host is the host's name.
	Host string
	// Address is the address for other hosts, as IP:port.
	Address string
	// Directory holds the replica's files.
	Directory string
	// Bootstrap allows an empty disk to found a new group.
	Bootstrap bool
	// Seeds are the addresses, for other hosts, of control hosts known at the start.
	Seeds func() []string
}

// Node is a running control host.
type Node struct {
	options   Options
	rpc       *rpc.Client
	server    *rpc.Server
	transport *controlgroup.Transport
	reports   *reportBatcher
	epoch     uint64

	// replica is nil while the host has not joined the group.
	replica atomic.Pointer[replica.Replica]
	machine atomic.Pointer[fleetstate.Machine]

	mu      sync.Mutex
	members map[uint64]string // addresses by replica id; kept when a replica leaves
	table   *presence.Table
	// direct holds when an upstream last reported to this host itself.
	direct  map[string]time.Time
	hosts   *hostTable
	crashes crashCounter
	peers   map[string]chan UpstreamRecord
	wg      sync.WaitGroup
	ctx     context.Context
}

// New returns a control host that is not started.
func New(o Options) *Node {
	n := &Node{
		options: o, epoch: rand.Uint64(),
		members: map[uint64]string{}, table: presence.NewTable(),
		direct: map[string]time.Time{}, hosts: newHostTable(), peers: map[string]chan UpstreamRecord{},
	}
	n.rpc = rpc.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		return netconn.Dial(ctx, address, dialTimeout, silence)
	})
	n.reports = newReportBatcher(n)
	n.server = n.newServer()
	return n
}

func (n *Node) newServer() *rpc.Server {
	srv := rpc.NewServer()
	controlgroup.RegisterDeliver(srv, n.deliver)
	rpc.Handle(srv, MethodJoin, n.join)
	rpc.Handle(srv, MethodPut, n.putDocument)
	rpc.Handle(srv, MethodGet, n.getDocument)
	rpc.Handle(srv, MethodSync, n.sync)
	rpc.Handle(srv, MethodClose, n.closeSession)
	rpc.Handle(srv, MethodUpstreams, n.takeUpstreams)
	return srv
}

// Run serves until ctx ends, then hands its leadership over.
func (n *Node) Run(ctx context.Context) error {
	listener, err := netconn.Listen(n.options.Address, silence)
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	n.ctx = background
	n.transport = controlgroup.NewTransport(background, n.rpc, n.address)
	n.goRun(func() {
		if err := n.server.Serve(background, listener); err != nil {
			klog.ErrorS(err, "server for hosts ended")
		}
	})
	n.goRun(func() { n.reports.run(background) })
	n.goRun(func() { n.maintainUpstreams(background) })
	err = n.takePart(ctx, background)
	n.leave()
	stop()
	n.transport.Wait()
	n.wg.Wait()
	return err
}

func (n *Node) goRun(fn func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		fn()
	}()
}

// leave hands leadership over, so that the group is not without a leader for an
// election timeout.
func (n *Node) leave() {
	r := n.replica.Load()
	if r == nil {
		return
	}
	if r.Status().Role == replication.Leader {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := r.TransferLeadership(ctx, replication.None); err != nil {
			klog.ErrorS(err, "leadership was not handed over")
		} else {
			n.awaitSuccessor(ctx, r)
		}
	}
	n.replica.Store(nil)
	if err := r.Stop(); err != nil {
		klog.ErrorS(err, "replica stopped with an error")
	}
}

func (n *Node) awaitSuccessor(ctx context.Context, r *replica.Replica) {
	for ctx.Err() == nil && r.Status().Role == replication.Leader {
		time.Sleep(tick / 2)
	}
}

func (n *Node) deliver(msgs []replication.Message) {
	if r := n.replica.Load(); r != nil {
		r.Deliver(msgs)
	}
}

// address returns the address of a replica.
func (n *Node) address(id uint64) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members[id]
}

// learnMembers remembers the addresses of the group's replicas.
func (n *Node) learnMembers(peers []replication.Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range peers {
		n.members[p.ID] = p.Address
	}
}

// Members returns the addresses of the present members.
func (n *Node) Members() []string {
	var addresses []string
	if r := n.replica.Load(); r != nil {
		for _, p := range r.Status().Peers {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// contacts returns the other control hosts that are known: members and seeds.
func (n *Node) contacts() []string {
	known := append(n.Members(), n.options.Seeds()...)
	slices.Sort(known)
	known = slices.Compact(known)
	return slices.DeleteFunc(known, func(a string) bool { return a == n.options.Address || a == "" })
}

// leader returns the replica if it leads, and otherwise where the leader is.
func (n *Node) leader() (*replica.Replica, Routed) {
	r := n.replica.Load()
	if r == nil {
		return nil, Routed{NotLeader: true}
	}
	s := r.Status()
	if s.Role == replication.Leader {
		return r, Routed{}
	}
	return nil, Routed{NotLeader: true, Leader: n.address(s.Leader)}
}

// routed turns the error of a call on the replica into a redirect, if it says so.
func (n *Node) routed(err error) (Routed, error) {
	var other *replica.NotLeaderError
	if eris.As(err, &other) {
		return Routed{NotLeader: true, Leader: n.address(other.Leader)}, nil
	}
	return Routed{}, err
}

// Status is a description of the host for its metrics.
func (n *Node) Status() (replica.Status, bool) {
	r := n.replica.Load()
	if r == nil {
		return replica.Status{}, false
	}
	return r.Status(), true
}
