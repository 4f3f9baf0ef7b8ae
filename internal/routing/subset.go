package routing

import "github.com/godwitbend/godwitbend/internal/registry"

// maxCachedSubsets bounds the cache; it is cleared when full.
const maxCachedSubsets = 1024

// subset holds the upstreams of a service that a policy allows.
type subset struct {
	all []*registry.Entry
	// localZone holds those in the host's availability zone.
	localZone []*registry.Entry
}

type subsetKey struct {
	service, organisation string
	revision              uint64
}

// subsetCache caches subsets of one registry snapshot.
type subsetCache struct {
	snap    *registry.Snapshot
	entries map[subsetKey]*subset
}

func (s *subsetCache) get(req *Request, snap *registry.Snapshot, zone string) *subset {
	if req.Organisation == "" {
		return newSubset(req, snap, zone)
	}
	if s.snap != snap || len(s.entries) >= maxCachedSubsets {
		s.snap = snap
		s.entries = map[subsetKey]*subset{}
	}
	key := subsetKey{req.Service, req.Organisation, req.Revision}
	cached, ok := s.entries[key]
	if !ok {
		cached = newSubset(req, snap, zone)
		s.entries[key] = cached
	}
	return cached
}

func newSubset(req *Request, snap *registry.Snapshot, zone string) *subset {
	set := &subset{}
	for _, e := range snap.Pool(req.Service).All {
		upstreamZone := e.State().Zone
		if !req.Allowed(e.ID, upstreamZone) {
			continue
		}
		set.all = append(set.all, e)
		if upstreamZone == zone {
			set.localZone = append(set.localZone, e)
		}
	}
	return set
}
