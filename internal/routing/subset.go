package routing

import "github.com/godwitbend/godwitbend/internal/registry"

// maxSubsets bounds the subsets that are kept.
const maxSubsets = 1024

// subset is the upstreams of a service that a policy allows.
type subset struct {
	all []*registry.Entry
	// own are those in the host's availability zone.
	own []*registry.Entry
}

type subsetKey struct {
	service, organisation string
	revision              uint64
}

// subsets keeps what policies allow of one snapshot of the registry.
type subsets struct {
	snap *registry.Snapshot
	kept map[subsetKey]*subset
}

func (s *subsets) get(req *Request, snap *registry.Snapshot, zone string) *subset {
	if req.Organisation == "" {
		return newSubset(req, snap, zone)
	}
	if s.snap != snap || len(s.kept) >= maxSubsets {
		s.snap = snap
		s.kept = map[subsetKey]*subset{}
	}
	key := subsetKey{req.Service, req.Organisation, req.Revision}
	found, ok := s.kept[key]
	if !ok {
		found = newSubset(req, snap, zone)
		s.kept[key] = found
	}
	return found
}

func newSubset(req *Request, snap *registry.Snapshot, zone string) *subset {
	set := &subset{}
	for _, e := range snap.Pool(req.Service).All {
		at := e.State().Zone
		if !req.Allowed(e.ID, at) {
			continue
		}
		set.all = append(set.all, e)
		if at == zone {
			set.own = append(set.own, e)
		}
	}
	return set
}
