package hostsync

import (
	"context"
	"net"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/timing"
)

// sumsInterval is the time between two messages with the sums of a neighbourhood.
const sumsInterval = 50 * time.Millisecond

// gossipPlan holds whom a host tells loads.
type gossipPlan struct {
	// neighbourhoods is their number, and own the index of this host's.
	neighbourhoods, own int
	// neighbours get the load of this host, and others the sums of its neighbourhood.
	neighbours, others []netip.AddrPort
}

// newGossipPlan returns the plan of the host at address in a fleet.
func newGossipPlan(address string, session uint64, peers []controlnode.Peer) *gossipPlan {
	if len(peers) > placement.MaxGossipHosts {
		return &gossipPlan{}
	}
	count := placement.Neighbourhoods(len(peers))
	plan := &gossipPlan{neighbourhoods: count, own: placement.NeighbourhoodOf(address, count)}
	var members []string
	var outside []netip.AddrPort
	for _, p := range peers {
		inside := placement.NeighbourhoodOf(p.Address, count) == plan.own
		if inside {
			members = append(members, p.Address)
		}
		to, err := netip.ParseAddrPort(p.Address)
		switch {
		case err != nil || p.Session == session:
		case inside:
			plan.neighbours = append(plan.neighbours, to)
		default:
			outside = append(outside, to)
		}
	}
	if len(members) == 0 {
		return plan
	}
	for _, to := range outside {
		if placement.SumsReporter(members, to.String()) == address {
			plan.others = append(plan.others, to)
		}
	}
	return plan
}

// planGossip renews the plan after a change of the list of gateway hosts. The caller holds mu.
func (c *Client) planGossip() {
	old, plan := c.gossipPlan.Load(), newGossipPlan(c.options.Address, c.opening.Session, c.peers)
	c.gossipPlan.Store(plan)
	if old != nil && old.neighbourhoods == plan.neighbourhoods {
		return
	}
	c.options.Pool.ForgetPeerLoads()
	klog.InfoS("neighbourhoods of gateway hosts changed", "neighbourhoods", plan.neighbourhoods, "own", plan.own,
		"neighbours", len(plan.neighbours), "others", len(plan.others))
}

// sendSums sends the sums of the neighbourhood each sumsInterval to the hosts that get them from this one.
func (c *Client) sendSums(ctx context.Context, conn *net.UDPConn) {
	seq := uint64(0)
	timing.Every(ctx, sumsInterval, func() {
		plan := c.gossipPlan.Load()
		if plan == nil || len(plan.others) == 0 {
			return
		}
		seq++
		loads, news := c.options.Pool.NeighbourhoodSums(time.Now())
		sendTo(conn, &gossipMessage{Sums: &placement.NeighbourhoodSums{
			Neighbourhood: plan.own, Count: plan.neighbourhoods, Session: c.opening.Session, Seq: seq,
			PackedLoads: placement.PackSums(loads), News: news,
		}}, plan.others)
	})
}

// sendTo sends a message to hosts. It may be lost.
func sendTo(conn *net.UDPConn, message *gossipMessage, hosts []netip.AddrPort) {
	data, err := codec.Marshal(message)
	if err != nil || len(data) > maxDatagramBytes {
		klog.V(2).InfoS("load message not sent", "bytes", len(data), "error", err)
		return
	}
	for _, address := range hosts {
		if _, err := conn.WriteToUDPAddrPort(data, address); err != nil {
			klog.V(2).InfoS("load message not sent", "peer", address.String(), "error", err.Error())
		}
	}
}

// applySums applies the sums of another neighbourhood. Those of a host that divides the fleet into another number of
// neighbourhoods are ignored.
func (c *Client) applySums(sums *placement.NeighbourhoodSums, now time.Time) {
	plan := c.gossipPlan.Load()
	if plan == nil || sums.Count != plan.neighbourhoods || sums.Neighbourhood == plan.own || sums.Neighbourhood < 0 || sums.Neighbourhood >= sums.Count {
		return
	}
	if err := c.options.Pool.ApplyNeighbourhoodSums(sums, now); err != nil {
		klog.V(2).InfoS("invalid sums of another neighbourhood", "session", sums.Session, "error", err.Error())
	}
}
