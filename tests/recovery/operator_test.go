package recovery_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/rpc"
)

const (
	// tryTimeout is the time after which an operator treats a call as failed.
	tryTimeout  = time.Second
	dialTimeout = 300 * time.Millisecond
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = 800 * time.Millisecond
	// viewTimeout limits a question for the leader and the members.
	viewTimeout  = 400 * time.Millisecond
	viewInterval = 300 * time.Millisecond
	readInterval = 150 * time.Millisecond
	// patience exceeds the longest freeze: a host that is frozen while a read arrives answers after it.
	patience = maxFreeze + 2*time.Second
	// maxOpenReads is the number of such reads that wait for one host.
	maxOpenReads = 4
	// minPause and maxPause bound the time between two changes of one operator.
	minPause       = 30 * time.Millisecond
	maxPause       = 500 * time.Millisecond
	maxVersionStep = 6
	// noReplica is an id that no replica has.
	noReplica = ^uint64(0)
)

// operator changes and reads the configuration through any control host.
type operator struct {
	fleet *fleet
	rpc   *rpc.Client

	mu     sync.Mutex
	random *rand.Rand
	last   uint64 // the highest version sent
	view   string
	// leaderAddress is that of the host that last answered as the leader.
	leaderAddress string
}

func newOperator(f *fleet, seed uint64) *operator {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &operator{
		fleet: f, random: rand.New(rand.NewPCG(seed, 2)),
		rpc: rpc.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", address)
		}),
	}
}

// anyAddress draws a control host.
func (o *operator) anyAddress() string {
	addresses := o.fleet.controlAddresses()
	o.mu.Lock()
	defer o.mu.Unlock()
	return addresses[o.random.IntN(len(addresses))]
}

// pause returns a random time between low and high.
func (o *operator) pause(low, high time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return low + time.Duration(o.random.Int64N(int64(high-low)+1))
}

// newChange returns the next version and its content.
func (o *operator) newChange() (uint64, string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.last += 1 + o.random.Uint64N(maxVersionStep)
	content := fmt.Sprintf(`{"version":%d,"note":"%x%s"}`, o.last, o.random.Uint64(), strings.Repeat("-", o.random.IntN(2000)))
	o.fleet.history.recordSent(o.last, content)
	return o.last, content
}

// onLeader calls a method on the host at address and follows a redirect to the leader.
func onLeader[Req, Reply any](ctx context.Context, o *operator, address, method string, req *Req,
	redirect func(*Reply) controlnode.LeaderRedirect,
) (*Reply, error) {
	for range 2 {
		reply, err := rpc.Call[Req, Reply](ctx, o.rpc, address, method, req)
		if err != nil {
			return nil, err
		}
		if !redirect(reply).NotLeader {
			return reply, nil
		}
		if address = redirect(reply).Leader; address == "" {
			break
		}
	}
	return nil, eris.New("the leader is unknown")
}

// put sends a new version to any control hosts until it is acknowledged or ctx ends.
func (o *operator) put(ctx context.Context) error {
	_, err := o.putAt(ctx, o.anyAddress)
	return err
}

// putAt sends a new version to the control hosts at the addresses that address returns, until it is acknowledged or ctx ends.
func (o *operator) putAt(ctx context.Context, address func() string) (uint64, error) {
	version, content := o.newChange()
	compressed, err := fleetstate.Compress([]byte(content))
	if err != nil {
		return 0, err
	}
	req := &controlnode.PutRequest{Document: fleetstate.Document{Version: version, Content: compressed}}
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		try, cancel := context.WithTimeout(ctx, tryTimeout)
		_, err := onLeader(try, o, address(), controlnode.MethodPut, req,
			func(r *controlnode.PutReply) controlnode.LeaderRedirect { return r.LeaderRedirect })
		cancel()
		if err == nil {
			o.fleet.history.recordAck(version, time.Now())
			return version, nil
		}
		if !sleep(ctx, o.pause(backoff/2, backoff)) {
			return 0, eris.Wrapf(err, "version %d was not acknowledged", version)
		}
	}
}

// get reads the configuration once at a control host and records the answer.
func (o *operator) get(ctx context.Context) (uint64, error) {
	return o.getAt(ctx, o.anyAddress(), tryTimeout)
}

func (o *operator) getAt(ctx context.Context, address string, timeout time.Duration) (uint64, error) {
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := onLeader(ctx, o, address, controlnode.MethodGet, &controlnode.GetRequest{},
		func(r *controlnode.GetReply) controlnode.LeaderRedirect { return r.LeaderRedirect })
	if err != nil {
		return 0, err
	}
	var content []byte
	if reply.Document.Version > 0 {
		if content, err = fleetstate.Decompress(reply.Document.Content); err != nil {
			return 0, err
		}
	}
	o.fleet.history.recordRead(o.fleet.nameOf(address), reply.Document.Version, string(content), sentAt)
	return reply.Document.Version, nil
}

// keepChanging sends one version after another until ctx ends.
func (o *operator) keepChanging(ctx context.Context) {
	for sleep(ctx, o.pause(minPause, maxPause)) {
		_ = o.put(ctx) // fails when ctx ends
	}
}

// keepReadingAll reads at all hosts, also those that are frozen, cut off or no longer members, and waits for late answers.
func (o *operator) keepReadingAll(ctx context.Context) {
	var reads sync.WaitGroup
	defer reads.Wait()
	open := map[string]chan struct{}{}
	for sleep(ctx, readInterval) {
		for _, address := range o.fleet.controlAddresses() {
			places := open[address]
			if places == nil {
				places = make(chan struct{}, maxOpenReads)
				open[address] = places
			}
			select {
			case places <- struct{}{}:
			default:
				continue
			}
			reads.Go(func() {
				defer func() { <-places }()
				_, _ = o.getAt(ctx, address, patience) // checked by the history
			})
		}
	}
}

func (o *operator) keepReading(ctx context.Context) {
	for sleep(ctx, readInterval) {
		_, _ = o.get(ctx) // checked by the history
	}
}

// keepViewing records each change of the leader and the members until ctx ends.
func (o *operator) keepViewing(ctx context.Context) {
	for sleep(ctx, viewInterval) {
		o.updateView(ctx)
	}
}

// leader returns the address of the leader, or "" if none confirms that it leads.
func (o *operator) leader(ctx context.Context) string { return o.updateView(ctx) }

// updateView asks all control hosts for the leader and its members, and returns the leader's address.
func (o *operator) updateView(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	type view struct {
		leader  string
		members []replication.Peer
	}
	addresses := o.fleet.controlAddresses()
	views := make(chan view, len(addresses))
	for _, address := range addresses {
		go func() {
			// A question for an id that no replica has changes nothing.
			reply, err := rpc.Call[controlnode.JoinRequest, controlnode.JoinReply](ctx, o.rpc, address, controlnode.MethodJoin,
				&controlnode.JoinRequest{Address: address, ReplicaID: noReplica})
			if err == nil && !reply.NotLeader {
				views <- view{address, reply.Members}
			} else {
				views <- view{}
			}
		}()
	}
	for range addresses {
		if v := <-views; v.leader != "" {
			o.recordView(v.leader, v.members)
			return v.leader
		}
	}
	return ""
}

// recordView logs the leader and the members if they have changed.
func (o *operator) recordView(leader string, members []replication.Peer) {
	slices.SortFunc(members, func(a, b replication.Peer) int { return int(a.ID) - int(b.ID) })
	text := "leader " + o.fleet.nameOf(leader) + ", members"
	for _, p := range members {
		text += fmt.Sprintf(" %d=%s", p.ID, o.fleet.nameOf(p.Address))
		if p.Learner {
			text += "(learner)"
		}
	}
	o.mu.Lock()
	changed := o.view != text
	o.view, o.leaderAddress = text, leader
	o.mu.Unlock()
	if changed {
		o.fleet.mu.Lock()
		o.fleet.log("%s", text)
		o.fleet.mu.Unlock()
	}
}
