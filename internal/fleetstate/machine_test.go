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
