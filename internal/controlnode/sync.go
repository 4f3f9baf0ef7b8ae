package controlnode

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/placement"
)

const (
	// syncTimeout bounds the commit of a host's report.
	syncTimeout = 800 * time.Millisecond
	// hostRetention is the time without a call after which a gateway host counts as gone.
	hostRetention = 3 * time.Second
)

// gatewayHost is what the leader knows of a gateway host.
type gatewayHost struct {
	seen  time.Time
	loads map[string]placement.Load
	peer  Peer
}

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

// addTraffic notes the host's load and tells it of the upstreams and the load of the others.
func (n *Node) addTraffic(req *SyncRequest, reply *SyncReply, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[req.Host]
	if h == nil {
		h = &gatewayHost{}
		n.hosts[req.Host] = h
	}
	if h.peer != req.Peer {
		n.peersRevision++
	}
	h.seen, h.loads, h.peer = now, req.Loads, req.Peer
	reply.Loads = map[string]placement.Load{}
	for name, other := range n.hosts {
		if now.Sub(other.seen) > hostRetention {
			delete(n.hosts, name)
			n.peersRevision++
			continue
		}
		if name == req.Host {
			continue
		}
		for id, load := range other.loads {
			sum := reply.Loads[id]
			sum.Open += load.Open
			sum.Unread += load.Unread
			sum.Resident += load.Resident
			reply.Loads[id] = sum
		}
	}
	reply.Hosts = len(n.hosts)
	reply.Revision = n.table.Revision()
	known := req.Revision
	if req.Epoch != n.epoch {
		known = 0
	}
	reply.Upstreams = toMessages(n.table.Since(known), now)
	reply.PeersRevision = n.peersRevision
	if req.Epoch != n.epoch || req.Peers != n.peersRevision {
		for _, other := range n.hosts {
			reply.Peers = append(reply.Peers, other.peer)
		}
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
