package crashcause

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestQuarantineOutlivesItsLeader(t *testing.T) {
	g := NewWithT(t)
	h := NewHost()
	handedOver := func() []uint64 {
		_, traits := h.Report(start)
		return traits
	}
	both := map[uint64]bool{7: true, 8: true}
	h.Apply(1, Decision{Quarantined: []uint64{7, 8}}, start)
	g.Expect(h.Quarantined()).To(Equal(both))
	g.Expect(handedOver()).To(BeEmpty(), "the leader has them")
	h.Apply(2, Decision{}, start)
	g.Expect(h.Quarantined()).To(Equal(both), "the next leader does not know them yet")
	g.Expect(handedOver()).To(ConsistOf(uint64(7), uint64(8)))
	h.Apply(2, Decision{Quarantined: []uint64{7, 8}}, start)
	g.Expect(h.Quarantined()).To(Equal(both))
	g.Expect(handedOver()).To(BeEmpty())
	h.Apply(2, Decision{Quarantined: []uint64{8}}, start)
	g.Expect(h.Quarantined()).To(Equal(map[uint64]bool{8: true}), "a leader ends the quarantines that it listed")
	h.Apply(3, Decision{}, start.Add(2*QuarantineDuration))
	g.Expect(h.Quarantined()).To(BeEmpty())
}

func TestClearedSuspectsAreReportedOnce(t *testing.T) {
	g := NewWithT(t)
	h := NewHost()
	sound := func() []SoundReport {
		reports, _ := h.Report(start)
		return reports
	}
	h.RecordSound(start.Add(-time.Second), 7, 9)
	g.Expect(h.Watching()).To(BeFalse())
	h.Apply(1, Decision{Suspects: []uint64{7, 8}}, start)
	g.Expect(h.Watching()).To(BeTrue())
	g.Expect(sound()).To(Equal([]SoundReport{{Trait: 7, Age: time.Second}}))
	g.Expect(sound()).To(HaveLen(1), "the leader has not acknowledged it")
	h.Acknowledge()
	g.Expect(sound()).To(BeEmpty())
	h.RecordSound(start, 7)
	g.Expect(sound()).To(HaveLen(1))
}
