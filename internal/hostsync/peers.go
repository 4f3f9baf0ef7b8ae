package hostsync

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/prepaid"
)

// peerRetention is how long the gateway hosts that only the previous leader knew are
// retained after a change of the leader. Hosts that are up call the new one within that
// time.
const peerRetention = 3 * time.Second

// applyPeers updates the list of gateway hosts, and with it the holders of tokens.
func (c *Client) applyPeers(reply *controlnode.SyncReply) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if peersEpoch(reply) != c.peersEpoch {
		c.earlierPeers, c.epochSince = c.peers, now
	}
	expired := c.earlierPeers != nil && now.Sub(c.epochSince) > peerRetention
	switch {
	case reply.Peers != nil:
		c.currentPeers = reply.Peers
	case reply.PeerChanges != nil:
		c.currentPeers = reply.PeerChanges.Apply(c.currentPeers)
	}
	if expired {
		c.earlierPeers = nil
	}
	if reply.Peers == nil && reply.PeerChanges == nil && !expired {
		return
	}
	earlier := c.peers
	c.peers = mergePeers(c.currentPeers, c.earlierPeers)
	addresses := []string{c.options.Address}
	var started []string
	for _, p := range c.peers {
		addresses = append(addresses, p.Address)
		if at, found := slices.BinarySearchFunc(earlier, p, controlnode.Peer.Compare); !found || earlier[at].Session != p.Session {
			started = append(started, p.Address)
		}
	}
	if len(started) > 0 {
		go c.resendToStarted(started)
	}
	c.planGossip()
	c.options.Pool.SetHosts(c.options.Address, addresses)
	c.allowance.SetFleet(prepaid.NewFleet(c.options.Address, addresses))
	if len(c.peers) != len(earlier) {
		klog.InfoS("number of gateway hosts changed", "hosts", len(c.peers), "epoch", peersEpoch(reply), "revision", reply.PeersRevision)
	}
}

// peersEpoch returns the epoch of the list of gateway hosts, which an earlier build of a control
// host does not state apart.
func peersEpoch(reply *controlnode.SyncReply) uint64 { return cmp.Or(reply.PeersEpoch, reply.Epoch) }

// mergePeers returns current and those of earlier whose addresses current lacks, ordered by
// address.
func mergePeers(current, earlier []controlnode.Peer) []controlnode.Peer {
	merged := slices.Clone(current)
	slices.SortFunc(merged, controlnode.Peer.Compare)
	for _, p := range earlier {
		if _, found := slices.BinarySearchFunc(merged[:len(current)], p, controlnode.Peer.Compare); !found {
			merged = append(merged, p)
		}
	}
	slices.SortFunc(merged, controlnode.Peer.Compare)
	return merged
}

// knownPeers returns the number of gateway hosts, with those that a new leader has yet to hear from.
func (c *Client) knownPeers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.peers)
}

// OtherHosts returns the addresses of the other gateway hosts.
func (c *Client) OtherHosts() []string {
	return slices.DeleteFunc(c.peerAddresses(), func(address string) bool { return address == c.options.Address })
}

// peerAddresses returns the addresses of the gateway hosts.
func (c *Client) peerAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	addresses := make([]string, 0, len(c.peers))
	for _, p := range c.peers {
		addresses = append(addresses, p.Address)
	}
	return addresses
}
