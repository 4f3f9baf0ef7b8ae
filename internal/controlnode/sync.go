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
		reply.Loads = n.hosts.loadsOfOthers(h)
	}
	reply.Hosts = len(n.hosts.hosts)
	knownRevision := req.Revision
	if req.Epoch != n.epoch {
		knownRevision = 0
	}
	reply.Revision = n.table.Revision()
	reply.Upstreams = toUpstreamRecords(n.table.ChangedSince(knownRevision), now)
	n.hosts.publish(now)
	reply.PeersRevision = n.hosts.publishedRevision
	if req.Epoch != n.epoch || req.PeersRevision != n.hosts.publishedRevision {
		reply.Peers = n.hosts.published
	}
	n.crashes.add(req.Crashes, now)
	reply.Quarantined = n.crashes.quarantined(now)
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
