package controlnode

import (
	"context"
	"time"

	"github.com/godwitbend/godwitbend/internal/crashcause"
	"github.com/godwitbend/godwitbend/internal/placement"
)

// serveSubmit serves MethodSubmit.
func (n *Node) serveSubmit(ctx context.Context, req *SubmitRequest) (*SubmitReply, error) {
	r, redirect := n.leaderOrRedirect()
	if r == nil {
		return &SubmitReply{LeaderRedirect: redirect}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	calls := make([]*SyncRequest, len(req.Calls))
	for i := range req.Calls {
		calls[i] = &req.Calls[i]
	}
	results, err := n.confirmCalls(ctx, r, calls...)
	if err != nil {
		redirect, err := n.redirectFor(err)
		return &SubmitReply{LeaderRedirect: redirect}, err
	}
	reply := &SubmitReply{Version: r.machine.Document().Version, Epoch: n.epoch}
	for _, result := range results {
		reply.Results = append(reply.Results, SubmitResult{Prepaid: result.reply, CeilingQueries: result.ceilingQueries, Ticket: result.ticket})
	}
	return reply, n.addFleetState(req, reply, time.Now())
}

// addFleetState records what a relay reports of its gateway hosts, and adds to the reply what it
// lacks of the state of the fleet.
func (n *Node) addFleetState(req *SubmitRequest, reply *SubmitReply, now time.Time) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	relay := n.hosts.recordRelay(req.Relay, req.RelayEpoch, now)
	if req.HasGateways {
		n.hosts.setRelayPeers(relay, req.Gateways, req.GatewaysRevision, now)
	}
	reply.GatewaysRevision = relay.revision
	for i := range req.Calls {
		n.hosts.forgetDirect(req.Calls[i].Host, req.Calls[i].Peer)
	}
	if req.HasLoads {
		loads, err := placement.UnpackLoads(req.PackedLoads)
		if err != nil {
			return err
		}
		n.hosts.setLoads(&relay.gatewayHost, loads)
		n.hosts.expire(now)
		reply.Moved = n.hosts.movedFrom(relay)
		reply.PackedTotals, reply.PackedOwn = n.loadFeed.totals(n.hosts, nil, &relay.gatewayHost, now)
	}
	n.crashes.Apply(&crashcause.Report{Crashes: req.Crashes}, now)
	for i := range req.Calls {
		n.addCrashes(&req.Calls[i], now)
		n.addNotices(&req.Calls[i], now)
	}
	fleet := n.fleetViewOfLeader(now)
	reply.Hosts, reply.Quarantined, reply.Suspects = fleet.hosts, fleet.crashes.Quarantined, fleet.crashes.Suspects
	reply.Notices = noticeList(fleet.notices, req.NoticesDigest, now)
	reply.Evacuations = n.evacuationsSince(req.EvacuationRevision)
	reply.PeersRevision = n.hosts.publishedRevision
	reply.Peers, reply.PeerChanges = n.peerLists.since(req.Epoch, req.PeersRevision)
	known := req.TableRevision
	if req.Epoch != n.epoch {
		known = 0
	}
	reply.EncodedUpstreams, reply.TableRevision = n.upstreamFeed.since(known, now)
	return nil
}
