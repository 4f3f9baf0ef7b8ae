package hostsync

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/streamorigin"
)

const (
	// streamOriginTimeout bounds the search for the origin of a stream. A round trip between hosts
	// takes a few milliseconds, or about 100 ms if they are busy.
	streamOriginTimeout = 300 * time.Millisecond
	// resentPerDatagram is the number of records in one datagram when many are sent again. A record
	// takes about 100 bytes, so that the datagram fits into one packet.
	resentPerDatagram = 8
	// resendPause is the time between two datagrams of records that are sent again to a host. The
	// socket buffer of a host holds about 160 of them, and up to 300 gateways send at once.
	resendPause = 5 * time.Millisecond
)

// RecordStreamOrigin keeps the origin of a stream here, on a few other gateway hosts and on a few control
// hosts. The messages to them may be lost.
func (c *Client) RecordStreamOrigin(r streamorigin.Record) {
	now := time.Now()
	c.origins.Keep(r, now) // the others may have room although this host has none
	c.begunStreams.Add(r, now)
	c.sendStreamOrigins([]streamorigin.Record{r}, append(c.keepersOf(r), c.controlKeepers().of(r)...)...)
}

func (c *Client) keepersOf(r streamorigin.Record) []string {
	return streamorigin.KeepersOf(r.Fingerprint, c.options.Address, c.peerAddresses(), streamorigin.Keepers)
}

// sendStreamOrigins sends records to hosts, one datagram to each.
func (c *Client) sendStreamOrigins(records []streamorigin.Record, hosts ...string) {
	conn := c.gossipConn.Load()
	if conn == nil {
		return
	}
	data, err := codec.Marshal(&streamorigin.Datagram{Records: records})
	if err != nil {
		klog.ErrorS(err, "origins of streams not encoded", "stream_origin", records[0].CallID)
		return
	}
	for _, host := range hosts {
		address, err := netip.ParseAddrPort(host)
		if err == nil {
			_, err = conn.WriteToUDPAddrPort(data, address)
		}
		if err != nil {
			klog.V(2).InfoS("origins of streams not sent", "stream_origin", records[0].CallID, "host", host, "error", err.Error())
		}
	}
}

// resendStreamOrigins sends the records of the streams that this host began again, each to the hosts that
// keepers returns for it.
func (c *Client) resendStreamOrigins(reason string, keepers func(streamorigin.Record) []string) {
	c.resending.Lock()
	defer c.resending.Unlock()
	pending := map[string][]streamorigin.Record{}
	sent := 0
	for _, r := range c.begunStreams.Needed(time.Now()) {
		for _, host := range keepers(r) {
			pending[host] = append(pending[host], r)
			sent++
		}
	}
	if sent == 0 {
		return
	}
	klog.InfoS("sending origins of streams again", "reason", reason, "records", sent, "hosts", len(pending))
	for len(pending) > 0 {
		for host, records := range pending {
			n := min(len(records), resentPerDatagram)
			c.sendStreamOrigins(records[:n], host)
			if pending[host] = records[n:]; n == len(records) {
				delete(pending, host)
			}
		}
		time.Sleep(resendPause)
	}
}

// resendToStarted sends the records of the streams that this host began to those of their keepers that
// have just started.
func (c *Client) resendToStarted(started []string) {
	c.resendStreamOrigins("gateway hosts started", func(r streamorigin.Record) []string {
		return slices.DeleteFunc(c.keepersOf(r), func(host string) bool { return !slices.Contains(started, host) })
	})
}

// KeptStreamOrigin returns what the records on this host tell of the origin of a stream.
func (c *Client) KeptStreamOrigin(fingerprint uint64, callID string) streamorigin.Reply {
	return c.origins.Get(fingerprint, callID, time.Now())
}

// StreamOrigin searches for the origin of the stream that a call began, here and on the gateway and
// control hosts that keep it. If callID is empty, any stream of the same request is meant.
func (c *Client) StreamOrigin(ctx context.Context, fingerprint uint64, callID string) *streamorigin.Search {
	query := &streamorigin.Query{Fingerprint: fingerprint, CallID: callID}
	gateways := streamorigin.KeepersOf(fingerprint, c.options.Address, c.peerAddresses(), streamorigin.Lookups)
	controls := streamorigin.KeepersOf(fingerprint, "", c.controlKeepers().members, streamorigin.Lookups)
	search := streamorigin.NewSearch(query, gateways, controls)
	kept := c.KeptStreamOrigin(fingerprint, callID)
	search.Add(c.options.Address, &kept)
	if search.Verdict() == streamorigin.Undecided {
		c.askStreamOrigin(ctx, query, slices.Concat(gateways, controls), search)
	}
	return search
}

// originAnswer is the answer of one host to a query.
type originAnswer struct {
	host  string
	reply *streamorigin.Reply
	err   error
}

// askStreamOrigin sends a query to hosts at once, and adds their answers to the search until it is decided
// or streamOriginTimeout has passed.
func (c *Client) askStreamOrigin(ctx context.Context, query *streamorigin.Query, hosts []string, search *streamorigin.Search) {
	ctx, cancel := context.WithTimeout(ctx, streamOriginTimeout)
	defer cancel()
	answers := make(chan originAnswer, len(hosts))
	for _, host := range hosts {
		go func() {
			reply, err := c.originAsker.Ask(ctx, host, query)
			answers <- originAnswer{host, reply, err}
		}()
	}
	for search.Verdict() == streamorigin.Undecided {
		select {
		case a := <-answers:
			switch {
			case a.err == nil:
				search.Add(a.host, a.reply)
			case errors.Is(a.err, context.DeadlineExceeded):
				search.AddFailure(a.host, "no answer in time")
			default:
				search.AddFailure(a.host, a.err.Error())
			}
		case <-ctx.Done():
			search.End()
		}
	}
}
