package fleetstate_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/prepaid"
)

func evacuate(zone string, end bool, voters ...uint64) *fleetstate.Command {
	return &fleetstate.Command{Evacuation: &fleetstate.Evacuation{Zone: zone, End: end, Voters: voters}}
}

// Guards against revisions that rise, and gateways that act, when a command is sent again.
func TestEvacuationCommandsAreIdempotent(t *testing.T) {
	g := NewWithT(t)
	m := fleetstate.New()
	g.Expect(m.Evacuations()).To(Equal(&fleetstate.Evacuations{}))
	g.Expect(apply(g, m, evacuate("b", true)).Evacuation).To(Equal(fleetstate.EvacuationResult{}))
	for _, changed := range []bool{true, false} {
		g.Expect(apply(g, m, evacuate("b", false)).Evacuation).To(Equal(fleetstate.EvacuationResult{Revision: 1, Changed: changed}))
	}
	apply(g, m, evacuate("a", false))
	g.Expect(m.Evacuations()).To(Equal(&fleetstate.Evacuations{Revision: 2, Zones: []string{"a", "b"}}))
	for _, changed := range []bool{true, false} {
		g.Expect(apply(g, m, evacuate("b", true)).Evacuation).To(Equal(fleetstate.EvacuationResult{Revision: 3, Changed: changed}))
	}
	g.Expect(m.Evacuations().Zones).To(Equal([]string{"a"}))
	apply(g, m, document(1, "one"))
	g.Expect(m.Evacuations().Revision).To(Equal(uint64(3)))
}

// Guards against a state that grows without bound, and against refusing a command sent again.
func TestEvacuationsAreBounded(t *testing.T) {
	g := NewWithT(t)
	m := fleetstate.New()
	for i := range fleetstate.MaxEvacuatedZones {
		g.Expect(apply(g, m, evacuate(fmt.Sprint("zone-", i), false)).Evacuation.TooMany).To(BeFalse())
	}
	full := uint64(fleetstate.MaxEvacuatedZones)
	g.Expect(apply(g, m, evacuate("one more", false)).Evacuation).To(Equal(fleetstate.EvacuationResult{Revision: full, TooMany: true}))
	g.Expect(apply(g, m, evacuate("zone-7", false)).Evacuation).To(Equal(fleetstate.EvacuationResult{Revision: full}))
	apply(g, m, evacuate("zone-7", true))
	g.Expect(apply(g, m, evacuate("one more", false)).Evacuation.Changed).To(BeTrue())
}

// Guards against evacuations that are lost when a control host starts from a snapshot.
func TestEvacuationsSurviveSnapshot(t *testing.T) {
	g := NewWithT(t)
	m := fleetstate.New()
	apply(g, m, evacuate("b", false, 1, 2, 3))
	apply(g, m, evacuate("a", false, 4, 2, 3))
	data, err := m.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	restored := fleetstate.New()
	g.Expect(restored.Restore(data)).To(Succeed())
	g.Expect(restored.Evacuations()).To(Equal(&fleetstate.Evacuations{Revision: 2, Zones: []string{"a", "b"}, Voters: []uint64{2, 3, 4}}))
	g.Expect(restored.Snapshot()).To(Equal(data))
}

// Guards against control hosts that cannot start from the snapshot of a build without evacuations.
func TestSnapshotWithoutEvacuationsHasNone(t *testing.T) {
	g := NewWithT(t)
	old, err := codec.Marshal(struct {
		Document fleetstate.Document `cbor:"1,keyasint"`
		Book     *prepaid.Book       `cbor:"2,keyasint"`
	}{fleetstate.Document{Version: 7}, prepaid.NewBook()})
	g.Expect(err).NotTo(HaveOccurred())
	m := fleetstate.New()
	apply(g, m, evacuate("a", false))
	g.Expect(m.Restore(old)).To(Succeed())
	g.Expect(m.Document().Version).To(Equal(uint64(7)))
	g.Expect(m.Evacuations()).To(Equal(&fleetstate.Evacuations{}))
	g.Expect(m.Snapshot()).To(Equal(old), "a state without evacuations is encoded as before")
}

func TestEvacuatedZoneNames(t *testing.T) {
	g := NewWithT(t)
	for _, zone := range []string{"a", "eu-west 1", strings.Repeat("é", 64), "%"} {
		g.Expect(fleetstate.ValidZone(zone)).To(BeTrue(), "%q", zone)
	}
	for _, zone := range []string{"", "a/b", "a\n", "\x00", "\xff", "a\u200b", strings.Repeat("z", 65)} {
		g.Expect(fleetstate.ValidZone(zone)).To(BeFalse(), "%q", zone)
	}
}

// Guards against replicas that disagree after random commands, snapshots and restarts.
func TestEvacuationsMatchModel(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(1000) {
		random := rand.New(rand.NewPCG(seed, 11))
		m, model, revision := fleetstate.New(), map[string]bool{}, uint64(0)
		zones := 4 + random.IntN(2*fleetstate.MaxEvacuatedZones)
		for range 150 {
			zone, end := fmt.Sprint("zone-", random.IntN(zones)), random.IntN(4) == 0
			want := fleetstate.EvacuationResult{Changed: model[zone] == end, TooMany: !end && !model[zone] && len(model) == fleetstate.MaxEvacuatedZones}
			want.Changed = want.Changed && !want.TooMany
			if want.Changed {
				revision++
				delete(model, zone)
				if !end {
					model[zone] = true
				}
			}
			want.Revision = revision
			g.Expect(apply(g, m, evacuate(zone, end)).Evacuation).To(Equal(want), "seed %d", seed)
			if random.IntN(10) == 0 {
				data, err := m.Snapshot()
				g.Expect(err).NotTo(HaveOccurred())
				m = fleetstate.New()
				g.Expect(m.Restore(data)).To(Succeed())
			}
		}
		g.Expect(m.Evacuations().Zones).To(Equal(slices.Sorted(maps.Keys(model))), "seed %d", seed)
	}
}
