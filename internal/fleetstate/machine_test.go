package fleetstate_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/prepaid"
)

func apply(g *WithT, m *fleetstate.Machine, c *fleetstate.Command) *fleetstate.Result {
	data, err := codec.Marshal(c)
	g.Expect(err).NotTo(HaveOccurred())
	result, ok := m.Apply(1, data).(*fleetstate.Result)
	g.Expect(ok).To(BeTrue())
	g.Expect(result.Err).NotTo(HaveOccurred())
	return result
}

func document(version uint64, content string) *fleetstate.Command {
	return &fleetstate.Command{Document: &fleetstate.Document{
		Version: version, Content: []byte(content), Prepaid: map[string]int64{"north": 1000 * int64(version)},
	}}
}

func TestHighestVersionIsInForce(t *testing.T) {
	g := NewWithT(t)
	m := fleetstate.New()
	g.Expect(m.Document().Version).To(BeZero())
	g.Expect(apply(g, m, document(5, "five")).Version).To(Equal(uint64(5)))
	g.Expect(apply(g, m, document(4, "four")).Version).To(Equal(uint64(5)))
	g.Expect(apply(g, m, document(5, "other")).Version).To(Equal(uint64(5)))
	g.Expect(m.Document().Content).To(BeEquivalentTo("five"))
	g.Expect(m.Book().Accounts["north"].Prepaid).To(Equal(int64(5000)))
}

func TestRestoreEqualsSnapshot(t *testing.T) {
	g := NewWithT(t)
	m := fleetstate.New()
	apply(g, m, document(5, "five"))
	opening := prepaid.SessionOpening{Host: "h", Session: 7, BootTime: 1, WallTime: 1, ArrivalTime: 1}
	report := prepaid.Report{Session: 7, Seq: 1, BootTime: 2, Uses: []prepaid.Use{{Organisation: "north", Want: 800}}}
	result := apply(g, m, &fleetstate.Command{
		Openings: []prepaid.SessionOpening{opening}, Reports: []fleetstate.HostReport{{Host: "h", Report: report}},
	})
	g.Expect(result.Replies).To(HaveLen(1))
	g.Expect(result.Replies[0].Grants[0].Granted).To(BeNumerically(">=", 800))
	data, err := m.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	restored := fleetstate.New()
	g.Expect(restored.Restore(data)).To(Succeed())
	again, err := restored.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(data))
	g.Expect(restored.Document().Version).To(Equal(uint64(5)))
	repeated := apply(g, restored, &fleetstate.Command{Reports: []fleetstate.HostReport{{Host: "h", Report: report}}})
	g.Expect(repeated.Replies[0].Grants).To(Equal(result.Replies[0].Grants), "a resent report must have no effect")
	g.Expect(restored.Restore([]byte("garbage"))).NotTo(Succeed())
}

func TestInvalidCommandChangesNothing(t *testing.T) {
	g := NewWithT(t)
	m := fleetstate.New()
	apply(g, m, document(5, "five"))
	result, ok := m.Apply(2, []byte("garbage")).(*fleetstate.Result)
	g.Expect(ok).To(BeTrue())
	g.Expect(result.Err).To(HaveOccurred())
	g.Expect(m.Document().Version).To(Equal(uint64(5)))
}

func TestCompressDecompressRoundTrip(t *testing.T) {
	g := NewWithT(t)
	content := bytes.Repeat([]byte(`{"version": 7, "routes": []} `), 1000)
	compressed, err := fleetstate.Compress(content)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(compressed)).To(BeNumerically("<", len(content)/10))
	g.Expect(fleetstate.Decompress(compressed)).To(Equal(content))
	_, err = fleetstate.Decompress(compressed[:len(compressed)/2])
	g.Expect(err).To(HaveOccurred())
}

// A charge waits for the measurement of a change of the leader across a snapshot, and is refunded to the tokens that the
// rebooted gateway can have spent.
func TestChargeIsReducedOnceTheChangeOfTheLeaderIsMeasured(t *testing.T) {
	g := NewWithT(t)
	const second = int64(1e9)
	m := fleetstate.New()
	apply(g, m, document(5, "five"))
	seq := map[uint64]uint64{}
	report := func(host string, session, leader uint64, at int64, use prepaid.Use) *fleetstate.Result {
		seq[session]++
		r := prepaid.Report{
			Session: session, Seq: seq[session], BootTime: at, WallTime: at, Uses: []prepaid.Use{use},
			Arrival: prepaid.ClockReading{Clock: leader, Time: at + int64(leader)*1000*second},
		}
		return apply(g, m, &fleetstate.Command{Reports: []fleetstate.HostReport{{Host: host, Report: r}}})
	}
	open := func(host string, session, leader uint64, at int64) *fleetstate.Result {
		return apply(g, m, &fleetstate.Command{Openings: []prepaid.SessionOpening{{
			Host: host, Session: session, BootTime: 1, Arrival: prepaid.ClockReading{Clock: leader, Time: at + int64(leader)*1000*second},
		}}})
	}
	open("running", 1, 1, second)
	open("rebooted", 2, 1, second)
	north := prepaid.Use{Organisation: "north", Used: 100, Want: 800}
	for _, at := range []int64{2 * second, 3 * second} {
		report("running", 1, 1, at, prepaid.Use{Organisation: "south"})
		report("rebooted", 2, 1, at, north)
	}
	settled := open("rebooted", 3, 2, 4*second).Settlements
	g.Expect(settled).To(HaveLen(1))
	g.Expect(settled[0].WrittenOff).To(BeNumerically(">=", 800))
	data, err := m.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	m = fleetstate.New()
	g.Expect(m.Restore(data)).To(Succeed())
	g.Expect(report("running", 1, 2, 5*second, prepaid.Use{Organisation: "south"}).Recovered).To(BeZero())
	g.Expect(report("running", 1, 2, 6*second, prepaid.Use{Organisation: "south"}).Recovered).To(Equal(settled[0].WrittenOff))
	g.Expect(m.Book().Accounts["north"].Charged).To(BeEquivalentTo(100))
}
