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
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// gossipInterval is the least time between two messages: an engine reads the
	// shortest of the prompts that matter in about as long.
	gossipInterval = 20 * time.Millisecond
	// gossipRefresh is the time between two messages without news.
	gossipRefresh = 400 * time.Millisecond
	// gossipPeers is the number of hosts up to which each tells all others; in
	// larger fleets the control group passes the sums on.
	gossipPeers = 24
	// maxDatagram is the largest message that is sent.
	maxDatagram = 8 << 10
)

// loadMessage is a host's load, sent to the other hosts as a datagram. A lost one
// is made good by the next.
type loadMessage struct {
	Session uint64                    `cbor:"1,keyasint"`
	Seq     uint64                    `cbor:"2,keyasint"`
	Loads   map[uint32]placement.Load `cbor:"3,keyasint,omitempty"`
	// Recent are the shared parts that were read lately.
	Recent []placement.CachedPrefix `cbor:"4,keyasint,omitempty"`
}

// Gossip exchanges loads with the other hosts until ctx ends.
func (c *Client) Gossip(ctx context.Context) error {
	address, err := netip.ParseAddrPort(c.options.Address)
	if err != nil {
		return eris.Wrap(err, "address for other hosts")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return eris.Wrap(err, "listen for the loads of other hosts")
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go c.hearLoads(ctx, conn)
	c.tellLoads(ctx, conn)
	return nil
}

func (c *Client) tellLoads(ctx context.Context, conn *net.UDPConn) {
	seq := uint64(0)
	refresh := time.NewTicker(gossipRefresh)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-refresh.C:
		case <-c.options.Pool.LoadChanged():
		}
		seq++
		c.tellLoadsOnce(conn, seq)
		timing.Sleep(ctx, gossipInterval)
	}
}

func (c *Client) tellLoadsOnce(conn *net.UDPConn, seq uint64) {
	peers := c.gossipPeers()
	if len(peers) == 0 {
		return
	}
	pool := c.options.Pool
	data, err := codec.Marshal(&loadMessage{
		Session: c.opening.Session, Seq: seq, Loads: pool.LoadsByShortID(), Recent: pool.RecentPrefixes(),
	})
	if err != nil || len(data) > maxDatagram {
		klog.V(2).InfoS("loads not told", "bytes", len(data), "error", err)
		return
	}
	for _, address := range peers {
		if _, err := conn.WriteToUDPAddrPort(data, address); err != nil {
			klog.V(2).InfoS("loads not told", "peer", address.String(), "error", err.Error())
		}
	}
}

// gossipPeers returns the other hosts, or none in a fleet that is too large.
func (c *Client) gossipPeers() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.peers) > gossipPeers+1 {
		return nil
	}
	var list []netip.AddrPort
	for _, p := range c.peers {
		if address, err := netip.ParseAddrPort(p.Address); err == nil && p.Session != c.opening.Session {
			list = append(list, address)
		}
	}
	return list
}

func (c *Client) hearLoads(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				klog.ErrorS(err, "the loads of other hosts are no longer heard")
			}
			return
		}
		var msg loadMessage
		if err := codec.Unmarshal(buffer[:n], &msg); err != nil {
			klog.V(2).InfoS("message of another host not read", "error", err.Error())
			continue
		}
		c.options.Pool.ApplyPeerLoad(msg.Session, msg.Seq, msg.Loads, msg.Recent, time.Now())
	}
}
