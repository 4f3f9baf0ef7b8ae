package control_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/control"
	"github.com/godwitbend/godwitbend/internal/controlapi"
)

// FuzzApply applies arbitrary bytes as two commands to a machine that has state.
func FuzzApply(f *testing.F) {
	seeds := []*controlapi.Command{
		{TimeMS: 5, Begin: &controlapi.BeginRequest{
			RequestID: "r", Organisation: "heraut", Caller: "crier", Budget: "main", Service: "s", BodyHash: "h", Tokens: 5, Session: hostA, Upstream: "u",
		}},
		{Settle: &controlapi.SettleRequest{RequestID: "r", Attempt: 1, Tokens: 3}},
		{Crash: &controlapi.CrashReport{Upstream: "u", BodyHashes: []string{"h"}}},
		{Configure: &controlapi.ConfigureRequest{OperationID: "o", Writes: []controlapi.ConfigWrite{{Record: record(config.KindOrganisation, "n", `{}`)}}}},
		{Grant: &controlapi.GrantRequest{Session: hostA, Budget: "main", Total: 7}},
		{MergeJournal: &controlapi.MergeJournalRequest{Session: hostA, Entries: []controlapi.JournalEntry{journalEntry(1, "k", 2)}}},
	}
	for _, cmd := range seeds {
		data, err := codec.Marshal(cmd)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		m := newFixture(t, 100).machine
		for i, data := range [][]byte{first, second} {
			result, ok := m.Apply(uint64(i), data).(*controlapi.Result)
			if !ok || result == nil {
				t.Fatal("Apply returned no result")
			}
			if err := m.CheckInvariants(); err != nil {
				t.Fatal(err)
			}
		}
		checkRoundTrip(t, m)
	})
}

// checkRoundTrip checks that a machine restored from a snapshot has the same snapshot.
func checkRoundTrip(t *testing.T, m *control.Machine) {
	g := NewWithT(t)
	data, err := m.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	restored := control.NewMachine()
	g.Expect(restored.Restore(data)).To(Succeed())
	again, err := restored.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(data))
}

// FuzzRestore restores arbitrary bytes as a snapshot.
func FuzzRestore(f *testing.F) {
	data, err := control.NewMachine().Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := control.NewMachine()
		if m.Restore(data) != nil {
			return
		}
		if err := m.CheckInvariants(); err != nil {
			t.Fatal(err)
		}
	})
}
