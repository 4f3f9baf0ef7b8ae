package crashcause

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Traits of the tests.
const (
	common = uint64(iota + 1)
	rare
	bad
	repeated
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// crash reports that an upstream crashed at ms with a request sent 100 ms before.
func (t *Tracker) crash(upstream, ms int, fingerprint uint64, segments ...uint64) {
	t.AddCrash(Crash{
		Upstream: fmt.Sprint("u", upstream), Fingerprint: fingerprint, Segments: segments, SentAt: at(ms - 100), CrashedAt: at(ms),
	})
}

func TestSegmentSharedByCrashingRequestsIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	tracker := &Tracker{}
	for i := range 4 {
		ms := i * 200
		tracker.crash(i, ms, uint64(100+i), common, bad)
		tracker.crash(i, ms, uint64(200+i), common, rare)
		g.Expect(tracker.Decide(at(ms)).Quarantined).To(BeEmpty(), "hosts may still clear a segment")
	}
	tracker.AddSound(common, at(700))
	tracker.AddSound(rare, at(700))
	g.Expect(tracker.Decide(at(1500)).Quarantined).To(Equal([]uint64{bad}))
	g.Expect(tracker.Decide(at(1500)).Suspects).To(BeEmpty())
}

func TestSegmentOfCrashesThatRequestsSentTogetherCauseIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	tracker := &Tracker{}
	for i := range 5 {
		tracker.crash(i, i, uint64(100+i), common, bad)
	}
	g.Expect(tracker.Decide(at(1500)).Quarantined).To(BeEmpty(), "nothing tells the segments apart")
	g.Expect(tracker.Decide(at(1500)).Suspects).To(ContainElements(common, bad))
	tracker.AddSound(common, at(1600))
	g.Expect(tracker.Decide(at(1700)).Quarantined).To(BeEmpty(), "the segment may be in answers that are about to begin")
	g.Expect(tracker.Decide(at(3100)).Quarantined).To(Equal([]uint64{bad}))
}

func TestUpstreamsKilledTogetherQuarantineNothing(t *testing.T) {
	g := NewWithT(t)
	tracker := &Tracker{}
	for i := range 9 {
		tracker.crash(i, i, uint64(100+i%3), common, uint64(50+i%3))
	}
	g.Expect(tracker.Decide(at(4000)).Quarantined).To(BeEmpty())
}

func TestSegmentThatOtherRequestsWereAnsweredWithIsNotQuarantined(t *testing.T) {
	g := NewWithT(t)
	tracker := &Tracker{}
	for i := range 20 {
		tracker.crash(i, i*300, uint64(100+i), common)
		tracker.AddSound(common, at(i*300+100))
		g.Expect(tracker.Decide(at(i*300 + 200)).Quarantined).To(BeEmpty())
	}
}

func TestRepeatedRequestIsQuarantinedAtItsThirdCrash(t *testing.T) {
	g := NewWithT(t)
	tracker := &Tracker{}
	for i := range 3 {
		g.Expect(tracker.Decide(at(i * 200)).Quarantined).To(BeEmpty())
		tracker.crash(i, i*200, repeated, common, rare)
	}
	g.Expect(tracker.Decide(at(600)).Quarantined).To(Equal([]uint64{repeated}))
	g.Expect(tracker.Decide(at(5000)).Quarantined).To(Equal([]uint64{repeated}), "it explains the crashes of its segments")
}

func TestRestartUnderTheSameIDCountsAsAnotherProcess(t *testing.T) {
	g := NewWithT(t)
	tracker := &Tracker{}
	for i := range 3 {
		tracker.AddCrash(Crash{Upstream: "u", StartedMS: int64(i), Fingerprint: repeated, SentAt: at(i*200 - 100), CrashedAt: at(i * 200)})
	}
	g.Expect(tracker.Decide(at(600)).Quarantined).To(Equal([]uint64{repeated}))
}

func TestBystanderIsReleasedWhenTheCauseIsFound(t *testing.T) {
	g := NewWithT(t)
	tracker := &Tracker{}
	for i := range 4 {
		tracker.crash(i, i*200, uint64(100+i), bad)
		tracker.crash(i, i*200, repeated, rare)
	}
	g.Expect(tracker.Decide(at(650)).Quarantined).To(Equal([]uint64{repeated}))
	tracker.crash(4, 800, 104, bad)
	g.Expect(tracker.Decide(at(2000)).Quarantined).To(Equal([]uint64{bad}))
}

func TestAnswerEndsQuarantine(t *testing.T) {
	g := NewWithT(t)
	tracker := &Tracker{}
	for i := range 3 {
		tracker.crash(i, i*200, uint64(100+i), bad)
	}
	g.Expect(tracker.Decide(at(2000)).Quarantined).To(Equal([]uint64{bad}))
	tracker.AddSound(bad, at(2100))
	g.Expect(tracker.Decide(at(2200)).Quarantined).To(BeEmpty())
}

func TestSegmentClearedBeforeYieldsToOneThatNeverWas(t *testing.T) {
	g := NewWithT(t)
	tracker := &Tracker{}
	for i := range 4 {
		tracker.crash(i, i*200, uint64(100+i), bad, common)
	}
	tracker.AddSound(common, at(-500))
	g.Expect(tracker.Decide(at(2000)).Quarantined).To(Equal([]uint64{bad}))
}

func TestAdoptedQuarantineIsKeptWithoutEvidence(t *testing.T) {
	g := NewWithT(t)
	tracker := &Tracker{}
	tracker.Adopt(bad, at(0))
	g.Expect(tracker.Decide(at(1000)).Quarantined).To(Equal([]uint64{bad}))
	g.Expect(tracker.Decide(at(1000).Add(QuarantineDuration)).Quarantined).To(BeEmpty())
}

func TestEvidenceIsBounded(t *testing.T) {
	g := NewWithT(t)
	tracker := &Tracker{}
	for i := range 4 * maxCrashes {
		for j := range 2 * maxTraitsPerCrash {
			tracker.crash(i, i*100, uint64(i*10_000+j))
		}
	}
	g.Expect(len(tracker.crashes)).To(BeNumerically("<=", maxCrashes))
	recorded := 0
	for _, c := range tracker.crashes {
		recorded += len(c.traits)
	}
	g.Expect(tracker.present).To(HaveLen(recorded), "traits of crashes that are forgotten are forgotten too")
	started := time.Now()
	decision := tracker.Decide(at(400 * maxCrashes))
	g.Expect(time.Since(started)).To(BeNumerically("<", time.Second))
	g.Expect(len(decision.Suspects)).To(BeNumerically("<=", MaxSuspects))
	log := &SoundLog{}
	for i := range 10 * maxSoundTraits {
		log.Add(uint64(i), at(i))
	}
	g.Expect(len(log.current) + len(log.previous)).To(BeNumerically("<=", 2*maxSoundTraits))
	g.Expect(log.Latest(10*maxSoundTraits - 1)).To(Equal(at(10*maxSoundTraits - 1)))
}

func TestTraitsOfASingleCrashAreNotSuspect(t *testing.T) {
	g := NewWithT(t)
	tracker := &Tracker{}
	tracker.crash(0, 0, 100, common, rare)
	g.Expect(tracker.Decide(at(100)).Suspects).To(BeEmpty())
	tracker.crash(1, 200, 101, common, bad)
	g.Expect(tracker.Decide(at(300)).Suspects).To(Equal([]uint64{common}))
}
