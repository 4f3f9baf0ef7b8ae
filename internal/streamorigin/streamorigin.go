// Package streamorigin remembers which software version began a stream, for callers that resume
// it at another host. A few hosts keep each record, chosen by its key alone, so that any host finds
// them without knowing where the stream began.
package streamorigin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Keepers is the number of other hosts that keep each record.
	Keepers = 3
	// Lookups is the number of hosts that are asked for a record. They include all keepers: the
	// host that began the stream is not among them, and any other one counts it as a candidate.
	Lookups = Keepers + 1
	// MaxLifetime bounds the time for which a record is kept.
	MaxLifetime = 10 * time.Minute
	// MaxKeyBytes bounds the length of a key.
	MaxKeyBytes = 512
	// maxRecords bounds the records on one host.
	maxRecords = 1 << 15
	// purgeInterval is the time between two removals of expired records.
	purgeInterval = time.Second
)

// Origin is where a stream began.
type Origin struct {
	Service string `cbor:"1,keyasint"`
	// Version is the software version of the upstream.
	Version string `cbor:"2,keyasint"`
}

// Table holds the records that this host keeps. It is safe for concurrent use, and has no clock:
// times are passed in.
type Table struct {
	mu       sync.Mutex
	records  map[string]record
	purgedAt time.Time
}

type record struct {
	Origin
	expiresAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[string]record{}} }

// Put keeps a record for lifetime, at most MaxLifetime. It returns false if the table is full or
// the key too long.
func (t *Table) Put(key string, o Origin, lifetime time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.purgedAt) >= purgeInterval {
		t.purge(now)
	}
	_, known := t.records[key]
	if len(key) > MaxKeyBytes || !known && len(t.records) >= maxRecords {
		return false
	}
	t.records[key] = record{o, now.Add(min(lifetime, MaxLifetime))}
	return true
}

func (t *Table) purge(now time.Time) {
	t.purgedAt = now
	for key, r := range t.records {
		if !now.Before(r.expiresAt) {
			delete(t.records, key)
		}
	}
}

// Get returns the record with the given key.
func (t *Table) Get(key string, now time.Time) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.records[key]
	return r.Origin, known && now.Before(r.expiresAt)
}

// KeepersOf returns the n hosts of highest rendezvous weight for the key, own excluded. Hosts that
// know the same fleet agree on them.
func KeepersOf(key, own string, hosts []string, n int) []string {
	type candidate struct {
		host   string
		weight uint64
	}
	candidates := make([]candidate, 0, len(hosts))
	for _, h := range hosts {
		if h != own {
			candidates = append(candidates, candidate{h, weight(key, h)})
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

func weight(key, host string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(host)
	return h.Sum64()
}
