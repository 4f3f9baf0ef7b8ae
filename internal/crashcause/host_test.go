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
		return h.Report(start).Quarantined
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
		return h.Report(start).Sound
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

func TestCrashIsReportedUntilAcknowledged(t *testing.T) {
	g := NewWithT(t)
	h := NewHost()
	h.ReportCrash(Crash{Upstream: "u", Fingerprint: 1, SentAt: start, CrashedAt: start.Add(time.Second)})
	want := []CrashReport{{Upstream: "u", Fingerprint: 1, Ran: time.Second, Age: time.Second}}
	g.Expect(h.Report(start.Add(2 * time.Second)).Crashes).To(Equal(want))
	g.Expect(h.Report(start.Add(2*time.Second)).Crashes).To(Equal(want), "the call failed")
	h.ReportCrash(Crash{Upstream: "v", Fingerprint: 2})
	h.Acknowledge()
	rest := h.Report(start).Crashes
	g.Expect(rest).To(HaveLen(1), "it came after the report")
	g.Expect(rest[0].Upstream).To(Equal("v"))
	for range 2 * maxPendingCrashes {
		h.ReportCrash(Crash{})
	}
	g.Expect(h.Report(start).Crashes).To(HaveLen(maxPendingCrashes))
}
