package controlnode

import (
	"context"
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/godwitbend/godwitbend/internal/stopreport"
)

// Guards against streams that a killed gateway left open and of which no remaining log tells.
func TestControlHostLogsTheStreamsOfAStoppingGateway(t *testing.T) {
	g := NewWithT(t)
	scope := tally.NewTestScope("", nil)
	n := New(Options{Address: "10.0.0.2:7040", Seeds: func() []string { return nil }, Scope: scope})
	lines := CaptureLog(t)
	_, err := n.reportStop(context.Background(), &stopreport.Report{
		Gateway: "gateway-1", At: 7700 * time.Millisecond, Stalled: 30 * time.Millisecond, Open: 3, Ends: map[string]int{stopreport.EndNone: 3, "host_stop": 1},
		Streams: []stopreport.Stream{
			{
				RequestID: "cut", EndedBy: "host_stop", Sent: -230 * time.Millisecond, Deadline: 7770 * time.Millisecond, At: 7690 * time.Millisecond,
				Silent: 2 * time.Second, Upstream: "u", Via: "10.0.0.9:7", Full: true, InFlight: 70, KVTokens: 90, KVCapacity: 100,
			},
			{RequestID: "open", EndedBy: stopreport.EndNone, At: 7700 * time.Millisecond, Upstream: "u", Unacked: 2500 * time.Millisecond},
			{RequestID: "expired", EndedBy: "upstream_deadline", At: 5 * time.Second, Deadline: 5 * time.Second, Upstream: "u"},
		},
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lines()).To(ConsistOf(
		And(HaveKeyWithValue("msg", "stream cut in stop"), HaveKeyWithValue("level", "WARN"), HaveKeyWithValue("request_id", "cut"),
			HaveKeyWithValue("ended_by", "host_stop"), HaveKeyWithValue("sent_at_ms", -230.0), HaveKeyWithValue("at_ms", 7690.0),
			HaveKeyWithValue("deadline_at_ms", 7770.0), HaveKeyWithValue("silent_ms", 2000.0), HaveKeyWithValue("full", true),
			HaveKeyWithValue("kv_percent", 90.0), HaveKeyWithValue("via", "10.0.0.9:7"), HaveKeyWithValue("upstream", "u"),
			HaveKeyWithValue("gateway", "gateway-1"), HaveKeyWithValue("stalled_ms", 30.0)),
		And(HaveKeyWithValue("msg", "stream open in stop"), HaveKeyWithValue("level", "WARN"), HaveKeyWithValue("request_id", "open"),
			HaveKeyWithValue("unacked_ms", 2500.0), Not(HaveKey("full")), Not(HaveKey("via")), Not(HaveKey("ended_by")), Not(HaveKey("kv_percent"))),
		And(HaveKeyWithValue("msg", "stream cut in stop"), HaveKeyWithValue("level", "INFO"), HaveKeyWithValue("request_id", "expired")),
		And(HaveKeyWithValue("msg", "streams in the stop of a gateway"), HaveKeyWithValue("open", 3.0), HaveKeyWithValue("listed", 3.0)),
	))
	counters := scope.Snapshot().Counters()
	g.Expect(counters["streams_in_stops+ended_by=open"].Value()).To(Equal(int64(3)))
	g.Expect(counters["streams_in_stops+ended_by=host_stop"].Value()).To(Equal(int64(1)))
}

// Guards against a gateway whose reports fill the log or the metrics of a control host, or end it.
func TestMalformedStopReportsAreBounded(t *testing.T) {
	g := NewWithT(t)
	scope := tally.NewTestScope("", nil)
	n := New(Options{Address: "10.0.0.2:7040", Seeds: func() []string { return nil }, Scope: scope})
	lines := CaptureLog(t)
	for i := range 100 {
		r := &stopreport.Report{Ends: map[string]int{strings.Repeat("x", i): math.MaxInt}, Streams: make([]stopreport.Stream, 1000), At: math.MinInt64}
		_, err := n.reportStop(context.Background(), r)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(lines()).To(HaveLen(100 * (stopreport.MaxStreams + 1)))
	g.Expect(len(scope.Snapshot().Counters())).To(BeNumerically("<=", maxStopEnds+1))
}
