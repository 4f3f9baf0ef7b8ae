package hostsync

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/streamorigin"
)

// BenchmarkRecordStreamOrigin measures what a record adds to the time to a stream's first event, with and
// without control hosts that keep it, in fleets of 9 and 300 gateways and 9 control hosts.
func BenchmarkRecordStreamOrigin(b *testing.B) {
	for _, gateways := range []int{9, 300} {
		for _, controls := range []int{0, 9} {
			b.Run(fmt.Sprintf("gateways=%d/controls=%d", gateways, controls), func(b *testing.B) {
				benchmarkRecordStreamOrigin(b, gateways, controls)
			})
		}
	}
}

func benchmarkRecordStreamOrigin(b *testing.B, gateways, controls int) {
	sink, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = sink.Close() }()
	port := sink.LocalAddr().(*net.UDPAddr).Port
	c := New(Options{Host: "g", Address: "127.0.0.1:1", Pool: placement.NewPool("a"), Clock: func() int64 { return 0 }})
	c.gossipConn.Store(sink)
	for i := range gateways {
		c.peers = append(c.peers, controlnode.Peer{Address: fmt.Sprintf("127.1.%d.%d:%d", i/200, 1+i%200, port)})
	}
	keepers := &controlKeepers{}
	for i := range controls {
		keepers.members = append(keepers.members, fmt.Sprintf("127.2.0.%d:%d", 1+i, port))
	}
	c.originKeepers.Store(keepers)
	r := streamorigin.Record{
		Fingerprint: 1 << 63,
		CallID:      "5a0cf6b2-91e3-4c7c-8a83-0d9f2f0c2f11", Origin: streamorigin.Origin{Service: "engine", Version: "2026.12.1"}, Lifetime: 20 * time.Second,
	}
	data, err := codec.Marshal(&streamorigin.Datagram{Records: []streamorigin.Record{r}})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		r.Fingerprint++
		r.CallID = fmt.Sprintf("5a0cf6b2-91e3-4c7c-8a83-%012d", r.Fingerprint)
		if r.Fingerprint%1000 == 0 {
			// A gateway has about 1,000 open streams, and a full table would keep nothing more.
			c.origins, c.begunStreams = streamorigin.NewTable(), streamorigin.Begun{}
		}
		c.RecordStreamOrigin(r)
	}
	b.ReportMetric(float64(len(data)), "bytes/datagram")
}

// BenchmarkStreamOriginOfUnknownCall measures a search at hosts of which none runs.
func BenchmarkStreamOriginOfUnknownCall(b *testing.B) {
	c := New(Options{Host: "g", Address: "127.0.0.1:1", Pool: placement.NewPool("a"), Clock: func() int64 { return 0 }})
	c.originKeepers.Store(&controlKeepers{members: []string{"127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"}})
	for b.Loop() {
		c.StreamOrigin(context.Background(), 1, "a")
	}
}
