// Package streamorigin remembers which software version began a stream, for callers that resume
// it at another host. A few hosts keep each record, chosen by the fingerprint of the request, so
// that any host finds them without knowing where the stream began.
package streamorigin

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"
)

const (
	// Keepers is the number of other gateway hosts that keep each record, and that of control hosts.
	Keepers = 3
	// Lookups is the number of hosts that are asked for a record. They include all keepers: the
	// host that began the stream is not among them, and any other one counts it as a candidate.
	Lookups = Keepers + 1
	// MaxLifetime bounds the time for which a record is kept.
	MaxLifetime = 10 * time.Minute
	// MaxCallIDBytes bounds the length of the id of a call.
	MaxCallIDBytes = 256
	// maxRecords bounds the records on one host, and maxRecordsPerRequest those of one
	// fingerprint, of which the oldest yield.
	maxRecords           = 1 << 15
	maxRecordsPerRequest = 256
	// purgeInterval is the time between two removals of expired records.
	purgeInterval = time.Second
)

// Origin is where a stream began.
type Origin struct {
	Service string `cbor:"1,keyasint"`
	// Version is the software version of the upstream.
	Version string `cbor:"2,keyasint"`
}

// Record states the origin of one stream.
type Record struct {
	// Fingerprint is a hash of what is the same in all retries of the request.
	Fingerprint uint64 `cbor:"1,keyasint"`
	// CallID is the id of the call that delivered the first event.
	CallID string `cbor:"2,keyasint"`
	Origin Origin `cbor:"3,keyasint"`
	// Lifetime is the time for which the record is needed.
	Lifetime time.Duration `cbor:"4,keyasint"`
}

// Table holds the records that this host keeps. It is safe for concurrent use, and has no clock:
// times are passed in.
type Table struct {
	mu sync.Mutex
	// records holds the records by fingerprint, oldest first.
	records  map[uint64][]entry
	count    int
	purgedAt time.Time
}

type entry struct {
	callID    string
	origin    Origin
	expiresAt time.Time
	// restored reports that an earlier process received the record, and this one has not.
	restored bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[uint64][]entry{}} }

// Put keeps a record for its lifetime, at most MaxLifetime. One that is known already, because the host
// that began the stream sent it again, takes no further room. Put returns false if the table is full or
// the id of the call too long.
func (t *Table) Put(r Record, now time.Time) bool { return t.put(r, false, now) }

// restore keeps a record that an earlier process received.
func (t *Table) restore(r Record, now time.Time) bool { return t.put(r, true, now) }

func (t *Table) put(r Record, restored bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.purgedAt) >= purgeInterval {
		t.purge(now)
	}
	if len(r.CallID) > MaxCallIDBytes {
		return false
	}
	list := t.records[r.Fingerprint]
	expiresAt := now.Add(min(r.Lifetime, MaxLifetime))
	if i := slices.IndexFunc(list, func(e entry) bool { return e.callID == r.CallID && e.origin == r.Origin }); i >= 0 {
		if expiresAt.After(list[i].expiresAt) {
			list[i].expiresAt = expiresAt
		}
		list[i].restored = list[i].restored && restored
		return true
	}
	if t.count >= maxRecords {
		return false
	}
	if len(list) >= maxRecordsPerRequest {
		list = slices.Delete(list, 0, 1)
		t.count--
	}
	t.records[r.Fingerprint] = append(list, entry{r.CallID, r.Origin, expiresAt, restored})
	t.count++
	return true
}

func (t *Table) purge(now time.Time) {
	t.purgedAt, t.count = now, 0
	for fingerprint, list := range t.records {
		list = slices.DeleteFunc(list, func(e entry) bool { return !now.Before(e.expiresAt) })
		if len(list) == 0 {
			delete(t.records, fingerprint)
			continue
		}
		t.records[fingerprint] = list
		t.count += len(list)
	}
}

// Keep puts a record into the table, and logs if there is no room for it.
func (t *Table) Keep(r Record, now time.Time) bool {
	kept := t.Put(r, now)
	if !kept {
		klog.InfoS("origin of a stream not kept: too many, or its id is too long", "id_bytes", len(r.CallID))
	}
	return kept
}

// Get returns the origin of the stream that the call with the given id began. If callID is empty it
// returns the origin of all streams of the fingerprint, provided that they have the same one.
func (t *Table) Get(fingerprint uint64, callID string, now time.Time) Reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reply Reply
	found := false
	for _, e := range t.records[fingerprint] {
		if callID != "" && e.callID != callID || !now.Before(e.expiresAt) {
			continue
		}
		if found && e.origin != reply.Origin {
			return Reply{Ambiguous: true}
		}
		reply.Origin = e.origin
		reply.Restored = e.restored && (reply.Restored || !found)
		found = true
	}
	// A later stream of the fingerprint may have begun while this host was down.
	reply.Known = found && (callID != "" || !reply.Restored)
	return reply
}

// KeepersOf returns the n hosts of highest rendezvous weight for the fingerprint, own excluded.
// Hosts that know the same fleet agree on them.
func KeepersOf(fingerprint uint64, own string, hosts []string, n int) []string {
	type candidate struct {
		host   string
		weight uint64
	}
	candidates := make([]candidate, 0, len(hosts))
	for _, h := range hosts {
		if h != own {
			candidates = append(candidates, candidate{h, weight(fingerprint, h)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.host, b.host))
	})
	keepers := make([]string, 0, n)
	for _, c := range candidates[:min(n, len(candidates))] {
		keepers = append(keepers, c.host)
	}
	return keepers
}

func weight(fingerprint uint64, host string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, fingerprint))
	_, _ = h.WriteString(host)
	return h.Sum64()
}
