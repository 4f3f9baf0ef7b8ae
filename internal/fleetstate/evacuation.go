package fleetstate

import (
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

const (
	// MaxEvacuatedZones bounds the zones that are evacuated at a time.
	MaxEvacuatedZones = 64
	// MaxZoneCharacters bounds the name of a zone.
	MaxZoneCharacters = 64
)

// Evacuation is a command of an operator: nothing more is to be sent to the upstreams of a zone,
// or, with End, they are to be used again.
type Evacuation struct {
	Zone string `cbor:"1,keyasint"`
	End  bool   `cbor:"2,keyasint,omitempty"`
	// Voters are the ids of the voters that were known to understand this kind of entry.
	Voters []uint64 `cbor:"3,keyasint,omitempty"`
}

// Evacuations is the set of evacuated zones.
type Evacuations struct {
	// Revision counts the changes of the set.
	Revision uint64 `cbor:"1,keyasint,omitempty"`
	// Zones holds the names of the evacuated zones in ascending order.
	Zones []string `cbor:"2,keyasint,omitempty"`
	// Voters holds the ids of replicas that are known to understand evacuations, in ascending
	// order. It lets a new leader propose one while a voter that it has never heard is down.
	Voters []uint64 `cbor:"3,keyasint,omitempty"`
}

// EvacuationResult is the result of applying an Evacuation.
type EvacuationResult struct {
	// Revision is that of the set after the command.
	Revision uint64 `cbor:"1,keyasint,omitempty"`
	// Changed reports whether the command changed the set.
	Changed bool `cbor:"2,keyasint,omitempty"`
	// TooMany reports that the command was rejected because of MaxEvacuatedZones.
	TooMany bool `cbor:"3,keyasint,omitempty"`
}

// ValidZone reports whether name can be the name of an evacuated zone: 1 to MaxZoneCharacters
// printable characters without a slash.
func ValidZone(name string) bool {
	return name != "" && utf8.ValidString(name) && utf8.RuneCountInString(name) <= MaxZoneCharacters &&
		!strings.ContainsFunc(name, func(r rune) bool { return r == '/' || !unicode.IsPrint(r) })
}

// after returns the set after a command. It does not modify e, which readers may hold.
func (e *Evacuations) after(c *Evacuation) (Evacuations, EvacuationResult) {
	next := Evacuations{Revision: e.Revision, Zones: e.Zones, Voters: sortedIDs(c.Voters)}
	i, evacuated := slices.BinarySearch(e.Zones, c.Zone)
	result := EvacuationResult{Revision: e.Revision}
	switch {
	case evacuated != c.End:
		return next, result
	case c.End:
		next.Zones = slices.Delete(slices.Clone(e.Zones), i, i+1)
	case len(e.Zones) >= MaxEvacuatedZones:
		result.TooMany = true
		return next, result
	default:
		next.Zones = slices.Insert(slices.Clone(e.Zones), i, c.Zone)
	}
	next.Revision++
	result.Revision, result.Changed = next.Revision, true
	return next, result
}

func sortedIDs(ids []uint64) []uint64 {
	sorted := slices.Clone(ids)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}
