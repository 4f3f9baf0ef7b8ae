// Package controlnode implements a control host of a gateway fleet. It runs a replica of
// the control group, serves the calls of other hosts and maintains the table of upstreams.
package controlnode

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/controlgroup"
	"github.com/godwitbend/godwitbend/internal/crashcause"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/netconn"
	"github.com/godwitbend/godwitbend/internal/notice"
	"github.com/godwitbend/godwitbend/internal/presence"
	"github.com/godwitbend/godwitbend/internal/replica"
	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/streamorigin"
	"github.com/godwitbend/godwitbend/internal/timing"
	"github.com/godwitbend/godwitbend/internal/wal"
)

const (
	// tickInterval, electionTicks and heartbeatTicks are set so that a group elects a leader
	// within about one second and tolerates fsyncs of 60 ms on a slow disk.
	tickInterval   = 50 * time.Millisecond
	electionTicks  = 12
	heartbeatTicks = 2
	// snapshotEntries limits the log entries that a starting host must apply before it
	// serves. With 59 gateways, applying 2,000 entries took 8 s on 0.12 of a core.
	snapshotEntries = 200
	segmentBytes    = 1 << 20
	// dialTimeout and unacknowledgedTimeout limit how long an unreachable host delays a
	// call. Hosts of a region answer within milliseconds. A host that was down when a
	// connection attempt started does not answer that attempt, only the next one.
	dialTimeout           = 150 * time.Millisecond
	unacknowledgedTimeout = 1500 * time.Millisecond
)

// Options are the settings of a control host.
type Options struct {
	// Host is the host's name.
	Host string
	// Address is the IP:port at which other hosts reach this one.
	Address string
	// ListenAddress is the IP:port to listen on; empty means Address.
	ListenAddress string
	// Zone is the host's availability zone.
	Zone string
	// Directory holds the replica's files.
	Directory string
	// FS is the file system of Directory; nil means that of the operating system.
	FS wal.FS
	// Network connects control hosts; nil means TCP.
	Network Network
	// Bootstrap allows a host with an empty disk to found a new group.
	Bootstrap bool
	// BootClocks makes the ledger use boot-time clocks only, while this host leads and once all members understand that. There is no
	// way back.
	BootClocks bool
	// ClockAgreement makes the ledger use boot-time clocks, and wall clocks only where these can't measure and they agree, under
	// the same conditions. BootClocks overrides it.
	ClockAgreement bool
	// Seeds returns the configured addresses of control hosts.
	Seeds func() []string
	// Decode decodes the content of a document; nil if the host needs not know the services.
	Decode func(content []byte) (*catalog.Document, error)
	// Scope receives the metrics; nil means that there are none.
	Scope tally.Scope
	// Boot identifies the boot of the machine. If it is 0, records of streams are not restored after a restart.
	Boot uint64
}

// Network opens connections between hosts.
type Network interface {
	ListenHosts(address string) (net.Listener, error)
	DialHost(ctx context.Context, address string) (net.Conn, error)
}

// tcpNetwork implements Network.
type tcpNetwork struct{}

// TCP is the network of hosts.
var TCP Network = tcpNetwork{}

// ListenHosts implements Network.
func (tcpNetwork) ListenHosts(address string) (net.Listener, error) {
	return netconn.Listen(address, unacknowledgedTimeout)
}

// DialHost implements Network.
func (tcpNetwork) DialHost(ctx context.Context, address string) (net.Conn, error) {
	return netconn.Dial(ctx, address, dialTimeout, unacknowledgedTimeout)
}

// localReplica is a replica that this host runs, and the state machine that it applies its log to.
type localReplica struct {
	*replica.Replica
	machine *fleetstate.Machine
}

// Node is a running control host.
type Node struct {
	options   Options
	rpc       *rpc.Client
	server    *rpc.Server
	transport *controlgroup.Transport
	reports   *reportBatcher
	relay     *relay
	// stopStreams counts what gateway hosts report of their stops.
	stopStreams stopStreams
	// epoch is a random number that identifies this process's table of upstreams.
	epoch uint64

	// replica is nil until the host has joined the group.
	replica atomic.Pointer[localReplica]
	// machine is the state machine of the latest replica. It outlives the replica.
	machine atomic.Pointer[fleetstate.Machine]

	// wasMember is set if this host had a replica of the group when it started, or had one removed.
	wasMember atomic.Bool
	// founds is the identity with which this host is about to found the group, or has founded it.
	founds atomic.Pointer[identity]
	// admitted is the identity with which the group has admitted this host; nil once it is saved. Only the
	// goroutine that runs the replicas uses it.
	admitted *identity
	// contactsWrites has a place for one write of the contacts to disk.
	contactsWrites chan struct{}

	mu        sync.Mutex
	addresses map[uint64]string // by replica id; also of removed replicas
	table     *presence.Table
	services  knownServices
	// directReports holds the time of each upstream's latest report to this host itself.
	directReports map[string]time.Time
	// remoteUpstreams holds the latest exchange with records of each control host, and
	// acknowledgedGenerations the generation of this host's that each has, by address.
	remoteUpstreams map[string]remoteUpstreams
	// controlHosts holds the control hosts that this one has heard from, by address.
	controlHosts map[string]knownControlHost
	contacts     contacts
	// group is the id of the control group; see groupID.
	group                   string
	acknowledgedGenerations map[string]uint64
	// features holds the latest statement of each control host that this one has heard from on the
	// log entries that it understands, by address. It outlives controlHosts, as a voter that is down
	// counts too.
	features map[string]int
	// understands is fleetstate.Features, but for hosts that play an earlier build in tests.
	understands int
	// admissions is held for reading while a host is admitted to the group, and for writing while a
	// kind of log entry is proposed that all members have to understand.
	admissions sync.RWMutex
	// replicaReports holds what was heard of other replicas since the membership was last supervised.
	replicaReports replicaReports
	// generations holds the latest sets of upstreams that report to this host.
	generations []directUpstreams
	// origins holds the records of streams that gateway hosts sent to this host.
	origins *streamorigin.Table
	// originJournal is nil if the boot of the machine is not known.
	originJournal *streamorigin.Journal
	hosts         *hostTable
	peerLists     peerLists
	upstreamFeed  *upstreamFeed
	loadFeed      loadFeed
	crashes       crashcause.Tracker
	// crashPositions holds what this host has of the evidence of other control hosts, by address.
	crashPositions map[string]crashPosition
	notices        notice.Table
	forwardQueues  map[string]chan queuedReport
	// unforwarded counts the reports that are queued or on their way to other control hosts.
	unforwarded atomic.Int64
	wg          sync.WaitGroup
	ctx         context.Context
}

// New returns a control host that is not started.
func New(o Options) *Node {
	if o.FS == nil {
		o.FS = wal.OS{}
	}
	if o.Network == nil {
		o.Network = TCP
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	n := &Node{
		options: o, epoch: rand.Uint64(), stopStreams: stopStreams{scope: o.Scope, ends: map[string]tally.Counter{}},
		addresses: map[uint64]string{}, table: presence.NewTable(),
		directReports: map[string]time.Time{}, hosts: newHostTable(), forwardQueues: map[string]chan queuedReport{},
		remoteUpstreams: map[string]remoteUpstreams{}, controlHosts: map[string]knownControlHost{}, acknowledgedGenerations: map[string]uint64{},
		features: map[string]int{}, understands: fleetstate.Features, replicaReports: newReplicaReports(),
		crashPositions: map[string]crashPosition{},
		origins:        streamorigin.NewTable(), contacts: contacts{heardAt: map[string]time.Time{}},
		contactsWrites: make(chan struct{}, 1),
	}
	if o.Decode != nil {
		n.table.RestrictReplacement(n.isService)
	}
	n.upstreamFeed = newUpstreamFeed(n.table)
	n.rpc = rpc.NewClient(o.Network.DialHost)
	n.reports = newReportBatcher(n)
	n.relay = newRelay(n)
	n.server = n.newServer()
	if o.Boot != 0 {
		n.originJournal = streamorigin.NewJournal(streamorigin.JournalOptions{
			FS: o.FS, Directory: o.Directory, Boot: o.Boot, BootTime: timing.BootTime, Scope: o.Scope,
		})
	}
	return n
}

func (n *Node) newServer() *rpc.Server {
	srv := rpc.NewServer()
	controlgroup.RegisterDeliver(srv, n.deliver)
	rpc.Handle(srv, MethodJoin, n.join)
	rpc.Handle(srv, MethodFounding, n.founding)
	rpc.Handle(srv, MethodPut, n.putDocument)
	rpc.Handle(srv, MethodGet, n.getDocument)
	rpc.Handle(srv, MethodSync, n.sync)
	rpc.Handle(srv, MethodClose, n.closeSession)
	rpc.Handle(srv, MethodReportStop, n.reportStop)
	rpc.Handle(srv, MethodUpstreams, n.receiveUpstreams)
	rpc.Handle(srv, MethodSubmit, n.serveSubmit)
	rpc.Handle(srv, MethodEvacuate, n.evacuate)
	streamorigin.Register(srv, n.origins)
	return srv
}

// Run serves until ctx ends. It then transfers its leadership, if any, forwards the reports that it has, and stops.
func (n *Node) Run(ctx context.Context) error {
	listener, err := n.options.Network.ListenHosts(cmp.Or(n.options.ListenAddress, n.options.Address))
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	n.ctx = background
	n.transport = controlgroup.NewTransport(background, n.rpc, n.address)
	n.goRun(func() {
		if err := n.server.Serve(background, listener); err != nil {
			klog.ErrorS(err, "serving other hosts failed")
		}
	})
	if n.originJournal != nil {
		n.restoreStreamOrigins()
		n.goRun(func() { n.originJournal.Run(background) })
	}
	n.goRun(func() {
		// The gateway hosts and the other control hosts keep records too, so that this one can do without.
		if err := n.receiveStreamOrigins(background); err != nil {
			klog.ErrorS(err, "no longer receiving records of streams")
		}
	})
	n.goRun(func() { n.reports.run(background) })
	n.goRun(func() { n.relay.run(background) })
	n.goRun(func() { n.maintainUpstreams(background) })
	n.loadContacts()
	n.goRun(func() { n.keepContacts(background) })
	err = n.runReplicas(ctx, background)
	n.stopReplica()
	n.awaitForwards()
	stop()
	n.transport.Wait()
	n.wg.Wait()
	return err
}

// goRun runs fn in a goroutine that Run waits for before it returns.
func (n *Node) goRun(fn func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		fn()
	}()
}

// stopReplica stops the replica. A leader transfers its leadership first, so that the group
// is not without a leader for an election timeout.
func (n *Node) stopReplica() {
	r := n.replica.Load()
	if r == nil {
		return
	}
	others := n.otherControlHosts()
	if r.Status().Role == replication.Leader {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := r.TransferLeadership(ctx, replication.None); err != nil {
			klog.ErrorS(err, "leadership transfer failed")
		} else {
			n.awaitSuccessor(ctx, r)
		}
	}
	n.replica.Store(nil)
	if err := r.Stop(); err != nil {
		klog.ErrorS(err, "replica stopped with an error")
	}
	n.announceStop(r.Status().ID, others)
}

// announceStop tells other control hosts that this host's replica has stopped, so that the group need not wait to
// find out whether it is silent for good.
func (n *Node) announceStop(id uint64, others []string) {
	var wg sync.WaitGroup
	for _, address := range others {
		wg.Go(func() { n.sendUpstreams(n.ctx, address, &UpstreamsMessage{StoppedReplicaID: id}) })
	}
	wg.Wait()
}

// awaitSuccessor waits until r is no longer the leader or ctx ends.
func (n *Node) awaitSuccessor(ctx context.Context, r *localReplica) {
	for ctx.Err() == nil && r.Status().Role == replication.Leader {
		time.Sleep(tickInterval / 2)
	}
}

func (n *Node) deliver(msgs []replication.Message) {
	if r := n.replica.Load(); r != nil {
		r.Deliver(msgs)
	}
}

// anyOtherControlHost returns the address of a randomly chosen other control host, or "". One that lives is preferred.
func (n *Node) anyOtherControlHost() string {
	others := n.liveContacts()
	if len(others) == 0 {
		others = n.knownControlHosts()
	}
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))]
}

// address returns the address of a replica, or "" if it is unknown.
func (n *Node) address(id uint64) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addresses[id]
}

// recordAddresses stores the addresses of replicas of the group.
func (n *Node) recordAddresses(peers []replication.Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range peers {
		n.addresses[p.ID] = p.Address
		if p.Address != n.options.Address {
			n.contacts.learn(p.Address, time.Now())
		}
	}
}

// Members returns the addresses of the current members of the group.
func (n *Node) Members() []string {
	var addresses []string
	if r := n.replica.Load(); r != nil {
		for _, p := range r.Status().Peers {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// otherControlHosts returns the addresses of the other control hosts that are members or seeds.
func (n *Node) otherControlHosts() []string {
	return n.withoutSelf(append(n.Members(), n.options.Seeds()...))
}

// withoutSelf returns each of the addresses once, without this host's own.
func (n *Node) withoutSelf(known []string) []string {
	slices.Sort(known)
	known = slices.Compact(known)
	return slices.DeleteFunc(known, func(a string) bool { return a == n.options.Address || a == "" })
}

// leaderOrRedirect returns the replica if it is the leader, and otherwise a redirect.
func (n *Node) leaderOrRedirect() (*localReplica, LeaderRedirect) {
	r := n.replica.Load()
	if r == nil {
		return nil, LeaderRedirect{NotLeader: true}
	}
	s := r.Status()
	if s.Role == replication.Leader {
		return r, LeaderRedirect{}
	}
	return nil, LeaderRedirect{NotLeader: true, Leader: n.address(s.Leader)}
}

// redirectFor converts a NotLeaderError of the replica to a redirect, and returns any other
// error unchanged.
func (n *Node) redirectFor(err error) (LeaderRedirect, error) {
	var other *replica.NotLeaderError
	if eris.As(err, &other) {
		return LeaderRedirect{NotLeader: true, Leader: n.address(other.Leader)}, nil
	}
	return LeaderRedirect{}, err
}

// Status returns the status of the replica, and false if the host runs none.
func (n *Node) Status() (replica.Status, bool) {
	r := n.replica.Load()
	if r == nil {
		return replica.Status{}, false
	}
	return r.Status(), true
}
