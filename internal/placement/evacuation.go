package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/godwitbend/godwitbend/internal/presence"
)

// maxEvacuationEnds bounds the zones for which the end of the latest evacuation is kept. As many
// zones can be evacuated at a time.
const maxEvacuationEnds = 64

// evacuation holds the zones whose upstreams receive nothing, by an operator's command.
type evacuation struct {
	revision uint64
	zones    map[string]bool
	// ends holds the times at which this host learned that a zone is used again.
	ends map[string]time.Time
	// excluded is the number of upstreams that are ready and receive nothing.
	excluded int
}

// EvacuationChange describes a change of the set of evacuated zones.
type EvacuationChange struct {
	// Started holds the zones that are evacuated now and were not before, and Ended those that
	// are used again. Upstreams of the latter may be cold.
	Started, Ended []string
	// Excluded is the number of ready upstreams that receive nothing now.
	Excluded int
}

// EvacuationStatus summarises the evacuations that are in force on this host.
type EvacuationStatus struct {
	// Revision is that of the set of zones; 0 if this host has not received any.
	Revision uint64
	// Zones is the number of evacuated zones, and Excluded that of ready upstreams in them.
	Zones, Excluded int
}

// ApplyEvacuations replaces the set of evacuated zones, whose upstreams receive no requests, not
// even as the last resort. It returns the change, or nil if the revision is not newer.
func (p *Pool) ApplyEvacuations(revision uint64, zones []string, now time.Time) *EvacuationChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := &p.evacuation
	if revision <= e.revision {
		return nil
	}
	before := e.zones
	e.revision, e.zones = revision, make(map[string]bool, len(zones))
	for _, zone := range zones {
		e.zones[zone] = true
	}
	change := &EvacuationChange{Started: missingZones(e.zones, before), Ended: missingZones(before, e.zones)}
	e.recordEnds(change, now)
	p.rebuild()
	change.Excluded = e.excluded
	return change
}

// missingZones returns the zones of a that b lacks, in ascending order.
func missingZones(a, b map[string]bool) []string {
	var missing []string
	for zone := range a {
		if !b[zone] {
			missing = append(missing, zone)
		}
	}
	slices.Sort(missing)
	return missing
}

// recordEnds records when zones were used again. Beyond maxEvacuationEnds the oldest are dropped.
func (e *evacuation) recordEnds(change *EvacuationChange, now time.Time) {
	for _, zone := range change.Started {
		delete(e.ends, zone)
	}
	for _, zone := range change.Ended {
		if e.ends == nil {
			e.ends = map[string]time.Time{}
		}
		e.ends[zone] = now
	}
	for len(e.ends) > maxEvacuationEnds {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(e.ends)), func(a, b string) int { return e.ends[a].Compare(e.ends[b]) })
		delete(e.ends, oldest)
	}
}

// excludes reports whether an upstream in zone receives nothing.
func (e *evacuation) excludes(zone string) bool { return len(e.zones) > 0 && e.zones[zone] }

// usable reports whether an upstream with this record may receive requests, and counts it
// otherwise if only an evacuation excludes it.
func (e *evacuation) usable(r *presence.Record) bool {
	if r.State != presence.Ready {
		return false
	}
	if e.excludes(r.Zone) {
		e.excluded++
		return false
	}
	return true
}

// EvacuationEnd returns the time at which this host learned that the latest evacuation of a zone
// had ended. It returns false if it knows of none or the zone is evacuated.
func (p *Pool) EvacuationEnd(zone string) (at time.Time, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, known = p.evacuation.ends[zone]
	return at, known
}

// Evacuations returns a summary of the evacuations that are in force.
func (p *Pool) Evacuations() EvacuationStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return EvacuationStatus{Revision: p.evacuation.revision, Zones: len(p.evacuation.zones), Excluded: p.evacuation.excluded}
}
