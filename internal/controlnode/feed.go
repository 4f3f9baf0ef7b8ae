package controlnode

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/presence"
)

const (
	// changesInterval and wholeTableInterval are the minimum times between two encodings of
	// the changes of the table of upstreams and of the whole table.
	changesInterval    = 50 * time.Millisecond
	wholeTableInterval = 250 * time.Millisecond
	// loadsInterval is the minimum time between two sums of the loads.
	loadsInterval = 100 * time.Millisecond
	// newsTime is the age up to which changes of upstreams are told to hosts that reach no leader.
	// They call several times in it.
	newsTime = 15 * time.Second
	// coldInterval is the age up to which an encoding is sent that states for how long upstreams
	// remain cold. An older one would prolong their warm-ups.
	coldInterval = 100 * time.Millisecond
	// maxEncodedBytes bounds the encoded table before compression.
	maxEncodedBytes = 64 << 20
)

// upstreamFeed encodes the table of upstreams for the gateway hosts. Hosts that know the same
// revision get the same bytes, so that the cost does not grow with the number of hosts.
type upstreamFeed struct {
	table *presence.Table
	whole encodedTable
	// marks are revisions of the table, one for each second of newsTime, oldest first.
	marks []revisionMark
	// changes holds the changes since earlier revisions, by these. All lead to revision.
	changes   map[uint64]encodedTable
	revision  uint64
	changesAt time.Time
}

// encodedTable is the encoding of the table as of a revision.
type encodedTable struct {
	data     []byte
	revision uint64
	at       time.Time
	// cold reports that the encoding states for how long upstreams remain cold.
	cold bool
}

// isOutdated reports whether times in the encoding are too old.
func (e *encodedTable) isOutdated(now time.Time) bool { return e.cold && now.Sub(e.at) >= coldInterval }

// revisionMark is the revision of the table at a time.
type revisionMark struct {
	at       time.Time
	revision uint64
}

// mark records the revision of the table, for news.
func (f *upstreamFeed) mark(now time.Time) {
	f.marks = append(f.marks, revisionMark{now, f.table.Revision()})
	for len(f.marks) > 1 && now.Sub(f.marks[1].at) >= newsTime {
		f.marks = f.marks[1:]
	}
}

// news returns the encoded records that have changed within newsTime, or all records if this host
// has not run for so long.
func (f *upstreamFeed) news(now time.Time) []byte {
	known := uint64(0)
	if len(f.marks) > 0 && now.Sub(f.marks[0].at) >= newsTime {
		known = f.marks[0].revision
	}
	data, _ := f.since(known, now)
	return data
}

func newUpstreamFeed(t *presence.Table) *upstreamFeed {
	return &upstreamFeed{table: t, changes: map[uint64]encodedTable{}}
}

// since returns the encoded records that a host lacks which knows the table as of revision
// known, nil if there are none, and the revision that it knows with them. A known revision of 0
// stands for an empty table.
func (f *upstreamFeed) since(known uint64, now time.Time) (data []byte, revision uint64) {
	if known == 0 {
		return f.wholeTable(now)
	}
	current := f.table.Revision()
	if f.revision != current && now.Sub(f.changesAt) >= changesInterval {
		f.revision, f.changesAt = current, now
		clear(f.changes)
	}
	if known >= f.revision {
		return nil, known
	}
	changes, encoded := f.changes[known]
	if !encoded || changes.isOutdated(now) {
		changes = encodeTable(f.table.ChangedSince(known), f.revision, now)
		f.changes[known] = changes
	}
	return changes.data, f.revision
}

// differences returns the encoded records in which the table of a host with the given digests
// differs, and the revision that it knows with them. Such a host has called another control host
// before, whose table is nearly the same.
func (f *upstreamFeed) differences(digests []byte, now time.Time) (data []byte, revision uint64) {
	records := f.table.Differences(digests)
	if 2*len(records) > f.table.Len() {
		return f.wholeTable(now)
	}
	return encodeUpstreams(records, now), f.table.Revision()
}

func (f *upstreamFeed) wholeTable(now time.Time) ([]byte, uint64) {
	current := f.table.Revision()
	if f.whole.revision != current && now.Sub(f.whole.at) >= wholeTableInterval || f.whole.isOutdated(now) {
		f.whole = encodeTable(f.table.ChangedSince(0), current, now)
	}
	return f.whole.data, f.whole.revision
}

// encodeTable encodes the records as of a revision.
func encodeTable(records []*presence.Record, revision uint64, now time.Time) encodedTable {
	cold := slices.ContainsFunc(records, func(r *presence.Record) bool { return r.Cold.Left(now) > 0 })
	return encodedTable{data: encodeUpstreams(records, now), revision: revision, at: now, cold: cold}
}

// encodeUpstreams returns the encoding of the records without what gateways do not need, and nil
// if there are no records.
func encodeUpstreams(records []*presence.Record, now time.Time) []byte {
	if len(records) == 0 {
		return nil
	}
	list := toUpstreamRecords(records, now)
	for i := range list {
		list[i].Age, list[i].Sequence = 0, 0
	}
	return encodeShared(list)
}

// encodeShared returns the compressed encoding of v, which is part of many replies.
func encodeShared(v any) []byte {
	data, err := codec.MarshalCompressed(v)
	if err != nil {
		klog.ErrorS(err, "encoding a part of the replies to gateway hosts failed")
	}
	return data
}

// loadFeed packs the totals of the loads for the gateway hosts.
type loadFeed struct {
	packed []byte
	at     time.Time
}

// totals returns the packed totals of the loads and what h contributed to them. elsewhere holds
// the loads of the hosts that are not in t.
func (f *loadFeed) totals(t *hostTable, elsewhere map[uint32]placement.Load, h *gatewayHost, now time.Time) (totals, own []byte) {
	if now.Sub(f.at) >= loadsInterval {
		sums := maps.Clone(t.totals)
		placement.AddLoads(sums, elsewhere)
		f.at, f.packed = now, placement.PackLoads(sums)
		for _, host := range t.hosts {
			host.loadsInTotals = host.loads
		}
		for _, relay := range t.relays {
			relay.loadsInTotals = relay.loads
		}
	}
	return f.packed, placement.PackLoads(h.loadsInTotals)
}

// DecodeUpstreams returns the upstreams that the reply contains.
func (r *SyncReply) DecodeUpstreams() ([]UpstreamRecord, error) {
	if len(r.EncodedUpstreams) == 0 {
		return r.Upstreams, nil
	}
	var records []UpstreamRecord
	err := codec.UnmarshalCompressed(r.EncodedUpstreams, maxEncodedBytes, &records)
	return records, err
}

// DecodeLoads returns the loads that all other hosts put on the upstreams, by short id.
func (r *SyncReply) DecodeLoads() (map[uint32]placement.Load, error) {
	if len(r.PackedTotals) == 0 {
		return placement.ByShortID(r.Loads), nil
	}
	return othersLoads(r.PackedTotals, r.PackedOwn)
}

// othersLoads returns totals less own, both packed.
func othersLoads(totals, own []byte) (map[uint32]placement.Load, error) {
	loads, err := placement.UnpackLoads(totals)
	if err != nil {
		return nil, err
	}
	ownLoads, err := placement.UnpackLoads(own)
	if err != nil {
		return nil, err
	}
	placement.SubtractLoads(loads, ownLoads)
	return loads, nil
}
