package controlnode

import (
	"context"
	"sync"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/stopreport"
	"github.com/godwitbend/godwitbend/internal/telemetry"
)

// maxStopEnds bounds the values of the tag by which the streams in stops are counted.
const maxStopEnds = 24

// stopStreams counts the streams of stopping gateway hosts by their end.
type stopStreams struct {
	scope tally.Scope

	mu   sync.Mutex
	ends map[string]tally.Counter
}

func (s *stopStreams) count(end string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.ends[end]; !known && len(s.ends) >= maxStopEnds {
		end = stopreport.EndOther
	}
	if s.ends[end] == nil {
		s.ends[end] = telemetry.StreamInStop(s.scope, end)
	}
	s.ends[end].Inc(int64(n))
}

// reportStop serves MethodReportStop. A report is logged whether or not the gateway host has a session: the host may have closed it,
// or its next process opened one.
func (n *Node) reportStop(_ context.Context, req *stopreport.Report) (*StopReportReply, error) {
	report := req.Bounded()
	for end, streams := range report.Ends {
		n.stopStreams.count(end, streams)
	}
	for i := range report.Streams {
		logStopStream(report, &report.Streams[i])
	}
	klog.InfoS("streams in the stop of a gateway", "gateway", report.Gateway, "at_ms", report.At.Milliseconds(), "open", report.Open,
		"ends", report.Ends, "listed", len(report.Streams), "stalled_ms", report.Stalled.Milliseconds(),
		"signal_delay_ms", report.SignalDelay.Milliseconds(), "sync_age_ms", report.SyncAge.Milliseconds())
	return &StopReportReply{}, nil
}

// logStopStream logs a stream in the stop of a gateway host, as a warning unless its time was up. The fields that tell causes apart
// come first, for readers of lines that are cut short.
func logStopStream(r *stopreport.Report, s *stopreport.Stream) {
	message := "stream cut in stop"
	fields := []any{"ended_by", s.EndedBy}
	if s.IsOpen() {
		message, fields = "stream open in stop", nil
	}
	fields = append(fields, "sent_at_ms", s.Sent.Milliseconds(), "at_ms", s.At.Milliseconds(), "silent_ms", s.Silent.Milliseconds())
	if s.IsOpen() {
		fields = append(fields, "unacked_ms", s.Unacked.Milliseconds())
	}
	if s.Full {
		fields = append(fields, "full", true)
	}
	if s.Via != "" {
		fields = append(fields, "via", s.Via)
	}
	fields = append(fields, "deadline_at_ms", s.Deadline.Milliseconds(), telemetry.FieldUpstream, s.Upstream, "in_flight", s.InFlight)
	if s.KVCapacity > 0 {
		fields = append(fields, "kv_percent", s.KVPercent())
	}
	fields = append(fields, "route", s.Route, "gateway", r.Gateway, "stalled_ms", r.Stalled.Milliseconds(),
		"sync_age_ms", r.SyncAge.Milliseconds(), telemetry.FieldRequestID, s.RequestID)
	if s.IsExpired() {
		klog.InfoS(message, fields...)
		return
	}
	telemetry.Warn(message, fields...)
}
