package controlnode

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/crashcause"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/notice"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// maxOpenSubmits is the number of calls to the leader that a relay may have open.
	maxOpenSubmits = 4
	// submitTimeout limits one call to the leader. The callers of the relay give up after
	// 700 ms and then ask another control host.
	submitTimeout = 600 * time.Millisecond
	// leaderCheckInterval is the interval at which a relay checks whether another host leads.
	leaderCheckInterval = 25 * time.Millisecond
	// maxDocumentLag is the time for which a call waits for the document in force at a relay that
	// lags behind the leader. Then the leader itself answers sooner.
	maxDocumentLag = 200 * time.Millisecond
	// documentPollInterval is the interval at which a relay checks whether it has the document
	// that the leader has in force.
	documentPollInterval = 5 * time.Millisecond
	// maxForwardedCrashes bounds the crashes that the leader has yet to receive.
	maxForwardedCrashes = 256
)

// relay passes the calls of gateway hosts on to the leader, many in one. The leader commits what
// they report, and this host answers everything else.
type relay struct {
	node  *Node
	queue chan *relayedCall
	open  chan struct{}

	// The fields below are guarded by node.mu.
	fleet fleetView
	// epoch identifies the leader's process. gatewaysAt is the revision of this host's list of
	// gateway hosts that the leader has, and tableRevision that of the leader's table that this
	// host has.
	epoch, gatewaysAt, tableRevision uint64
	// leader is the address of the leader that was called last.
	leader  string
	loadsAt time.Time
	crashes []crashcause.CrashReport
	// evacuations is the latest set that a leader told this host, whose own replica may lag. It is
	// replaced and never modified.
	evacuations *fleetstate.Evacuations
}

// relayedCall is one call of a gateway host that awaits its result.
type relayedCall struct {
	req  *SyncRequest
	done chan relayedResult
}

// relayedResult is the result of one relayed call.
type relayedResult struct {
	result  SubmitResult
	version uint64
	err     error
}

func newRelay(n *Node) *relay {
	return &relay{
		node: n, queue: make(chan *relayedCall, maxBatchedReports), open: make(chan struct{}, maxOpenSubmits),
		evacuations: &fleetstate.Evacuations{},
	}
}

// run passes calls on until ctx ends.
func (r *relay) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r.open <- struct{}{}:
		}
		select {
		case <-ctx.Done():
			return
		case first := <-r.queue:
			calls := r.collect(first)
			r.node.goRun(func() {
				defer func() { <-r.open }()
				r.submit(ctx, calls)
			})
		}
	}
}

func (r *relay) collect(first *relayedCall) []*relayedCall {
	calls := []*relayedCall{first}
	for len(calls) < maxBatchedReports {
		select {
		case c := <-r.queue:
			calls = append(calls, c)
		default:
			return calls
		}
	}
	return calls
}

// sync answers a call of a gateway host. redirect names the leader, to which the host is sent if
// this one lacks the document in force. If it cannot pass the call on, it names none, and the
// gateway host calls another control host.
func (r *relay) sync(ctx context.Context, req *SyncRequest, redirect LeaderRedirect) (*SyncReply, error) {
	n := r.node
	req.ArrivalTime = time.Now().UnixNano()
	n.mu.Lock()
	if !req.asksForTicket() { // which an ended process may have sent
		h := n.hosts.recordCall(req.Host, req.Peer, time.Now())
		if !req.Brief {
			n.hosts.setLoads(h, placement.ByShortID(req.Loads)) // the leader forgets those that the host reported to it
		}
	}
	r.crashes = append(r.crashes, req.Crashes[:min(len(req.Crashes), maxForwardedCrashes-len(r.crashes))]...)
	n.mu.Unlock()
	call := &relayedCall{req: req, done: make(chan relayedResult, 1)}
	select {
	case r.queue <- call:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	var out relayedResult
	select {
	case out = <-call.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	switch {
	case rpc.IsUnregistered(out.err):
		return &SyncReply{LeaderRedirect: redirect}, nil
	case out.err != nil:
		// The leader did not answer this host, and would hold up the gateway host too.
		return &SyncReply{LeaderRedirect: LeaderRedirect{NotLeader: true}}, nil
	case out.result.Ticket != 0:
		return &SyncReply{Ticket: out.result.Ticket}, nil
	case !n.awaitDocument(ctx, out.version):
		return &SyncReply{LeaderRedirect: redirect}, nil
	}
	reply := &SyncReply{Prepaid: out.result.Prepaid, CeilingQueries: out.result.CeilingQueries}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addState(req, reply, r.fleet, time.Now())
	return reply, nil
}

// awaitDocument waits until this host has a document version, and returns false if it does not get
// it within maxDocumentLag.
func (n *Node) awaitDocument(ctx context.Context, version uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, maxDocumentLag)
	defer cancel()
	for {
		if m := n.machine.Load(); m != nil && m.Document().Version >= version {
			return true
		}
		if !timing.Sleep(ctx, documentPollInterval) {
			return false
		}
	}
}

// submit passes calls on to the leader and delivers their results. If the leader changes, it
// passes them on to the next one: a report or an opening that comes twice counts once.
func (r *relay) submit(ctx context.Context, calls []*relayedCall) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	reply, err := r.callLeader(ctx, calls)
	for err != nil && !rpc.IsUnregistered(err) && timing.Sleep(ctx, leaderCheckInterval) {
		reply, err = r.callLeader(ctx, calls)
	}
	if err != nil {
		klog.InfoS("calls of gateway hosts not passed on to the leader", "calls", len(calls), "error", err.Error())
	}
	for i, c := range calls {
		out := relayedResult{err: err}
		if err == nil {
			out.result, out.version = reply.Results[i], reply.Version
		}
		c.done <- out
	}
}

// callLeader passes calls on to the current leader. It gives up when another host leads.
func (r *relay) callLeader(ctx context.Context, calls []*relayedCall) (*SubmitReply, error) {
	leader := r.currentLeader()
	if leader == "" {
		return nil, ErrUnavailable
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go timing.EveryUntil(ctx, leaderCheckInterval, func() bool {
		if r.currentLeader() == leader {
			return true
		}
		cancel()
		return false
	})
	req := r.newRequest(leader, calls, time.Now())
	reply, err := rpc.Call[SubmitRequest, SubmitReply](ctx, r.node.rpc, leader, MethodSubmit, req)
	switch {
	case err != nil:
	case reply.NotLeader:
		err = ErrUnavailable
	case len(reply.Results) != len(calls):
		err = eris.Errorf("the leader answered %d of %d calls", len(reply.Results), len(calls))
	default:
		err = r.apply(req, reply, time.Now())
	}
	if err != nil {
		r.returnCrashes(req.Crashes)
	}
	return reply, err
}

// currentLeader returns the address of the leader; empty if it is unknown or this host leads.
func (r *relay) currentLeader() string {
	_, redirect := r.node.leaderOrRedirect()
	return redirect.Leader
}

func (r *relay) newRequest(leader string, calls []*relayedCall, now time.Time) *SubmitRequest {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if leader != r.leader {
		r.leader, r.gatewaysAt = leader, 0
		n.hosts.removeRelays() // this host may have led before
	}
	n.hosts.expireDirect(now) // the calls before may be long ago
	req := &SubmitRequest{
		Relay: n.options.Address, RelayEpoch: n.epoch, Crashes: r.crashes, Epoch: r.epoch, GatewaysRevision: n.hosts.revision,
		TableRevision: r.tableRevision, NoticesDigest: r.fleet.notices.Digest,
		EvacuationRevision: n.newestEvacuations().Revision,
	}
	if newest := n.peerLists.newest(); newest.epoch == r.epoch {
		req.PeersRevision = newest.revision
	}
	r.crashes = nil
	for _, c := range calls {
		req.Calls = append(req.Calls, SyncRequest{
			Host: c.req.Host, Opening: c.req.Opening, Report: c.req.Report, Peer: c.req.Peer,
			CeilingAnswers: c.req.CeilingAnswers, ArrivalTime: c.req.ArrivalTime,
			Sound: c.req.Sound, Quarantined: c.req.Quarantined, Notices: c.req.Notices,
			AwaitsTicket: c.req.AwaitsTicket, Ticket: c.req.Ticket,
		})
	}
	if r.gatewaysAt != n.hosts.revision {
		req.Gateways, req.HasGateways = n.hosts.directPeers(), true
	}
	if now.Sub(r.loadsAt) >= loadsInterval {
		r.loadsAt = now
		req.PackedLoads, req.HasLoads = placement.PackLoads(n.hosts.totals), true
	}
	return req
}

// returnCrashes keeps crashes for the next call to the leader.
func (r *relay) returnCrashes(crashes []crashcause.CrashReport) {
	r.node.mu.Lock()
	defer r.node.mu.Unlock()
	r.crashes = append(crashes, r.crashes...)
	r.crashes = r.crashes[:min(len(r.crashes), maxForwardedCrashes)]
}

// apply applies the leader's view of the fleet in its reply to req.
func (r *relay) apply(req *SubmitRequest, reply *SubmitReply, now time.Time) error {
	upstreams, err := (&SyncReply{EncodedUpstreams: reply.EncodedUpstreams}).DecodeUpstreams()
	if err != nil {
		return err
	}
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range upstreams {
		if !upstreams[i].Unresponsive {
			n.table.ApplyStateOf(upstreams[i].Upstream, upstreams[i].Coldness(now), now)
		}
	}
	r.epoch, r.gatewaysAt, r.tableRevision = reply.Epoch, reply.GatewaysRevision, reply.TableRevision
	r.fleet.hosts = reply.Hosts
	r.fleet.crashes = crashcause.Decision{Quarantined: reply.Quarantined, Suspects: reply.Suspects}
	if l := reply.Notices; l != nil {
		r.fleet.notices = notice.NewSnapshot(l.Digest, l.Reports, now)
	}
	r.applyEvacuations(reply.Evacuations)
	r.applyPeers(req, reply)
	n.hosts.forget(reply.Moved, now)
	if req.HasLoads {
		r.fleet.elsewhere, err = othersLoads(reply.PackedTotals, reply.PackedOwn)
	}
	return err
}

// applyPeers applies the changes of the leader's list of gateway hosts. Replies may arrive in
// another order than they were sent, and changes apply only to the list that they were made for.
// The caller holds node.mu.
func (r *relay) applyPeers(req *SubmitRequest, reply *SubmitReply) {
	newest := r.node.peerLists.newest()
	list := peerList{epoch: reply.Epoch, revision: reply.PeersRevision, peers: reply.Peers}
	switch {
	case newest.epoch == reply.Epoch && newest.revision >= reply.PeersRevision:
		return
	case reply.PeerChanges != nil && (newest.epoch != req.Epoch || newest.revision != req.PeersRevision):
		return
	case reply.PeerChanges != nil:
		list.peers = reply.PeerChanges.Apply(newest.peers)
	}
	r.node.peerLists.add(list)
}
