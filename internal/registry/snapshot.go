package registry

import "sort"

// buildSnapshot indexes entries by service and availability zone.
func buildSnapshot(entries map[string]*Entry) *Snapshot {
	ids := make([]string, 0, len(entries))
	for id := range entries {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	snap := &Snapshot{Entries: entries, Pools: map[string]*Pool{}}
	for _, id := range ids {
		snap.index(entries[id])
	}
	return snap
}

func (s *Snapshot) index(e *Entry) {
	state := e.State()
	for i := range state.Services {
		name := state.Services[i].Name
		pool, ok := s.Pools[name]
		if !ok {
			pool = &Pool{ByZone: map[string][]*Entry{}}
			s.Pools[name] = pool
		}
		pool.All = append(pool.All, e)
		pool.ByZone[state.Zone] = append(pool.ByZone[state.Zone], e)
	}
}

// Pool returns the pool of service; it is empty if no upstream offers the service.
func (s *Snapshot) Pool(service string) *Pool {
	if pool, ok := s.Pools[service]; ok {
		return pool
	}
	return &Pool{}
}
