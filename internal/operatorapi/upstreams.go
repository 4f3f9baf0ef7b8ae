package operatorapi

import (
	"maps"
	"slices"
	"time"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/registry"
)

// Upstream is what one host knows of an upstream.
type Upstream struct {
	announce.Announcement
	// AgeMS is the time since the latest announcement, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Usable tells whether the host gives it new work.
	Usable bool `json:"usable"`
	// OpenHere is the number of requests that the host has open there.
	OpenHere int64 `json:"open_here"`
}

// ListUpstreams returns the upstreams of a snapshot at time now, in the order of
// their ids. An upstream is stale at the age freshness.
func ListUpstreams(snapshot *registry.Snapshot, now time.Time, freshness time.Duration) []Upstream {
	list := make([]Upstream, 0, len(snapshot.Entries))
	for _, id := range slices.Sorted(maps.Keys(snapshot.Entries)) {
		entry := snapshot.Entries[id]
		state := entry.State()
		upstream := Upstream{
			Announcement: state.Announcement,
			AgeMS:        now.Sub(state.ReceivedAt).Milliseconds(),
			Usable:       entry.Usable(now, freshness),
			OpenHere:     entry.InFlight(),
		}
		upstream.CacheEvents = nil
		list = append(list, upstream)
	}
	return list
}
