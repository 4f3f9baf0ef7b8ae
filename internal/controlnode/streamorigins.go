package controlnode

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/streamorigin"
)

// maxOriginDatagramBytes bounds a datagram with records of streams.
const maxOriginDatagramBytes = 8 << 10

// restoreStreamOrigins restores the records of streams that this host kept before it was killed.
func (n *Node) restoreStreamOrigins() {
	restored, err := n.originJournal.Restore(n.origins, time.Now())
	if err != nil {
		klog.ErrorS(err, "origins of streams not restored")
		return
	}
	klog.InfoS("origins of streams restored", "records", restored)
}

// receiveStreamOrigins keeps the records of streams that gateway hosts send in datagrams, until ctx ends.
func (n *Node) receiveStreamOrigins(ctx context.Context) error {
	address, err := netip.ParseAddrPort(n.options.Address)
	if err != nil {
		return eris.Wrap(err, "parse the address for other hosts")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return eris.Wrap(err, "listen for records of streams")
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	buffer := make([]byte, maxOriginDatagramBytes)
	for {
		size, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrap(err, "receive records of streams")
		}
		var msg streamorigin.Datagram
		if err := codec.Unmarshal(buffer[:size], &msg); err != nil {
			klog.V(2).InfoS("invalid record of a stream", "error", err.Error())
			continue
		}
		now := time.Now()
		for i := range msg.Records {
			if n.origins.Keep(msg.Records[i], now) && n.originJournal != nil {
				n.originJournal.Add(msg.Records[i])
			}
		}
	}
}
