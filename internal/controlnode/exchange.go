package controlnode

import (
	"context"
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/presence"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// exchangeInterval is the interval at which the other control hosts are told which
	// upstreams report to this host. It repairs the loss of forwarded reports.
	exchangeInterval = time.Second
	// directReportRetention is the time after its latest report for which an upstream counts
	// as one that reports to this host.
	directReportRetention = 10 * time.Second
	// ageUnit is the unit of UpstreamsMessage.Ages. An age up to directReportRetention fits
	// into a byte.
	ageUnit = 50 * time.Millisecond
)

// directUpstreams are the upstreams that report to this host, ordered by id.
type directUpstreams struct {
	records    []UpstreamRecord
	generation uint64
}

// remoteUpstreams are the upstreams that report to another control host, in its order.
type remoteUpstreams struct {
	generation uint64
	processes  []process
}

// process identifies a process of an upstream.
type process struct {
	id        string
	startedMS int64
}

// maintainUpstreams marks unresponsive upstreams and tells the other control hosts which
// upstreams report to this host, every exchangeInterval.
func (n *Node) maintainUpstreams(ctx context.Context) {
	timing.Every(ctx, exchangeInterval, func() {
		now := time.Now()
		n.mu.Lock()
		unresponsive := n.table.Expire(now)
		direct := newDirectUpstreams(n.directRecords(now), now)
		n.mu.Unlock()
		for _, id := range unresponsive {
			klog.InfoS("upstream unresponsive", "upstream", id, "after", presence.HeartbeatTimeout.String())
		}
		for _, address := range n.otherControlHosts() {
			n.goRun(func() { n.exchangeWith(ctx, address, direct) })
		}
	})
}

// directRecords returns the upstreams that reported to this host within
// directReportRetention. The caller holds n.mu.
func (n *Node) directRecords(now time.Time) []*presence.Record {
	var records []*presence.Record
	for id, at := range n.directReports {
		r := n.table.Record(id)
		if r == nil || now.Sub(at) > directReportRetention {
			delete(n.directReports, id)
			continue
		}
		records = append(records, r)
	}
	return records
}

func newDirectUpstreams(records []*presence.Record, now time.Time) directUpstreams {
	d := directUpstreams{records: toUpstreamRecords(records, now)}
	digest := xxhash.New()
	var buffer []byte
	for i := range d.records {
		buffer = binary.LittleEndian.AppendUint64(buffer[:0], d.records[i].Digest())
		_, _ = digest.Write(buffer) // never fails
	}
	d.generation = max(digest.Sum64(), 1)
	return d
}

// ages returns the ages of the records in units of ageUnit, rounded up.
func (d *directUpstreams) ages() []byte {
	ages := make([]byte, len(d.records))
	for i := range d.records {
		units := (max(d.records[i].Age, 0) + ageUnit - 1) / ageUnit
		ages[i] = byte(min(units, math.MaxUint8))
	}
	return ages
}

// exchangeWith sends the direct upstreams to one control host: only their ages if it has their
// records.
func (n *Node) exchangeWith(ctx context.Context, address string, direct directUpstreams) {
	n.mu.Lock()
	known := n.acknowledgedGenerations[address]
	n.mu.Unlock()
	if known == direct.generation {
		reply := n.sendUpstreams(ctx, address, n.exchangeMessage(direct.generation, nil, direct.ages()))
		if reply == nil || reply.Generation == direct.generation {
			return
		}
	}
	if reply := n.sendUpstreams(ctx, address, n.exchangeMessage(direct.generation, direct.records, nil)); reply != nil {
		n.mu.Lock()
		n.acknowledgedGenerations[address] = reply.Generation
		n.mu.Unlock()
	}
}

func (n *Node) exchangeMessage(generation uint64, records []UpstreamRecord, ages []byte) *UpstreamsMessage {
	return &UpstreamsMessage{
		Sender: n.options.Address, Zone: n.options.Zone, Generation: generation, Records: records, Ages: ages,
	}
}

// receiveUpstreams serves MethodUpstreams.
func (n *Node) receiveUpstreams(_ context.Context, msg *UpstreamsMessage) (*UpstreamsReply, error) {
	now := time.Now()
	for i := range msg.Records {
		n.applyReport(msg.Records[i].Upstream, now.Add(-msg.Records[i].Age))
	}
	if msg.Sender == "" {
		return &UpstreamsReply{}, nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.controlHosts[msg.Sender] = knownControlHost{zone: msg.Zone, heardAt: now}
	if len(msg.Ages) == 0 {
		n.remoteUpstreams[msg.Sender] = newRemoteUpstreams(msg)
	}
	remote := n.remoteUpstreams[msg.Sender]
	if remote.generation == msg.Generation && len(msg.Ages) == len(remote.processes) {
		for i, p := range remote.processes {
			n.table.Refresh(p.id, p.startedMS, now.Add(-time.Duration(msg.Ages[i])*ageUnit), now)
		}
	}
	return &UpstreamsReply{Generation: remote.generation}, nil
}

func newRemoteUpstreams(msg *UpstreamsMessage) remoteUpstreams {
	remote := remoteUpstreams{generation: msg.Generation, processes: make([]process, len(msg.Records))}
	for i := range msg.Records {
		remote.processes[i] = process{msg.Records[i].ID, msg.Records[i].StartedMS}
	}
	return remote
}
