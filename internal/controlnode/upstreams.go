package controlnode

import (
	"cmp"
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/presence"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// exchangeInterval is the time between two sendings of the upstreams that report
	// to this host to the other control hosts, also for what was lost on its way.
	exchangeInterval = time.Second
	// directRetention is how long an upstream counts as one that reports to this host.
	directRetention = 10 * time.Second
	// forwardTimeout bounds the passing on of one report.
	forwardTimeout = 600 * time.Millisecond
	// forwardQueue bounds the reports that wait for one control host.
	forwardQueue = 1024
)

// Report takes in what an upstream says of itself. News is passed on to the other
// control hosts at once; that nothing has changed goes with the next exchange.
func (n *Node) Report(u presence.Upstream) {
	now := time.Now()
	n.mu.Lock()
	n.direct[u.ID] = now
	n.mu.Unlock()
	if !n.takeReport(u, now) {
		return
	}
	record := UpstreamRecord{Upstream: u}
	for _, address := range n.contacts() {
		select {
		case n.peerQueue(address) <- record:
		default:
			klog.InfoS("report of an upstream not passed on: queue full", "upstream", u.ID, "control_host", address)
		}
	}
}

// takeReport tells whether the report changed the table.
func (n *Node) takeReport(u presence.Upstream, seen time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.table.Revision()
	n.table.Apply(u, seen)
	news := n.table.Revision() != before
	if news {
		klog.InfoS("upstream changed", "upstream", u.ID, "address", u.Address, "service", u.Service,
			"state", u.State.String(), "started", u.StartedMS, "sequence", u.Sequence, "revision", n.table.Revision())
	}
	return news
}

// KnownStart returns the start of the process that last reported under an id.
func (n *Node) KnownStart(id string) (started int64, known bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.table.Record(id); r != nil {
		return r.StartedMS, true
	}
	return 0, false
}

func (n *Node) peerQueue(address string) chan UpstreamRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	q := n.peers[address]
	if q == nil {
		q = make(chan UpstreamRecord, forwardQueue)
		n.peers[address] = q
		n.goRun(func() { n.forward(n.ctx, address, q) })
	}
	return q
}

// forward passes reports on to one control host, as many at a time as wait.
func (n *Node) forward(ctx context.Context, address string, q chan UpstreamRecord) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-q:
			n.sendUpstreams(ctx, address, collectRecords(first, q))
		}
	}
}

func collectRecords(first UpstreamRecord, q chan UpstreamRecord) []UpstreamRecord {
	records := []UpstreamRecord{first}
	for {
		select {
		case r := <-q:
			records = append(records, r)
		default:
			return records
		}
	}
}

func (n *Node) sendUpstreams(ctx context.Context, address string, records []UpstreamRecord) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	msg := &UpstreamsMessage{Records: records}
	if _, err := rpc.Call[UpstreamsMessage, UpstreamsReply](ctx, n.rpc, address, MethodUpstreams, msg); err != nil {
		klog.V(2).InfoS("reports of upstreams not passed on", "control_host", address, "error", err.Error())
	}
}

// takeUpstreams serves MethodUpstreams.
func (n *Node) takeUpstreams(_ context.Context, msg *UpstreamsMessage) (*UpstreamsReply, error) {
	now := time.Now()
	for i := range msg.Records {
		n.takeReport(msg.Records[i].Upstream, now.Add(-msg.Records[i].Age))
	}
	return &UpstreamsReply{}, nil
}

// toMessages returns records as they go to other hosts, in order of id.
func toMessages(records []*presence.Record, now time.Time) []UpstreamRecord {
	list := make([]UpstreamRecord, 0, len(records))
	for _, r := range records {
		list = append(list, UpstreamRecord{Upstream: r.Upstream, Age: now.Sub(r.ReceivedAt), Silent: r.Unresponsive})
	}
	slices.SortFunc(list, func(a, b UpstreamRecord) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// directRecords returns the upstreams that reported to this host lately; n.mu is held.
func (n *Node) directRecords(now time.Time) []*presence.Record {
	var records []*presence.Record
	for id, at := range n.direct {
		r := n.table.Record(id)
		if r == nil || now.Sub(at) > directRetention {
			delete(n.direct, id)
			continue
		}
		records = append(records, r)
	}
	return records
}

func (n *Node) maintainUpstreams(ctx context.Context) {
	timing.Every(ctx, exchangeInterval, func() {
		now := time.Now()
		n.mu.Lock()
		silent := n.table.Expire(now)
		records := toMessages(n.directRecords(now), now)
		n.mu.Unlock()
		for _, id := range silent {
			klog.InfoS("upstream silent", "upstream", id, "after", presence.HeartbeatTimeout.String())
		}
		if len(records) == 0 {
			return
		}
		for _, address := range n.contacts() {
			n.goRun(func() { n.sendUpstreams(ctx, address, records) })
		}
	})
}
