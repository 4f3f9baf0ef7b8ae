package controlnode

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/fleetstate"
)

// syncTimeout bounds the commit of a host's report.
const syncTimeout = 800 * time.Millisecond

// sync serves MethodSync.
func (n *Node) sync(ctx context.Context, req *SyncRequest) (*SyncReply, error) {
	r, route := n.leader()
	if r == nil {
		return &SyncReply{Routed: route}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	result, err := n.reports.submit(ctx, req)
	if err != nil {
		route, err := n.routed(err)
		return &SyncReply{Routed: route}, err
	}
	reply := &SyncReply{Prepaid: result.reply, Questions: result.questions, Epoch: n.epoch, Members: n.Members()}
	n.addDocument(req, reply)
	n.addTraffic(req, reply, time.Now())
	return reply, nil
}

func (n *Node) addDocument(req *SyncRequest, reply *SyncReply) {
	d := n.machine.Load().Document()
	reply.Version = d.Version
	if d.Version > req.Version {
		reply.Document = d
	}
}

// addTraffic notes the host's load and tells it of the upstreams and the load of the
// others. A brief call leaves the loads as they are.
func (n *Node) addTraffic(req *SyncRequest, reply *SyncReply, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts.heard(req.Host, req.Peer, now)
	if !req.Brief {
		n.hosts.expire(now)
		n.hosts.setLoads(h, req.Loads)
		reply.Loads = n.hosts.loadsBesides(h)
	}
	reply.Hosts = len(n.hosts.hosts)
	known := req.Revision
	if req.Epoch != n.epoch {
		known = 0
	}
	reply.Revision = n.table.Revision()
	reply.Upstreams = toMessages(n.table.ChangedSince(known), now)
	reply.PeersRevision = n.hosts.revision
	if req.Epoch != n.epoch || req.Peers != n.hosts.revision {
		reply.Peers = n.hosts.peers()
	}
	n.crashes.add(req.Crashes, now)
	reply.Quarantined = n.crashes.quarantined(now)
}

// closeSession serves MethodClose.
func (n *Node) closeSession(ctx context.Context, req *CloseRequest) (*CloseReply, error) {
	r, route := n.leader()
	if r == nil {
		return &CloseReply{Routed: route}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	command := &fleetstate.Command{Closings: []fleetstate.Closing{{Host: req.Host, Session: req.Session}}}
	if _, err := propose(ctx, r, command); err != nil {
		route, err := n.routed(err)
		return &CloseReply{Routed: route}, err
	}
	klog.InfoS("session of a host closed", "gateway", req.Host)
	return &CloseReply{}, nil
}
