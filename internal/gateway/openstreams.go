package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/stopreport"
)

// stopReportTimeout bounds the time in which a report of a stop arrives or is lost.
const stopReportTimeout = 500 * time.Millisecond

// openStream is a stream of which the caller has got the beginning. Its last three fields are guarded by openStreams.mu.
type openStream struct {
	requestID, route string
	deadline         time.Time
	// limits are those of the upstreams of its service.
	limits placement.Request
	// lastEventAt is the time of the latest event in Unix ns.
	lastEventAt atomic.Int64

	exchange streamExchange
	// counted reports that a report of the stop has counted the stream as open.
	counted bool
}

// streamExchange is the exchange with the upstream that sends a stream.
type streamExchange struct {
	sentAt        time.Time
	upstream, via string
	// unacked returns the time since the upstream last sent data or an acknowledgement; nil if the stream has no answer yet.
	unacked func() time.Duration
}

func (x *streamExchange) unackedFor() time.Duration {
	if x.unacked == nil {
		return 0
	}
	return x.unacked()
}

// openStreams holds the streams that callers receive now, and those that ended early since the host stops. It is safe for concurrent
// use, and its zero value is empty.
type openStreams struct {
	mu   sync.Mutex
	open map[*openStream]struct{}
	// ended lists those that ended early since the latest report, as far as that has room, and ends counts them all.
	ended []stopreport.Stream
	ends  map[string]int
	// reported is set once the stop has been reported.
	reported bool
}

// addOpenStream records that the caller gets the beginning of a stream.
func (q *request) addOpenStream() {
	s := &openStream{
		requestID: q.ID, route: q.route.Name, deadline: q.streamDeadline(), limits: placement.Request{MaxInFlight: q.inFlightLimit()},
		exchange: q.streamExchange(),
	}
	if q.service != nil && q.service.Engine != nil {
		s.limits.KVCapacity = q.service.Engine.KVCapacity
	}
	s.noteEvent(time.Now())
	q.openStream = s
	o := &q.handler.openStreams
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open == nil {
		o.open = map[*openStream]struct{}{}
	}
	o.open[s] = struct{}{}
}

func (q *request) streamExchange() streamExchange {
	return streamExchange{sentAt: q.lastSentAt, upstream: q.upstreamID, via: q.via, unacked: q.unacked}
}

// moveOpenStream records that another upstream goes on with the stream, if the caller has the beginning.
func (q *request) moveOpenStream() {
	if q.openStream == nil {
		return
	}
	o := &q.handler.openStreams
	o.mu.Lock()
	defer o.mu.Unlock()
	q.openStream.exchange = q.streamExchange()
}

// noteEvent records that an event has arrived.
func (s *openStream) noteEvent(now time.Time) {
	if s != nil {
		s.lastEventAt.Store(now.UnixNano())
	}
}

// removeOpenStream records that the request has ended. If the host stops, and the caller has only the beginning of a stream, that is
// kept for the next report.
func (q *request) removeOpenStream() {
	s := q.openStream
	if s == nil {
		return
	}
	o := &q.handler.openStreams
	o.mu.Lock()
	delete(o.open, s)
	o.mu.Unlock()
	if plan := q.handler.stop.plan.Load(); plan != nil && q.outcome != gotAnswer {
		o.addEnded(q.handler.describe(s, q.streamExchange(), cmp.Or(string(q.endedBy), stopreport.EndOther), plan, time.Now()))
	}
}

func (o *openStreams) addEnded(s stopreport.Stream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ends == nil {
		o.ends = map[string]int{}
	}
	o.ends[s.EndedBy]++
	if len(o.ended) < stopreport.MaxStreams {
		o.ended = append(o.ended, s)
		return
	}
	if at := slices.IndexFunc(o.ended, func(e stopreport.Stream) bool { return e.IsExpired() }); at >= 0 && !s.IsExpired() {
		o.ended[at] = s
	}
}

// describe returns the description of a stream at a time of the stop.
func (h *Handler) describe(s *openStream, x streamExchange, endedBy string, plan *StopPlan, at time.Time) stopreport.Stream {
	occupancy := h.Pool.Occupancy(x.upstream, &s.limits)
	return stopreport.Stream{
		RequestID: s.requestID, Route: s.route, EndedBy: endedBy,
		Sent: x.sentAt.Sub(plan.Began), Deadline: s.deadline.Sub(plan.Began), At: at.Sub(plan.Began),
		Silent: at.Sub(time.Unix(0, s.lastEventAt.Load())), Upstream: x.upstream, Via: x.via,
		Full: occupancy.Full, InFlight: occupancy.InFlight, KVTokens: occupancy.KVTokens, KVCapacity: s.limits.KVCapacity,
		Unacked: x.unackedFor(),
	}
}

// SignalTimes tell how late the process learned that it has to stop.
type SignalTimes struct {
	// Learned is when it did.
	Learned time.Time
	// SentAfter is the earliest time at which the signal was sent, by the plan of the stop.
	SentAfter time.Time
}

// ReportOpenStreams tells a control host, without waiting for it, which streams are open and which ended early since the stop began
// or the latest report. If there are none only the first report of the stop is sent, which shows that the control hosts hear of it. done
// is closed when the report has arrived or is lost, after stopReportTimeout at the latest.
func (h *Handler) ReportOpenStreams(signal SignalTimes) (done <-chan struct{}) {
	ended := make(chan struct{})
	plan := h.stop.plan.Load()
	if plan == nil {
		close(ended)
		return ended
	}
	report, first := h.stopReport(plan, time.Now())
	if len(report.Streams) == 0 && !first {
		close(ended)
		return ended
	}
	report.Stalled, report.SignalDelay = signal.Learned.Sub(plan.Began), signal.Learned.Sub(signal.SentAfter)
	go func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(context.Background(), stopReportTimeout)
		defer cancel()
		if err := h.Sync.ReportStop(ctx, report); err != nil {
			klog.InfoS("report of the streams in the stop lost", "open", report.Open, "ends", report.Ends, "error", err.Error())
		}
	}()
	return ended
}

// stopReport returns the open streams, and those that ended early and that no earlier report has told of. Of the open ones, those come
// first whose upstreams have been silent for longest. first is true for the first report.
func (h *Handler) stopReport(plan *StopPlan, now time.Time) (r *stopreport.Report, first bool) {
	o := &h.openStreams
	r = &stopreport.Report{At: now.Sub(plan.Began), Ends: map[string]int{}}
	type leg struct {
		stream   *openStream
		exchange streamExchange
	}
	var open []leg
	o.mu.Lock()
	first, o.reported = !o.reported, true
	r.Streams, o.ended = o.ended, nil
	for end, n := range o.ends {
		r.Ends[end] = n
	}
	o.ends = nil
	for s := range o.open {
		open = append(open, leg{s, s.exchange})
		if !s.counted {
			s.counted = true
			r.Ends[stopreport.EndNone]++
		}
	}
	o.mu.Unlock()
	r.Open = len(open)
	slices.SortFunc(open, func(a, b leg) int { return cmp.Compare(a.stream.lastEventAt.Load(), b.stream.lastEventAt.Load()) })
	for _, l := range open[:min(len(open), stopreport.MaxStreams)] {
		r.Streams = append(r.Streams, h.describe(l.stream, l.exchange, stopreport.EndNone, plan, now))
	}
	slices.SortStableFunc(r.Streams, func(a, b stopreport.Stream) int { return cmp.Compare(reportRank(&a), reportRank(&b)) })
	r.Streams = r.Streams[:min(len(r.Streams), stopreport.MaxStreams)]
	return r, first
}

// reportRank orders the streams of a report.
func reportRank(s *stopreport.Stream) int {
	switch {
	case s.IsExpired():
		return 2
	case s.IsOpen():
		return 1
	}
	return 0
}
