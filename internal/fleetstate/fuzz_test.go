package fleetstate_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/prepaid"
)

// FuzzCommand applies arbitrary bytes as two entries of the log, and restores the state from a snapshot.
func FuzzCommand(f *testing.F) {
	for _, c := range []*fleetstate.Command{
		{Document: &fleetstate.Document{Version: 1 << 63, Content: []byte{1}, Prepaid: map[string]int64{"o": 1<<63 - 1, "\xff": -1 << 63}}},
		{
			Openings: []prepaid.SessionOpening{{Host: "h", Session: 1, BootTime: -1 << 63, WallTime: 1<<63 - 1}, {Host: "h", Session: 2, Age: -1 << 63}},
			Closings: []fleetstate.SessionClosing{{Host: "h", Session: 1}, {Host: "\xff"}},
		},
		{
			Openings: []prepaid.SessionOpening{{Host: "h", Session: 1}},
			Reports: []fleetstate.HostReport{{Host: "h", Report: prepaid.Report{Session: 1, Seq: 1, Uses: []prepaid.Use{
				{Organisation: "o", Used: 1<<63 - 1, Reserved: -1 << 63, Want: 1<<63 - 1, Rate: 1<<63 - 1, Transfers: []prepaid.Transfer{{To: 1, Tokens: -1 << 63}}},
			}}}},
			CeilingAnswers: []prepaid.CeilingAnswer{{Session: 1, Witness: 1, Ceilings: []prepaid.Ceiling{{Organisation: "o", Tokens: -1 << 63}}}},
		},
		{Evacuation: &fleetstate.Evacuation{Zone: "\xff", Voters: []uint64{1, 1, 0}}},
	} {
		data, err := codec.Marshal(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Add([]byte{0xff}, []byte{})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		g := NewWithT(t)
		m := fleetstate.New()
		for i, data := range [][]byte{first, second} {
			result, ok := m.Apply(uint64(i), data).(*fleetstate.Result)
			g.Expect(ok && result != nil).To(BeTrue())
		}
		data, err := m.Snapshot()
		g.Expect(err).NotTo(HaveOccurred())
		restored := fleetstate.New()
		g.Expect(restored.Restore(data)).To(Succeed())
		again, err := restored.Snapshot()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again).To(Equal(data))
	})
}

// FuzzRestore restores arbitrary bytes as a snapshot, and goes on from it.
func FuzzRestore(f *testing.F) {
	data, err := fleetstate.New().Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	for _, book := range []any{
		nil, map[int]any{1: nil, 2: nil}, map[int]any{2: map[string]any{"h": nil}}, map[int]any{1: map[string]any{"north": nil}},
		map[int]any{2: map[string]any{"h": map[int]any{4: map[string]any{"north": nil}}}},
	} {
		odd, err := codec.Marshal(map[int]any{2: book})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(odd)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := fleetstate.New()
		if m.Restore(data) != nil {
			return
		}
		g := NewWithT(t)
		apply(g, m, document(1<<40, "a"))
		apply(g, m, &fleetstate.Command{
			Openings: []prepaid.SessionOpening{{Host: "h", Session: 1}},
			Reports:  []fleetstate.HostReport{{Host: "h", Report: prepaid.Report{Session: 1, Seq: 1, Uses: []prepaid.Use{{Organisation: "north", Want: 5}}}}},
		})
	})
}
