package operatorapi

import (
	"maps"
	"slices"
	"time"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/registry"
)

// Upstream is the state of an upstream as one host sees it.
type Upstream struct {
	announce.Announcement
	// AgeMS is the age of the latest announcement, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Usable reports whether the host sends it new requests.
	Usable bool `json:"usable"`
	// LocalInFlight is the number of requests from this host that are in flight at
	// the upstream.
	LocalInFlight int64 `json:"open_here"`
}

// ListUpstreams returns the upstreams of a snapshot as of now, sorted by id. An
// upstream is not usable once its latest announcement is as old as timeout.
func ListUpstreams(snapshot *registry.Snapshot, now time.Time, timeout time.Duration) []Upstream {
	list := make([]Upstream, 0, len(snapshot.Entries))
	for _, id := range slices.Sorted(maps.Keys(snapshot.Entries)) {
		entry := snapshot.Entries[id]
		state := entry.State()
		upstream := Upstream{
			Announcement:  state.Announcement,
			AgeMS:         now.Sub(state.ReceivedAt).Milliseconds(),
			Usable:        entry.Usable(now, timeout),
			LocalInFlight: entry.InFlight(),
		}
		upstream.CacheEvents = nil
		list = append(list, upstream)
	}
	return list
}
