package hostsync

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/streamorigin"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// minGossipInterval is the minimum time between two messages. It is about the time in
	// which an engine prefills the shortest prompts that affect placement.
	minGossipInterval = 20 * time.Millisecond
	// gossipRefreshInterval is the time between two messages if the load does not change.
	gossipRefreshInterval = 400 * time.Millisecond
	// maxDatagramBytes is the maximum size of a message. The sums of 3,000 upstreams fit into it.
	maxDatagramBytes = 32 << 10
)

// gossipMessage is a datagram to other hosts. One with a Seq publishes the whole load of the host, so
// that the next one makes up for a lost one.
type gossipMessage struct {
	Session uint64                    `cbor:"1,keyasint"`
	Seq     uint64                    `cbor:"2,keyasint"`
	Loads   map[uint32]placement.Load `cbor:"3,keyasint,omitempty"`
	// RecentPrefixes are the prompt prefixes that were prefilled recently.
	RecentPrefixes []placement.CachedPrefix `cbor:"4,keyasint,omitempty"`
	// StreamOrigins are records for the receiver to keep; see streamorigin.Datagram.
	StreamOrigins []streamorigin.Record `cbor:"5,keyasint,omitempty"`
	// Sums are those of the sender's neighbourhood, for a host of another one.
	Sums *placement.NeighbourhoodSums `cbor:"6,keyasint,omitempty"`
}

// Gossip exchanges datagrams with the other gateway hosts until ctx ends.
func (c *Client) Gossip(ctx context.Context) error {
	address, err := netip.ParseAddrPort(c.options.Address)
	if err != nil {
		return eris.Wrap(err, "parse the address for other hosts")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return eris.Wrap(err, "listen for messages of other hosts")
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	c.gossipConn.Store(conn)
	go c.receiveMessages(ctx, conn)
	go c.sendSums(ctx, conn)
	c.sendLoads(ctx, conn)
	return nil
}

// sendLoads sends a message whenever the load changes, and at least once in
// gossipRefreshInterval.
func (c *Client) sendLoads(ctx context.Context, conn *net.UDPConn) {
	seq := uint64(0)
	refresh := time.NewTicker(gossipRefreshInterval)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-refresh.C:
		case <-c.options.Pool.LoadChanged():
		}
		seq++
		c.sendLoadsOnce(conn, seq)
		timing.Sleep(ctx, minGossipInterval)
	}
}

func (c *Client) sendLoadsOnce(conn *net.UDPConn, seq uint64) {
	plan := c.gossipPlan.Load()
	if plan == nil || len(plan.neighbours) == 0 {
		return
	}
	pool := c.options.Pool
	sendTo(conn, &gossipMessage{
		Session: c.opening.Session, Seq: seq, Loads: pool.LoadsByShortID(), RecentPrefixes: pool.RecentPrefixes(),
	}, plan.neighbours)
}

func (c *Client) receiveMessages(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				klog.ErrorS(err, "no longer receiving messages of other hosts")
			}
			return
		}
		c.applyDatagram(buffer[:n], time.Now())
	}
}

// applyDatagram applies a message of another host. One that can't be decoded is ignored.
func (c *Client) applyDatagram(data []byte, now time.Time) {
	var msg gossipMessage
	if err := codec.Unmarshal(data, &msg); err != nil {
		klog.V(2).InfoS("invalid message of another host", "error", err.Error())
		return
	}
	for i := range msg.StreamOrigins {
		c.origins.Keep(msg.StreamOrigins[i], now)
	}
	if msg.Sums != nil {
		c.applySums(msg.Sums, now)
	}
	if msg.Seq > 0 {
		c.options.Pool.ApplyPeerLoad(msg.Session, msg.Seq, msg.Loads, msg.RecentPrefixes, now)
	}
}
