package controlnode

import (
	"cmp"
	"context"
	"encoding/binary"
	"maps"
	"math"
	"slices"
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
	// maxGenerations is the number of earlier sets of upstreams that are kept to tell the other
	// control hosts only what has changed.
	maxGenerations = 8
	// ageUnit is the unit of UpstreamsMessage.Ages. An age up to directReportRetention fits
	// into a byte.
	ageUnit = 50 * time.Millisecond
)

// directUpstreams are the upstreams that report to this host, ordered by id.
type directUpstreams struct {
	records    []UpstreamRecord
	digests    []uint64 // of the states, in the same order
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
		n.upstreamFeed.mark(now)
		direct := newDirectUpstreams(n.directRecords(now), now)
		n.recordGeneration(direct)
		n.mu.Unlock()
		for _, id := range unresponsive {
			klog.InfoS("upstream unresponsive", "upstream", id, "after", presence.HeartbeatTimeout.String())
		}
		for _, address := range n.exchangePartners() {
			n.goRun(func() { n.exchangeWith(ctx, address, direct) })
		}
	})
}

// exchangePartners returns the other control hosts that are members, seeds or heard from.
func (n *Node) exchangePartners() []string {
	return n.withoutSelf(append(n.otherControlHosts(), n.liveContacts()...))
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
	slices.SortFunc(records, func(a, b *presence.Record) int { return cmp.Compare(a.ID, b.ID) })
	digest := xxhash.New()
	var buffer []byte
	for _, r := range records {
		d.digests = append(d.digests, r.StateDigest())
		buffer = binary.LittleEndian.AppendUint64(buffer[:0], r.StateDigest())
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

// recordGeneration keeps the direct upstreams for later differences. The caller holds n.mu.
func (n *Node) recordGeneration(direct directUpstreams) {
	known := slices.ContainsFunc(n.generations, func(d directUpstreams) bool { return d.generation == direct.generation })
	if known {
		return
	}
	n.generations = append(n.generations, direct)
	n.generations = n.generations[max(len(n.generations)-maxGenerations, 0):]
}

// exchangeWith sends the direct upstreams to one control host: only what has changed, and the ages
// of all, if it has the records of a known generation.
func (n *Node) exchangeWith(ctx context.Context, address string, direct directUpstreams) {
	n.mu.Lock()
	acknowledged := n.acknowledgedGenerations[address]
	i := slices.IndexFunc(n.generations, func(d directUpstreams) bool { return d.generation == acknowledged })
	msg := n.newExchange(address, direct)
	if i >= 0 {
		msg.Records, msg.Removed = direct.changesSince(n.generations[i])
		msg.Base, msg.Ages = acknowledged, direct.ages()
	}
	n.mu.Unlock()
	if i >= 0 {
		reply := n.exchange(ctx, address, msg)
		if reply == nil {
			return
		}
		n.acknowledge(address, reply.Generation)
		if reply.Generation == direct.generation {
			return
		}
	}
	n.mu.Lock()
	msg = n.newExchange(address, direct)
	n.mu.Unlock()
	msg.Records = direct.records
	if reply := n.exchange(ctx, address, msg); reply != nil {
		n.acknowledge(address, reply.Generation)
	}
}

// newExchange returns a message of an exchange with a control host, without records. The caller holds n.mu.
func (n *Node) newExchange(address string, direct directUpstreams) *UpstreamsMessage {
	msg := &UpstreamsMessage{
		Sender: n.options.Address, Zone: n.options.Zone, SenderEpoch: n.epoch, Generation: direct.generation, Features: n.understands,
		Contacts: n.contacts.list(n.Members(), time.Now()),
	}
	known := n.crashPositions[address]
	msg.KnownCrashes = &known
	if s, running := n.Status(); running && s.Failure == nil {
		msg.ReplicaID = s.ID
	}
	return msg
}

// exchange sends a message of an exchange, and takes over the evidence of crashes in the reply.
func (n *Node) exchange(ctx context.Context, address string, msg *UpstreamsMessage) *UpstreamsReply {
	asked := time.Now()
	reply := n.sendUpstreams(ctx, address, msg)
	if reply != nil {
		n.mergeCrashes(address, reply.Crashes, asked)
	}
	return reply
}

func (n *Node) acknowledge(address string, generation uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.acknowledgedGenerations[address] = generation
}

// changesSince returns the records that are new or have changed since earlier, and the ids of the
// upstreams that d lacks.
func (d *directUpstreams) changesSince(earlier directUpstreams) (changed []UpstreamRecord, removed []string) {
	if d.generation == earlier.generation {
		return nil, nil
	}
	before := make(map[string]uint64, len(earlier.records))
	for i := range earlier.records {
		before[earlier.records[i].ID] = earlier.digests[i]
	}
	for i := range d.records {
		r := &d.records[i]
		if digest, known := before[r.ID]; !known || digest != d.digests[i] {
			changed = append(changed, *r)
		}
		delete(before, r.ID)
	}
	return changed, slices.Sorted(maps.Keys(before))
}

// receiveUpstreams serves MethodUpstreams.
func (n *Node) receiveUpstreams(_ context.Context, msg *UpstreamsMessage) (*UpstreamsReply, error) {
	reply := &UpstreamsReply{Group: n.groupID()}
	if !n.otherGroup(msg.Group) {
		reply.Generation = n.applyUpstreams(msg)
		n.mu.Lock()
		reply.Crashes = n.crashesSince(msg.KnownCrashes, time.Now())
		n.mu.Unlock()
	}
	return reply, nil
}

// applyUpstreams applies a message of a control host of the same group, and returns the generation of the sender's
// upstreams that this host has then; 0 if there is none.
func (n *Node) applyUpstreams(msg *UpstreamsMessage) uint64 {
	now := time.Now()
	for i := range msg.Records {
		n.applyReport(msg.Records[i].Upstream, msg.Records[i].Coldness(now), now.Add(-msg.Records[i].Age), now)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if msg.StoppedReplicaID != 0 {
		n.replicaReports.stopped[msg.StoppedReplicaID] = true
	}
	if msg.Sender == "" {
		return 0
	}
	if msg.Group != "" && msg.Group == n.group {
		n.contacts.hear(msg.Sender, now)
		n.hearOf(msg.Contacts, now)
	}
	n.controlHosts[msg.Sender] = knownControlHost{zone: msg.Zone, epoch: msg.SenderEpoch, heardAt: now}
	n.features[msg.Sender] = msg.Features
	n.replicaReports.heard[msg.ReplicaID] = true
	remote, known := n.remoteUpstreams[msg.Sender].after(msg)
	if !known {
		return 0
	}
	n.remoteUpstreams[msg.Sender] = remote
	if len(msg.Ages) == len(remote.processes) {
		for i, p := range remote.processes {
			n.table.Refresh(p.id, p.startedMS, now.Add(-time.Duration(msg.Ages[i])*ageUnit), now)
		}
	}
	return remote.generation
}

// takeReplicaReports returns what was heard of other replicas since the latest call.
func (n *Node) takeReplicaReports() replicaReports {
	n.mu.Lock()
	defer n.mu.Unlock()
	reports := n.replicaReports
	n.replicaReports = newReplicaReports()
	return reports
}

// after returns the upstreams that report to the sender as of a message, and false if the message
// states changes of others than r.
func (r remoteUpstreams) after(msg *UpstreamsMessage) (remoteUpstreams, bool) {
	switch {
	case msg.Base != 0 && msg.Base != r.generation:
		return remoteUpstreams{}, false
	case msg.Base != 0 && msg.Base == msg.Generation:
		return r, true
	}
	started := map[string]int64{}
	if msg.Base != 0 {
		for _, p := range r.processes {
			started[p.id] = p.startedMS
		}
	}
	for _, id := range msg.Removed {
		delete(started, id)
	}
	for i := range msg.Records {
		started[msg.Records[i].ID] = msg.Records[i].StartedMS
	}
	next := remoteUpstreams{generation: msg.Generation, processes: make([]process, 0, len(started))}
	for _, id := range slices.Sorted(maps.Keys(started)) {
		next.processes = append(next.processes, process{id, started[id]})
	}
	return next, true
}
