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
	// forwardTimeout limits one call that forwards reports to another control host.
	forwardTimeout = 600 * time.Millisecond
	// maxForwardQueue is the maximum number of reports queued for one control host.
	maxForwardQueue = 1024
	// departureForwardTimeout bounds how long the answer to a departure waits for another control host. Upstreams call the next
	// host after a second.
	departureForwardTimeout = 300 * time.Millisecond
	// forwardPollInterval is the interval at which awaitForwards looks for reports.
	forwardPollInterval = 5 * time.Millisecond
)

// Report applies a report that an upstream sent to this host. A report that changes the
// table is forwarded to the other control hosts at once; others wait for the next exchange.
func (n *Node) Report(u presence.Upstream) { n.report(u, presence.Coldness{}, time.Now()) }

// ReportHeartbeat is Report for a report that states the time for which the process remains cold.
func (n *Node) ReportHeartbeat(u presence.Upstream, coldLeft time.Duration) {
	now := time.Now()
	n.report(u, presence.ReportedColdness(coldLeft, &u, now), now)
}

func (n *Node) report(u presence.Upstream, cold presence.Coldness, now time.Time) {
	n.mu.Lock()
	n.directReports[u.ID] = now
	n.mu.Unlock()
	if !n.applyReport(u, cold, now, now) {
		return
	}
	record := newUpstreamRecord(&presence.Record{Upstream: u, Cold: cold, ReceivedAt: now}, now)
	others := n.otherControlHosts()
	forwarded := make(chan bool, len(others))
	queued := 0
	for _, address := range others {
		n.unforwarded.Add(1)
		select {
		case n.forwardQueueTo(address) <- queuedReport{record, forwarded}:
			queued++
		default:
			n.unforwarded.Add(-1)
			klog.InfoS("upstream report not forwarded: queue full", "upstream", u.ID, "control_host", address)
		}
	}
	if u.State != presence.Ready {
		awaitForwarded(u.ID, forwarded, queued)
	}
}

// awaitForwarded waits until another control host has a departure, as the upstream may not repeat one that is acknowledged
// and this host may be killed. If none of them answers in time the departure is acknowledged all the same: an upstream that
// leaves finds no other host that knows more.
func awaitForwarded(id string, forwarded <-chan bool, queued int) {
	timeout := time.After(departureForwardTimeout)
	for range queued {
		select {
		case ok := <-forwarded:
			if ok {
				return
			}
		case <-timeout:
			klog.InfoS("departure acknowledged though no other control host has it", "upstream", id)
			return
		}
	}
}

// applyReport applies a report and returns whether it changed the table.
func (n *Node) applyReport(u presence.Upstream, cold presence.Coldness, seen, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.table.Revision()
	if !n.table.ApplyReport(u, cold, seen, now) {
		n.table.ApplyState(u, now) // a process that leaves does not come back, though a later report came first
	}
	changed := n.table.Revision() != before
	if changed {
		klog.InfoS("upstream changed", "upstream", u.ID, "address", u.Address, "service", u.Service, "software_version", u.Version,
			"state", u.State.String(), "started", u.StartedMS, "sequence", u.Sequence, "cold_left_ms", max(cold.Left(now), 0).Milliseconds(), "revision", n.table.Revision())
	}
	return changed
}

// KnownStart returns the start time of the latest process that reported under an id, in
// Unix milliseconds, and whether there is one.
func (n *Node) KnownStart(id string) (started int64, known bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.table.Record(id); r != nil {
		return r.StartedMS, true
	}
	return 0, false
}

// forwardQueueTo returns the queue of reports for a control host. It creates the queue, and
// starts the goroutine that empties it, if needed.
func (n *Node) forwardQueueTo(address string) chan queuedReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	q := n.forwardQueues[address]
	if q == nil {
		q = make(chan queuedReport, maxForwardQueue)
		n.forwardQueues[address] = q
		n.goRun(func() { n.forward(n.ctx, address, q) })
	}
	return q
}

// forward sends the queued reports to one control host, all that are queued in one call.
func (n *Node) forward(ctx context.Context, address string, q chan queuedReport) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-q:
			reports := collectReports(first, q)
			records := make([]UpstreamRecord, len(reports))
			for i := range reports {
				records[i] = reports[i].record
			}
			ok := n.sendUpstreams(ctx, address, &UpstreamsMessage{Records: records}) != nil
			for i := range reports {
				reports[i].forwarded <- ok
			}
			n.unforwarded.Add(-int64(len(records)))
		}
	}
}

// awaitForwards waits until the queued reports are forwarded, for at most forwardTimeout.
func (n *Node) awaitForwards() {
	ctx, cancel := context.WithTimeout(n.ctx, forwardTimeout)
	defer cancel()
	for n.unforwarded.Load() > 0 && timing.Sleep(ctx, forwardPollInterval) {
	}
}

// queuedReport is a report that is to be forwarded. forwarded has room for the result.
type queuedReport struct {
	record    UpstreamRecord
	forwarded chan<- bool
}

func collectReports(first queuedReport, q chan queuedReport) []queuedReport {
	reports := []queuedReport{first}
	for {
		select {
		case r := <-q:
			reports = append(reports, r)
		default:
			return reports
		}
	}
}

// sendUpstreams sends a message to one control host. It returns nil if that fails.
func (n *Node) sendUpstreams(ctx context.Context, address string, msg *UpstreamsMessage) *UpstreamsReply {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	msg.Group = n.groupID()
	reply, err := rpc.Call[UpstreamsMessage, UpstreamsReply](ctx, n.rpc, address, MethodUpstreams, msg)
	switch {
	case rpc.IsUnregistered(err):
		n.forget(address) // another service has the address now
		return nil
	case err != nil:
		klog.V(2).InfoS("upstream reports not forwarded", "control_host", address, "error", err.Error())
		return nil
	case n.otherGroup(reply.Group):
		n.forget(address)
		return nil
	case n.sameGroup(reply.Group):
		n.hear(address)
	}
	return reply
}

// toUpstreamRecords converts records to their wire form, ordered by id.
func toUpstreamRecords(records []*presence.Record, now time.Time) []UpstreamRecord {
	list := make([]UpstreamRecord, 0, len(records))
	for _, r := range records {
		list = append(list, newUpstreamRecord(r, now))
	}
	slices.SortFunc(list, func(a, b UpstreamRecord) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func newUpstreamRecord(r *presence.Record, now time.Time) UpstreamRecord {
	return UpstreamRecord{
		Upstream: r.Upstream, Age: now.Sub(r.ReceivedAt), Unresponsive: r.Unresponsive,
		ColdLeft: r.Cold.Left(now), ColdSequence: r.Cold.Sequence,
	}
}
