package hostsync

import (
	"context"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/streamorigin"
)

// methodStreamOrigin is the RPC method that returns the origin of a stream.
const methodStreamOrigin = "/fleet/StreamOrigin"

// streamOriginTimeout bounds the search for the origin of a stream. A round trip between hosts
// takes a few milliseconds, or about 100 ms if they are busy.
const streamOriginTimeout = 300 * time.Millisecond

// streamOriginRecord tells another host to keep the origin of a stream.
type streamOriginRecord struct {
	Key    string              `cbor:"1,keyasint"`
	Origin streamorigin.Origin `cbor:"2,keyasint"`
	// Lifetime is the time for which the record is needed.
	Lifetime time.Duration `cbor:"3,keyasint"`
}

type streamOriginRequest struct {
	Key string `cbor:"1,keyasint"`
}

type streamOriginReply struct {
	Origin streamorigin.Origin `cbor:"1,keyasint"`
	Known  bool                `cbor:"2,keyasint,omitempty"`
}

func (c *Client) registerStreamOrigin(srv *rpc.Server) {
	rpc.Handle(srv, methodStreamOrigin, func(_ context.Context, req *streamOriginRequest) (*streamOriginReply, error) {
		origin, known := c.origins.Get(req.Key, time.Now())
		return &streamOriginReply{Origin: origin, Known: known}, nil
	})
}

// RecordStreamOrigin keeps the origin of a stream for lifetime, here and on a few other hosts.
// The messages to them may be lost.
func (c *Client) RecordStreamOrigin(key string, o streamorigin.Origin, lifetime time.Duration) {
	record := streamOriginRecord{Key: key, Origin: o, Lifetime: lifetime}
	if !c.keepStreamOrigin(&record) {
		return
	}
	conn := c.gossipConn.Load()
	if conn == nil {
		return
	}
	data, err := codec.Marshal(&gossipMessage{StreamOrigins: []streamOriginRecord{record}})
	if err != nil {
		klog.ErrorS(err, "origin of a stream not sent", "stream_origin", key)
		return
	}
	for _, host := range streamorigin.KeepersOf(key, c.options.Address, c.peerAddresses(), streamorigin.Keepers) {
		address, err := netip.ParseAddrPort(host)
		if err == nil {
			_, err = conn.WriteToUDPAddrPort(data, address)
		}
		if err != nil {
			klog.V(2).InfoS("origin of a stream not sent", "stream_origin", key, "peer", host, "error", err.Error())
		}
	}
}

// keepStreamOrigin keeps a record on this host, and reports whether there is room for it.
func (c *Client) keepStreamOrigin(r *streamOriginRecord) bool {
	kept := c.origins.Put(r.Key, r.Origin, r.Lifetime, time.Now())
	if !kept {
		klog.InfoS("origin of a stream not kept", "key_bytes", len(r.Key))
	}
	return kept
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

// StreamOrigin returns the origin of a stream, which this host keeps or asks others for, and whether
// it is known.
func (c *Client) StreamOrigin(ctx context.Context, key string) (streamorigin.Origin, bool) {
	if origin, known := c.origins.Get(key, time.Now()); known {
		return origin, true
	}
	ctx, cancel := context.WithTimeout(ctx, streamOriginTimeout)
	defer cancel()
	hosts := streamorigin.KeepersOf(key, c.options.Address, c.peerAddresses(), streamorigin.Lookups)
	replies := make(chan *streamOriginReply, len(hosts))
	for _, host := range hosts {
		go func() { replies <- c.askStreamOrigin(ctx, host, key) }()
	}
	for range hosts {
		if reply := <-replies; reply.Known {
			return reply.Origin, true
		}
	}
	return streamorigin.Origin{}, false
}

// askStreamOrigin asks one host for the origin of a stream. If the call fails the reply is empty.
func (c *Client) askStreamOrigin(ctx context.Context, host, key string) *streamOriginReply {
	reply, err := rpc.Call[streamOriginRequest, streamOriginReply](ctx, c.rpc, host, methodStreamOrigin, &streamOriginRequest{Key: key})
	if err != nil {
		if ctx.Err() == nil {
			klog.InfoS("host not asked for the origin of a stream", "stream_origin", key, "peer", host, "error", err.Error())
		}
		return &streamOriginReply{}
	}
	return reply
}
