package controlnode

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/prepaid"
	"github.com/godwitbend/godwitbend/internal/replica"
	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// joinTimeout bounds one call to join.
	joinTimeout = 2 * time.Second
	// joinInterval is the time between two rounds of calls to join.
	joinInterval = 200 * time.Millisecond
	// superviseInterval is the time between two looks at the replica.
	superviseInterval = 250 * time.Millisecond
	// changeTimeout bounds one membership change.
	changeTimeout = 2 * time.Second
	// removeAfter is the time without contact after which a voter is removed. The
	// users' hosts freeze or are cut off for up to 9 s and come back with their disks.
	removeAfter = 20 * time.Second
	// leaderlessLimit is the time without a leader after which a replica asks
	// whether it still belongs to the group.
	leaderlessLimit = 4 * time.Second
	// summaryInterval is the time between two lines of the log for each budget.
	summaryInterval = 10 * time.Second
	// minVoters is the number of voters that no removal goes below.
	minVoters = 3
)

// errNotMember reports that the group has removed this replica.
var errNotMember = eris.New("the group has removed this replica")

// takePart runs replicas until ctx ends: a replica that was removed, while the
// host was away, starts again under a new id.
func (n *Node) takePart(ctx, background context.Context) error {
	for ctx.Err() == nil {
		id, err := n.establish(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		r, err := n.startReplica(id)
		if err != nil {
			return err
		}
		err = n.supervise(ctx, background, r)
		if !eris.Is(err, errNotMember) && !eris.Is(err, replication.ErrIdentityLost) {
			return err
		}
		klog.InfoS("replica was removed from the group; joining under a new id", "replica", id.ReplicaID)
		n.replica.Store(nil)
		if err := r.Stop(); err != nil {
			klog.ErrorS(err, "removed replica stopped with an error")
		}
		if err := forget(n.options.Directory); err != nil {
			return err
		}
	}
	return nil
}

// establish returns the identity on the disk, or gets one.
func (n *Node) establish(ctx context.Context) (*identity, error) {
	id, err := loadIdentity(n.options.Directory)
	if err != nil || id != nil {
		return id, err
	}
	if founders := n.founders(); founders != nil {
		own := slices.IndexFunc(founders, func(p replication.Peer) bool { return p.Address == n.options.Address })
		id = &identity{ReplicaID: founders[own].ID, Founders: founders}
	} else if id, err = n.askToJoin(ctx, 0); err != nil {
		return nil, err
	}
	return id, id.save(n.options.Directory)
}

// founders returns the first membership if this host is one of those that found the group.
func (n *Node) founders() []replication.Peer {
	seeds := n.options.Seeds()
	if !n.options.Bootstrap || !slices.Contains(seeds, n.options.Address) {
		return nil
	}
	var peers []replication.Peer
	for i, address := range seeds {
		peers = append(peers, replication.Peer{ID: uint64(i + 1), Address: address})
	}
	return peers
}

// askToJoin asks the leader for a replica id until it gets one. With an id it
// asks whether that one is still a member; a removed one gets errNotMember.
func (n *Node) askToJoin(ctx context.Context, id uint64) (*identity, error) {
	for {
		for _, address := range n.contacts() {
			reply, err := n.callLeader(ctx, address, &JoinRequest{Address: n.options.Address, ReplicaID: id})
			if err != nil {
				continue
			}
			n.learnMembers(reply.Members)
			if id != 0 && reply.ReplicaID != id {
				return nil, errNotMember
			}
			return &identity{ReplicaID: reply.ReplicaID}, nil
		}
		if id != 0 {
			return nil, eris.New("no leader answered")
		}
		if !timing.Sleep(ctx, joinInterval) {
			return nil, ctx.Err()
		}
	}
}

// callLeader asks the host at address, and the leader that it names.
func (n *Node) callLeader(ctx context.Context, address string, req *JoinRequest) (*JoinReply, error) {
	for range 2 {
		call, cancel := context.WithTimeout(ctx, joinTimeout)
		reply, err := rpc.Call[JoinRequest, JoinReply](call, n.rpc, address, MethodJoin, req)
		cancel()
		if err != nil {
			return nil, err
		}
		if !reply.NotLeader {
			return reply, nil
		}
		if address = reply.Leader; address == "" {
			break
		}
	}
	return nil, eris.New("the leader is not known")
}

func (n *Node) startReplica(id *identity) (*replica.Replica, error) {
	machine := fleetstate.New()
	n.learnMembers(id.Founders)
	r, err := replica.Start(replica.Options{
		ID: id.ReplicaID, Peers: id.Founders, Bootstrap: len(id.Founders) > 0,
		Directory: n.options.Directory, Machine: machine, Transport: n.transport,
		TickInterval: tick, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, EagerStart: true,
		SnapshotEntries: snapshotEntries, SegmentBytes: segmentBytes, Seed: n.epoch,
		OnLeadership: func(leads bool, term uint64) {
			klog.InfoS("leadership changed", "replica", id.ReplicaID, "leads", leads, "term", term)
		},
	})
	if err != nil {
		return nil, err
	}
	if len(id.Founders) > 0 {
		// The first state is on disk; an empty disk must not found the group again.
		founded := &identity{ReplicaID: id.ReplicaID}
		if err := founded.save(n.options.Directory); err != nil {
			return nil, err
		}
	}
	n.learnMembers(peersOf(r.Status()))
	n.machine.Store(machine)
	n.replica.Store(r)
	klog.InfoS("replica started", "replica", id.ReplicaID, "applied", r.Status().Applied)
	return r, nil
}

func peersOf(s replica.Status) []replication.Peer {
	var peers []replication.Peer
	for _, p := range s.Peers {
		peers = append(peers, p.Peer)
	}
	return peers
}

// supervise watches the replica and, on the leader, the membership. It returns
// nil when ctx ends.
func (n *Node) supervise(ctx, background context.Context, r *replica.Replica) error {
	lastLed, summarised := time.Now(), time.Now()
	lastActive := map[uint64]time.Time{}
	ticker := time.NewTicker(superviseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		s := r.Status()
		if s.Failure != nil {
			return s.Failure
		}
		n.learnMembers(peersOf(s))
		now := time.Now()
		switch {
		case s.Role == replication.Leader:
			lastLed = now
			n.superviseMembers(background, r, s, lastActive, now)
			if now.Sub(summarised) > summaryInterval {
				summarised = now
				n.logBudgets(background, r)
			}
		case s.Leader != replication.None && n.address(s.Leader) != "":
			lastLed = now
			clear(lastActive)
		case s.Leader != replication.None || now.Sub(lastLed) > leaderlessLimit:
			// An admitted replica without a log knows no address, and can't answer the
			// leader, until it has asked again.
			lastLed = now
			if _, err := n.askToJoin(ctx, s.ID); eris.Is(err, errNotMember) {
				return err
			}
		}
	}
}

// superviseMembers promotes learners that have caught up and removes one voter
// that has been silent for long.
func (n *Node) superviseMembers(ctx context.Context, r *replica.Replica, s replica.Status, lastActive map[uint64]time.Time, now time.Time) {
	voters := 0
	for _, p := range s.Peers {
		if p.Active || p.ID == s.ID || lastActive[p.ID].IsZero() {
			lastActive[p.ID] = now
		}
		if !p.Learner {
			voters++
		}
	}
	for _, p := range s.Peers {
		silentFor := now.Sub(lastActive[p.ID])
		switch {
		case p.Learner && p.Active && p.Match >= s.Commit:
			n.change(ctx, "promote", p.Peer, func(ctx context.Context) error { return r.PromoteReplica(ctx, p.ID) })
			return
		case silentFor > removeAfter && (p.Learner || voters > minVoters):
			n.change(ctx, "remove", p.Peer, func(ctx context.Context) error { return r.RemoveReplica(ctx, p.ID) })
			return
		}
	}
}

func (n *Node) change(ctx context.Context, what string, p replication.Peer, fn func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := fn(ctx); err != nil {
		klog.InfoS("membership not changed", "change", what, "replica", p.ID, "address", p.Address, "error", err.Error())
		return
	}
	klog.InfoS("membership changed", "change", what, "replica", p.ID, "address", p.Address)
}

// join serves MethodJoin.
func (n *Node) join(ctx context.Context, req *JoinRequest) (*JoinReply, error) {
	r, route := n.leader()
	if r == nil {
		return &JoinReply{Routed: route}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	reply := &JoinReply{}
	var err error
	if req.ReplicaID != 0 {
		err = n.confirmMember(ctx, r, req.ReplicaID, reply)
	} else {
		err = n.admit(ctx, r, req.Address, reply)
	}
	if err != nil {
		if reply.Routed, err = n.routed(err); err != nil {
			return nil, err
		}
	}
	return reply, nil
}

// confirmMember tells whether a replica belongs to the group, as a quorum knows it.
func (n *Node) confirmMember(ctx context.Context, r *replica.Replica, id uint64, reply *JoinReply) error {
	if _, err := r.Barrier(ctx); err != nil {
		return err
	}
	reply.Members = peersOf(r.Status())
	if slices.ContainsFunc(reply.Members, func(p replication.Peer) bool { return p.ID == id }) {
		reply.ReplicaID = id
	}
	return nil
}

// admit takes a host with an empty disk in as a learner. The replica that was at
// its address has lost its disk and is removed first.
func (n *Node) admit(ctx context.Context, r *replica.Replica, address string, reply *JoinReply) error {
	if _, err := r.Barrier(ctx); err != nil {
		return err
	}
	largest := uint64(0)
	for _, p := range r.Status().Peers {
		largest = max(largest, p.ID)
		if p.Address != address {
			continue
		}
		if err := r.RemoveReplica(ctx, p.ID); err != nil {
			return err
		}
		klog.InfoS("membership changed", "change", "remove", "replica", p.ID, "address", address, "reason", "disk lost")
	}
	for id := largest + 1; ; id++ {
		err := r.AddReplica(ctx, replication.Peer{ID: id, Address: address})
		if eris.Is(err, replication.ErrIDUsed) {
			continue
		}
		if err != nil {
			return err
		}
		klog.InfoS("membership changed", "change", "add", "replica", id, "address", address)
		reply.ReplicaID, reply.Members = id, peersOf(r.Status())
		n.learnMembers([]replication.Peer{{ID: id, Address: address}})
		return nil
	}
}

// logBudgets writes the state of each budget to the log.
func (n *Node) logBudgets(ctx context.Context, r *replica.Replica) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var list []prepaid.Summary
	if err := r.LocalRead(ctx, func() { list = n.machine.Load().Book().Summaries() }); err != nil {
		klog.InfoS("budgets not read", "error", err.Error())
		return
	}
	for _, s := range list {
		klog.InfoS("budget", "organisation", s.Organisation, "prepaid", s.Prepaid, "charged", s.Charged,
			"written_off", s.WrittenOff, "used", s.Used, "reserved", s.Reserved, "free", s.Free, "undistributed", s.Undistributed)
	}
}
