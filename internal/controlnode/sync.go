package controlnode

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/fleetstate"
)

// syncTimeout limits the commit of a host's report or of the end of its session.
const syncTimeout = 800 * time.Millisecond

// sync serves MethodSync.
func (n *Node) sync(ctx context.Context, req *SyncRequest) (*SyncReply, error) {
	r, redirect := n.leaderOrRedirect()
	if r == nil {
		return &SyncReply{LeaderRedirect: redirect}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	result, err := n.reports.submit(ctx, req)
	if err != nil {
		redirect, err := n.redirectFor(err)
		return &SyncReply{LeaderRedirect: redirect}, err
	}
	reply := &SyncReply{Prepaid: result.reply, CeilingQueries: result.ceilingQueries, Epoch: n.epoch, Members: n.Members()}
	n.addDocument(req, reply)
	n.addTrafficState(req, reply, time.Now())
	return reply, nil
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

// addTrafficState records the host's loads and crashes, and adds to the reply the upstreams,
// the loads of the other hosts, the gateway hosts and the quarantined requests. A brief
// call neither changes nor returns loads.
func (n *Node) addTrafficState(req *SyncRequest, reply *SyncReply, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts.recordCall(req.Host, req.Peer, now)
	if !req.Brief {
		n.hosts.expire(now)
		n.hosts.setLoads(h, req.Loads)
		if req.AcceptsEncoded {
			reply.PackedTotals, reply.PackedOwn = n.loadFeed.totals(n.hosts, h, now)
		} else {
			reply.Loads = n.hosts.loadsOfOthers(h)
		}
	}
	reply.Hosts = len(n.hosts.hosts)
	n.addUpstreams(req, reply, now)
	n.hosts.publish(now)
	reply.PeersRevision = n.hosts.publishedRevision
	if req.Epoch != n.epoch || req.PeersRevision != n.hosts.publishedRevision {
		reply.Peers = n.hosts.published
	}
	n.crashes.add(req.Crashes, now)
	reply.Quarantined = n.crashes.quarantined(now)
}

// addUpstreams adds the upstreams to the reply that the host's copy of the table lacks. The
// caller holds n.mu.
func (n *Node) addUpstreams(req *SyncRequest, reply *SyncReply, now time.Time) {
	known := req.Revision
	if req.Epoch != n.epoch {
		known = 0
	}
	if req.AcceptsEncoded {
		reply.EncodedUpstreams, reply.Revision = n.upstreamFeed.since(known, now)
		return
	}
	reply.Upstreams, reply.Revision = toUpstreamRecords(n.table.ChangedSince(known), now), n.table.Revision()
}

// closeSession serves MethodClose.
func (n *Node) closeSession(ctx context.Context, req *CloseRequest) (*CloseReply, error) {
	r, redirect := n.leaderOrRedirect()
	if r == nil {
		return &CloseReply{LeaderRedirect: redirect}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	command := &fleetstate.Command{Closings: []fleetstate.SessionClosing{{Host: req.Host, Session: req.Session}}}
	if _, err := propose(ctx, r, command); err != nil {
		redirect, err := n.redirectFor(err)
		return &CloseReply{LeaderRedirect: redirect}, err
	}
	klog.InfoS("session closed", "gateway", req.Host)
	return &CloseReply{}, nil
}
