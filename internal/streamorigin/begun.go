package streamorigin

import (
	"slices"
	"sync"
	"time"
)

// Begun holds the records of the streams that this host began, for hosts that come later. It is safe
// for concurrent use, and has no clock: times are passed in.
type Begun struct {
	mu       sync.Mutex
	records  []begunRecord
	purgedAt time.Time
}

type begunRecord struct {
	Record
	expiresAt time.Time
}

// Add adds a record. The oldest one yields if there are too many.
func (b *Begun) Add(r Record, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.purgedAt) >= purgeInterval {
		b.purge(now)
	}
	if len(b.records) >= maxRecords {
		b.records = slices.Delete(b.records, 0, 1)
	}
	b.records = append(b.records, begunRecord{r, now.Add(min(r.Lifetime, MaxLifetime))})
}

// Needed returns the records that are still needed, with the rest of their lifetimes.
func (b *Begun) Needed(now time.Time) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.purge(now)
	list := make([]Record, 0, len(b.records))
	for _, r := range b.records {
		if r.Lifetime = r.expiresAt.Sub(now); r.Lifetime > 0 {
			list = append(list, r.Record)
		}
	}
	return list
}

// purge removes expired records. They are not in the order in which they expire.
func (b *Begun) purge(now time.Time) {
	b.purgedAt = now
	b.records = slices.DeleteFunc(b.records, func(r begunRecord) bool { return !now.Before(r.expiresAt) })
}
