package controlnode

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/crashcause"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/notice"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/rpc"
)

// syncTimeout limits the commit of a host's report or of the end of its session.
const syncTimeout = 800 * time.Millisecond

// sync serves MethodSync: on the leader itself, elsewhere through the leader if the call asks for
// that. Without a leader it tells what this host knows of the upstreams and the evacuated zones.
func (n *Node) sync(ctx context.Context, req *SyncRequest) (*SyncReply, error) {
	reply, err := n.syncThroughLeader(ctx, req)
	if err == nil && reply.NotLeader && reply.Leader == "" && req.AcceptsEncoded {
		n.mu.Lock()
		reply.EncodedUpstreams = n.upstreamFeed.news(time.Now())
		reply.Evacuations = n.evacuationsSince(req.EvacuationRevision)
		n.mu.Unlock()
	}
	return reply, err
}

func (n *Node) syncThroughLeader(ctx context.Context, req *SyncRequest) (*SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	r, redirect := n.leaderOrRedirect()
	if r == nil {
		if req.Relay && redirect.Leader != "" {
			return n.relay.sync(ctx, req, redirect)
		}
		return &SyncReply{LeaderRedirect: redirect}, nil
	}
	results, err := n.confirmCalls(ctx, r, req)
	if err != nil {
		redirect, err := n.redirectFor(err)
		return &SyncReply{LeaderRedirect: redirect}, err
	}
	if ticket := results[0].ticket; ticket != 0 {
		return &SyncReply{Ticket: ticket}, nil
	}
	reply := &SyncReply{Prepaid: results[0].reply, CeilingQueries: results[0].ceilingQueries}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addCrashes(req, now)
	n.addNotices(req, now)
	n.hosts.recordCall(req.Host, req.Peer, now) // the first list of a new leader has the host that calls
	n.addState(req, reply, n.fleetViewOfLeader(now), now)
	return reply, nil
}

// confirmCalls commits what the calls report and returns the results. A quorum has confirmed that
// this host leads after the calls arrived, even if they report nothing.
func (n *Node) confirmCalls(ctx context.Context, r *localReplica, calls ...*SyncRequest) ([]submitResult, error) {
	reporting := slices.ContainsFunc(calls, func(c *SyncRequest) bool { return c.Opening != nil || c.Report != nil })
	if !reporting {
		if _, err := r.Barrier(ctx); err != nil {
			return nil, err
		}
	}
	return n.reports.submit(ctx, calls...)
}

// fleetView is what a control host knows of the whole fleet.
type fleetView struct {
	// leads is true on the leader.
	leads bool
	// hosts is the number of gateway hosts.
	hosts int
	// elsewhere holds the loads of the gateway hosts that call other control hosts, by short id.
	elsewhere map[uint32]placement.Load
	// crashes are the quarantined and the suspect traits of requests, by the leader of crashEpoch.
	crashes    crashcause.Decision
	crashEpoch uint64
	// notices are what upstreams say of themselves.
	notices notice.Snapshot
}

// fleetViewOfLeader returns the view of this host, which is the leader, and renews its list of
// gateway hosts. The caller holds n.mu.
func (n *Node) fleetViewOfLeader(now time.Time) fleetView {
	n.hosts.publish(now)
	n.peerLists.add(peerList{epoch: n.epoch, revision: n.hosts.publishedRevision, peers: n.hosts.published})
	return fleetView{leads: true, hosts: len(n.hosts.published), crashes: n.crashes.Decide(now), crashEpoch: n.epoch, notices: n.notices.Snapshot(now)}
}

// addState records the call, and adds to the reply the evacuated zones, the document, the upstreams,
// the loads of the other hosts, the hosts and the quarantined requests. A brief call neither changes nor returns
// loads. The caller holds n.mu.
func (n *Node) addState(req *SyncRequest, reply *SyncReply, fleet fleetView, now time.Time) {
	reply.ConfirmsIdleCalls = true
	reply.Evacuations = n.evacuationsSince(req.EvacuationRevision)
	n.addDocument(req, reply)
	n.addControlHosts(req, reply, now)
	h := n.hosts.recordCall(req.Host, req.Peer, now)
	if !req.Brief {
		if fleet.leads {
			n.hosts.expire(now)
		} else {
			n.hosts.expireDirect(now)
		}
		n.hosts.setLoads(h, placement.ByShortID(req.Loads))
		n.addLoads(req, reply, h, fleet, now)
	}
	n.addUpstreams(req, reply, now)
	reply.Hosts, reply.Quarantined, reply.Suspects = fleet.hosts, fleet.crashes.Quarantined, fleet.crashes.Suspects
	reply.CrashEpoch = fleet.crashEpoch
	reply.Notices = noticeList(fleet.notices, req.NoticesDigest, now)
	n.addPeers(req, reply)
}

// addPeers adds the gateway hosts to the reply that the host's list lacks. The caller holds n.mu.
func (n *Node) addPeers(req *SyncRequest, reply *SyncReply) {
	newest := n.peerLists.newest()
	reply.PeersEpoch, reply.PeersRevision = newest.epoch, newest.revision
	reply.Peers, reply.PeerChanges = n.peerLists.since(req.peersEpoch(), req.PeersRevision)
	if reply.PeerChanges != nil && !req.AcceptsEncoded {
		reply.Peers, reply.PeerChanges = newest.peers, nil
	}
}

// DirectGateways returns the number of gateway hosts that called this control host recently.
func (n *Node) DirectGateways() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts.expireDirect(time.Now())
	return len(n.hosts.hosts)
}

// addDocument adds the version in force to the reply, and the document if the host's
// version is older.
func (n *Node) addDocument(req *SyncRequest, reply *SyncReply) {
	d := n.machine.Load().Document()
	reply.Version = d.Version
	if d.Version > req.Version {
		reply.Document = d
	}
}

// addLoads adds the loads of all hosts but h to the reply. The caller holds n.mu.
func (n *Node) addLoads(req *SyncRequest, reply *SyncReply, h *gatewayHost, fleet fleetView, now time.Time) {
	if req.AcceptsEncoded {
		reply.PackedTotals, reply.PackedOwn = n.loadFeed.totals(n.hosts, fleet.elsewhere, h, now)
		return
	}
	reply.Loads = map[string]placement.Load{}
	others := n.hosts.loadsOfOthers(h)
	for _, r := range n.table.All() {
		if load, loaded := others[placement.ShortID(r.ID)]; loaded {
			reply.Loads[r.ID] = load
		}
	}
}

// addUpstreams adds the upstreams to the reply that the host's copy of the table lacks. The
// caller holds n.mu.
func (n *Node) addUpstreams(req *SyncRequest, reply *SyncReply, now time.Time) {
	known := req.Revision
	if req.Epoch != n.epoch {
		known = 0
	}
	reply.Epoch = n.epoch
	switch {
	case req.AcceptsEncoded && known == 0 && len(req.TableDigests) > 0:
		reply.EncodedUpstreams, reply.Revision = n.upstreamFeed.differences(req.TableDigests, now)
		return
	case req.AcceptsEncoded:
		reply.EncodedUpstreams, reply.Revision = n.upstreamFeed.since(known, now)
		return
	}
	reply.Upstreams, reply.Revision = toUpstreamRecords(n.table.ChangedSince(known), now), n.table.Revision()
}

// closeSession serves MethodClose. A host that is not the leader passes it on.
func (n *Node) closeSession(ctx context.Context, req *CloseRequest) (*CloseReply, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	r, redirect := n.leaderOrRedirect()
	switch {
	case r == nil && redirect.Leader != "" && !req.Relayed:
		relayed := *req
		relayed.Relayed = true
		return rpc.Call[CloseRequest, CloseReply](ctx, n.rpc, redirect.Leader, MethodClose, &relayed)
	case r == nil:
		return &CloseReply{LeaderRedirect: redirect}, nil
	}
	command := &fleetstate.Command{Closings: []fleetstate.SessionClosing{{Host: req.Host, Session: req.Session}}}
	if _, err := propose(ctx, r, command); err != nil {
		redirect, err := n.redirectFor(err)
		return &CloseReply{LeaderRedirect: redirect}, err
	}
	klog.InfoS("session closed", "gateway", req.Host)
	return &CloseReply{}, nil
}
