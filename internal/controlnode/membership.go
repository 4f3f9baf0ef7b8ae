package controlnode

import (
	"cmp"
	"context"
	"slices"
	"syscall"
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
	// joinTimeout limits one Join call.
	joinTimeout = 2 * time.Second
	// joinRetryInterval is the delay between two rounds of Join calls.
	joinRetryInterval = 200 * time.Millisecond
	// superviseInterval is the interval at which the replica's status is checked.
	superviseInterval = 250 * time.Millisecond
	// confirmationTimeout limits one round of questions whether a replica is still a member. Meanwhile the replica is
	// not supervised.
	confirmationTimeout = 4 * time.Second
	// membershipChangeTimeout limits one membership change.
	membershipChangeTimeout = 2 * time.Second
	// leaderlessTimeout is the time without a leader after which a replica asks the other
	// control hosts whether it is still a member of the group.
	leaderlessTimeout = 4 * time.Second
	// budgetLogInterval is the interval at which the leader logs the state of the budgets.
	budgetLogInterval = 10 * time.Second
	// diskRetryInterval is the delay before a replica is started again whose disk failed.
	diskRetryInterval = 500 * time.Millisecond
)

// errNotMember means that the group has removed this replica.
var errNotMember = eris.New("the group has removed this replica")

// errOldBuild means that a host that joins runs a build that does not understand an entry of the log.
var errOldBuild = eris.New("the build of this host does not understand the log of the group")

// errStillMember means that a replica at the address of a host that joins still answers the leader.
var errStillMember = eris.New("the replica at this address still answers")

// runReplicas runs this host's replica until ctx ends. A replica whose disk fails is started
// again until the disk works; meanwhile the host serves what needs no replica.
func (n *Node) runReplicas(ctx, background context.Context) error {
	for ctx.Err() == nil {
		err := n.runReplica(ctx, background)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil && !temporaryDiskError(err):
			return err
		case err != nil:
			klog.ErrorS(err, "replica stopped: the disk failed", "retry_after", diskRetryInterval.String())
			timing.Sleep(ctx, diskRetryInterval)
		}
	}
	return nil
}

// temporaryDiskError reports whether err comes from a disk that is full, read-only or fails
// to read or write, or from a limit of file sizes, as opposed to damaged files.
func temporaryDiskError(err error) bool {
	return slices.ContainsFunc([]error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, syscall.EIO, syscall.EROFS}, func(cause error) bool {
		return eris.Is(err, cause)
	})
}

// runReplica runs one replica until ctx ends or it fails. If the group removed the replica,
// for instance while the host was unreachable, its files are deleted, so that the next one
// joins under a new id.
func (n *Node) runReplica(ctx, background context.Context) error {
	id, err := n.loadOrCreateIdentity(ctx)
	if err != nil {
		return err
	}
	r, err := n.startReplica(id)
	if err != nil {
		return err
	}
	err = n.supervise(ctx, background, r)
	if err == nil {
		return nil // ctx has ended; the replica is stopped later
	}
	n.replica.Store(nil)
	if err := r.Stop(); err != nil {
		klog.ErrorS(err, "replica stopped with an error")
	}
	if !eris.Is(err, errNotMember) && !eris.Is(err, replication.ErrIdentityLost) {
		return err
	}
	klog.InfoS("replica was removed from the group; joining under a new id", "replica", id.ReplicaID)
	return id.removeReplica(n.options.FS, n.options.Directory)
}

// loadOrCreateIdentity returns the identity on disk, or creates one and saves it.
func (n *Node) loadOrCreateIdentity(ctx context.Context) (*identity, error) {
	id, err := loadIdentity(n.options.FS, n.options.Directory)
	switch {
	case err != nil:
		return nil, err
	case id != nil && len(id.Founders) > 0:
		n.founds.Store(id)
	case id != nil:
		n.wasMember.Store(true)
	}
	if id != nil {
		n.setGroupID(id.Group)
	}
	if id != nil && !id.Removed {
		return id, nil
	}
	if id, err = n.newIdentity(ctx, id); err != nil {
		return nil, err
	}
	if err := id.save(n.options.FS, n.options.Directory); err != nil {
		return nil, err
	}
	n.admitted = nil
	n.setGroupID(id.Group)
	return id, nil
}

// newIdentity founds the group, if this host is a founder, or joins it. removed is the identity of a
// replica that the group has removed, or nil: after it the host joins in any case.
func (n *Node) newIdentity(ctx context.Context, removed *identity) (*identity, error) {
	if removed == nil {
		if founder := n.founder(); founder != nil {
			founds, err := n.confirmFounding(ctx, founder)
			if err != nil || founds {
				return founder, err
			}
		}
	} else if err := removed.removeReplica(n.options.FS, n.options.Directory); err != nil {
		return nil, err // the removal may have been interrupted
	}
	return n.admission(ctx)
}

// admission returns the identity with which the group admits this host. The host asks once its disk takes writes,
// and only once, as each request changes the membership.
func (n *Node) admission(ctx context.Context) (*identity, error) {
	if n.admitted != nil {
		return n.admitted, nil
	}
	if err := n.writeContacts(n.knownControlHosts()); err != nil {
		return nil, err
	}
	var err error
	n.admitted, err = n.requestMembership(ctx, 0)
	return n.admitted, err
}

// requestMembership asks the leader for a replica id until it receives one. If id is not
// 0, it instead asks whether that replica is still a member, and returns errNotMember if
// it was removed.
func (n *Node) requestMembership(ctx context.Context, id uint64) (*identity, error) {
	if id != 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, confirmationTimeout)
		defer cancel()
	}
	search := leaderSearch{began: time.Now(), member: id != 0}
	for {
		asked := n.knownControlHosts()
		for _, address := range asked {
			reply, err := n.callJoin(ctx, address, &JoinRequest{
				Address: n.options.Address, ReplicaID: id, Group: n.groupID(), Features: n.understands,
			})
			if err != nil {
				continue
			}
			if n.otherGroup(reply.Group) {
				n.forget(address)
				continue
			}
			n.recordAddresses(reply.Members)
			if id != 0 && reply.ReplicaID != id {
				return nil, errNotMember
			}
			return &identity{ReplicaID: reply.ReplicaID, Group: cmp.Or(reply.Group, n.groupID())}, nil
		}
		if now := time.Now(); search.logs(now) {
			klog.InfoS("no control host leads to the leader of the group", "replica", id, "asked", asked, "live", n.liveContacts(),
				"after_ms", now.Sub(search.began).Milliseconds())
		}
		if id != 0 {
			return nil, eris.New("no leader answered")
		}
		if !timing.Sleep(ctx, joinRetryInterval) {
			return nil, ctx.Err()
		}
	}
}

// callJoin calls Join on the host at address and follows one redirect to the leader.
func (n *Node) callJoin(ctx context.Context, address string, req *JoinRequest) (*JoinReply, error) {
	for range 2 {
		call, cancel := context.WithTimeout(ctx, joinTimeout)
		reply, err := rpc.Call[JoinRequest, JoinReply](call, n.rpc, address, MethodJoin, req)
		cancel()
		if rpc.IsUnregistered(err) {
			n.forget(address) // another service has the address now
		}
		if err != nil {
			return nil, err
		}
		if n.sameGroup(reply.Group) {
			n.hear(address)
		}
		if !reply.NotLeader {
			return reply, nil
		}
		if address = reply.Leader; address == "" {
			break
		}
	}
	return nil, eris.New("the leader is unknown")
}

func (n *Node) startReplica(id *identity) (*localReplica, error) {
	machine := fleetstate.New()
	n.recordAddresses(id.Founders)
	started, err := replica.Start(replica.Options{
		ID: id.ReplicaID, Peers: id.Founders, Bootstrap: len(id.Founders) > 0,
		Directory: n.options.Directory, FS: n.options.FS, Machine: machine, Transport: n.transport,
		TickInterval: tickInterval, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, FastInitialElection: true,
		SnapshotEntries: snapshotEntries, SegmentBytes: segmentBytes, Seed: n.epoch,
		OnLeadership: func(leads bool, term uint64) {
			s, _ := n.Status()
			klog.InfoS("leadership changed", "replica", id.ReplicaID, "leads", leads, "term", term, "voters", voterAddresses(s))
		},
	})
	if err != nil {
		return nil, err
	}
	if len(id.Founders) > 0 {
		// The initial state is on disk. The founders are removed from the identity, so that
		// a replica that loses this state cannot found the group a second time.
		founded := &identity{ReplicaID: id.ReplicaID, Group: id.Group}
		if err := founded.save(n.options.FS, n.options.Directory); err != nil {
			if stopErr := started.Stop(); stopErr != nil {
				klog.ErrorS(stopErr, "replica stopped with an error")
			}
			return nil, err
		}
	}
	r := &localReplica{started, machine}
	n.recordAddresses(peersOf(r.Status()))
	n.machine.Store(machine)
	n.replica.Store(r)
	s := r.Status()
	klog.InfoS("replica started", "replica", id.ReplicaID, "applied", s.Applied, "term", s.Term, "voters", voterAddresses(s))
	return r, nil
}

func peersOf(s replica.Status) []replication.Peer {
	var peers []replication.Peer
	for _, p := range s.Peers {
		peers = append(peers, p.Peer)
	}
	return peers
}

// supervise monitors the replica and, on the leader, the membership. It returns nil when
// ctx ends, and an error if the replica failed or was removed from the group.
func (n *Node) supervise(ctx, background context.Context, r *localReplica) error {
	lastLeaderSeen, lastBudgetLog := time.Now(), time.Now()
	tracker := newMemberTracker(time.Now())
	leaderless := leaderlessLog{since: time.Now()}
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
		n.recordAddresses(peersOf(s))
		now := time.Now()
		leaderless.update(s, now, func() []string { return n.silentVoters(s, now) })
		tracker.update(s, n.takeReplicaReports(), now)
		switch {
		case s.Role == replication.Leader:
			lastLeaderSeen = now
			n.superviseMembers(background, r, tracker)
			n.proposeLedgerRule(background, r)
			if now.Sub(lastBudgetLog) > budgetLogInterval {
				lastBudgetLog = now
				n.logBudgets(background, r)
				n.logEarlierBuilds(r)
			}
		case s.Leader != replication.None && n.address(s.Leader) != "":
			lastLeaderSeen = now
		case s.Leader != replication.None || now.Sub(lastLeaderSeen) > leaderlessTimeout:
			// A replica that was admitted but has no log yet knows no addresses, so it cannot
			// answer the leader until it has requested the members again.
			lastLeaderSeen = now
			if _, err := n.requestMembership(ctx, s.ID); eris.Is(err, errNotMember) {
				return err
			}
		}
	}
}

// superviseMembers changes the membership as needed. A replacement is two changes, one right after the
// other.
func (n *Node) superviseMembers(ctx context.Context, r *localReplica, tracker *memberTracker) {
	for range 2 {
		change, m := nextMemberChange(tracker.states())
		if change == noChange || !n.changeMembership(ctx, r, change, m) {
			return
		}
		tracker.update(r.Status(), replicaReports{}, time.Now())
	}
}

// changeMembership makes a membership change, logs the result and reports whether it succeeded.
func (n *Node) changeMembership(ctx context.Context, r *localReplica, change memberChange, m memberState) bool {
	ctx, cancel := context.WithTimeout(ctx, membershipChangeTimeout)
	defer cancel()
	apply := r.PromoteReplica
	if change == remove {
		apply = r.RemoveReplica
	}
	if err := apply(ctx, m.ID); err != nil {
		klog.InfoS("membership change failed", "change", change.String(), "replica", m.ID, "address", m.Address, "error", err.Error())
		return false
	}
	klog.InfoS("membership changed", "change", change.String(), "replica", m.ID, "address", m.Address, "voter", !m.Learner,
		"silent_ms", m.silentFor.Milliseconds())
	return true
}

// join serves MethodJoin.
func (n *Node) join(ctx context.Context, req *JoinRequest) (*JoinReply, error) {
	if n.otherGroup(req.Group) {
		return nil, errAnotherGroup
	}
	r, redirect := n.leaderOrRedirect()
	if r == nil {
		return &JoinReply{LeaderRedirect: redirect, Group: n.groupID()}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	reply := &JoinReply{Group: n.groupID()}
	var err error
	if req.ReplicaID != 0 {
		err = n.confirmMembership(ctx, r, req.ReplicaID, reply)
	} else {
		err = n.addLearner(ctx, r, req, reply)
	}
	if err != nil {
		if reply.LeaderRedirect, err = n.redirectFor(err); err != nil {
			return nil, err
		}
	}
	return reply, nil
}

// confirmMembership sets the reply's ReplicaID if a quorum confirms that the replica is a
// member of the group.
func (n *Node) confirmMembership(ctx context.Context, r *localReplica, id uint64, reply *JoinReply) error {
	if _, err := r.Barrier(ctx); err != nil {
		return err
	}
	s := r.Status()
	reply.Members = peersOf(s)
	if isMember(s, id) {
		reply.ReplicaID = id
	}
	return nil
}

// isMember reports whether a replica is a member of the group. One whose removal is not committed is: the
// removal may be undone, and the host of a replica that is removed deletes its disk.
func isMember(s replica.Status, id uint64) bool {
	matches := func(p replication.Peer) bool { return p.ID == id }
	return slices.ContainsFunc(s.Committed, matches) || slices.ContainsFunc(peersOf(s), matches)
}

// addLearner adds a host with an empty disk as a learner under a new id. An existing
// replica at the same address has lost its disk and is removed first.
func (n *Node) addLearner(ctx context.Context, r *localReplica, req *JoinRequest, reply *JoinReply) error {
	n.admissions.RLock()
	defer n.admissions.RUnlock()
	if _, err := r.Barrier(ctx); err != nil {
		return err
	}
	address := req.Address
	if needed := r.machine.NeededFeatures(); req.Features < needed {
		klog.InfoS("host not admitted to the group: its build doesn't understand the log", "address", address,
			"features", req.Features, "needed", needed)
		return errOldBuild
	}
	largest := uint64(0)
	for _, p := range r.Status().Peers {
		largest = max(largest, p.ID)
		if p.Address != address {
			continue
		}
		if p.Active {
			// The request is an earlier one, the old process has just ended, or the leader is new and may hear from it
			// yet. A host that joins tries again.
			return errStillMember
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
		n.recordAddresses([]replication.Peer{{ID: id, Address: address}})
		return nil
	}
}

// logBudgets logs the state of each budget.
func (n *Node) logBudgets(ctx context.Context, r *localReplica) {
	ctx, cancel := context.WithTimeout(ctx, membershipChangeTimeout)
	defer cancel()
	var list []prepaid.Summary
	if err := r.LocalRead(ctx, func() { list = r.machine.Book().Summaries() }); err != nil {
		klog.InfoS("reading the budgets failed", "error", err.Error())
		return
	}
	for _, s := range list {
		klog.InfoS("budget", "organisation", s.Organisation, "prepaid", s.Prepaid, "charged", s.Charged,
			"written_off", s.WrittenOff, "used", s.Used, "reserved", s.Reserved, "free", s.Free, "undistributed", s.Undistributed)
	}
}
