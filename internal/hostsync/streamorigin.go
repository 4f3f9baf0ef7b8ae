package hostsync

import (
	"context"
	"errors"
	"net/netip"
	"slices"
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

type streamOriginRequest struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	CallID      string `cbor:"2,keyasint,omitempty"`
}

type streamOriginReply struct {
	Origin streamorigin.Origin `cbor:"1,keyasint"`
	Known  bool                `cbor:"2,keyasint,omitempty"`
}

func (c *Client) registerStreamOrigin(srv *rpc.Server) {
	rpc.Handle(srv, methodStreamOrigin, func(_ context.Context, req *streamOriginRequest) (*streamOriginReply, error) {
		origin, known := c.KeptStreamOrigin(req.Fingerprint, req.CallID)
		return &streamOriginReply{Origin: origin, Known: known}, nil
	})
}

// RecordStreamOrigin keeps the origin of a stream here and on a few other hosts. The messages to
// them may be lost.
func (c *Client) RecordStreamOrigin(r streamorigin.Record) {
	if !c.keepStreamOrigin(r) {
		return
	}
	c.begunStreams.Add(r, time.Now())
	for _, host := range c.keepersOf(r) {
		c.sendStreamOrigin(r, host)
	}
}

func (c *Client) keepersOf(r streamorigin.Record) []string {
	return streamorigin.KeepersOf(r.Fingerprint, c.options.Address, c.peerAddresses(), streamorigin.Keepers)
}

func (c *Client) sendStreamOrigin(r streamorigin.Record, host string) {
	conn := c.gossipConn.Load()
	if conn == nil {
		return
	}
	address, err := netip.ParseAddrPort(host)
	var data []byte
	if err == nil {
		data, err = codec.Marshal(&gossipMessage{StreamOrigins: []streamorigin.Record{r}})
	}
	if err == nil {
		_, err = conn.WriteToUDPAddrPort(data, address)
	}
	if err != nil {
		klog.V(2).InfoS("origin of a stream not sent", "stream_origin", r.CallID, "peer", host, "error", err.Error())
	}
}

// resendStreamOrigins sends the records of the streams that this host began to those of their keepers
// that have just started.
func (c *Client) resendStreamOrigins(started []string) {
	for _, r := range c.begunStreams.Needed(time.Now()) {
		for _, host := range c.keepersOf(r) {
			if slices.Contains(started, host) {
				c.sendStreamOrigin(r, host)
			}
		}
	}
}

// KeptStreamOrigin returns the origin of a stream if this host keeps its record.
func (c *Client) KeptStreamOrigin(fingerprint uint64, callID string) (streamorigin.Origin, bool) {
	return c.origins.Get(fingerprint, callID, time.Now())
}

// keepStreamOrigin keeps a record on this host, and reports whether there is room for it.
func (c *Client) keepStreamOrigin(r streamorigin.Record) bool {
	kept := c.origins.Put(r, time.Now())
	if !kept {
		klog.InfoS("origin of a stream not kept: too many, or its id is too long", "id_bytes", len(r.CallID))
	}
	return kept
}

// StreamOrigin returns the origin of the stream that a call began, and whether it is known, here or
// on the hosts that keep it. If callID is empty, any stream of the same request is meant.
func (c *Client) StreamOrigin(ctx context.Context, fingerprint uint64, callID string) (streamorigin.Origin, bool) {
	if origin, known := c.KeptStreamOrigin(fingerprint, callID); known {
		return origin, true
	}
	ctx, cancel := context.WithTimeout(ctx, streamOriginTimeout)
	defer cancel()
	req := &streamOriginRequest{Fingerprint: fingerprint, CallID: callID}
	hosts := streamorigin.KeepersOf(fingerprint, c.options.Address, c.peerAddresses(), streamorigin.Lookups)
	replies := make(chan *streamOriginReply, len(hosts))
	for _, host := range hosts {
		go func() { replies <- c.askStreamOrigin(ctx, host, req) }()
	}
	for range hosts {
		if reply := <-replies; reply.Known {
			return reply.Origin, true
		}
	}
	return streamorigin.Origin{}, false
}

// askStreamOrigin asks one host for the origin of a stream. If the call fails the reply is empty.
func (c *Client) askStreamOrigin(ctx context.Context, host string, req *streamOriginRequest) *streamOriginReply {
	reply, err := rpc.Call[streamOriginRequest, streamOriginReply](ctx, c.rpc, host, methodStreamOrigin, req)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			klog.InfoS("host did not tell the origin of a stream", "stream_origin", req.CallID, "peer", host, "error", err.Error())
		}
		return &streamOriginReply{}
	}
	return reply
}
