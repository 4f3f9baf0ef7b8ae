package hostsync

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/crashcause"
)

func leaderReply(epoch uint64, quarantined ...uint64) *controlnode.SyncReply {
	return &controlnode.SyncReply{PeersEpoch: epoch, Quarantined: quarantined}
}

func TestQuarantineOutlivesItsLeader(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{Clock: func() int64 { return 0 }})
	now := time.Now()
	g.Expect(c.applyQuarantines(leaderReply(1, 7, 8), now)).To(HaveLen(2))
	c.peersEpoch = 1
	handedOver := func() []uint64 {
		req := &controlnode.SyncRequest{}
		c.addCrashes(req, now)
		return req.Quarantined
	}
	g.Expect(handedOver()).To(BeEmpty(), "the leader has them")
	g.Expect(c.applyQuarantines(leaderReply(2), now)).To(HaveLen(2), "the next leader does not know them yet")
	c.peersEpoch = 2
	g.Expect(handedOver()).To(ConsistOf(uint64(7), uint64(8)))
	g.Expect(c.applyQuarantines(leaderReply(2, 7, 8), now)).To(HaveLen(2))
	g.Expect(handedOver()).To(BeEmpty())
	g.Expect(c.applyQuarantines(leaderReply(2, 8), now)).To(Equal(map[uint64]bool{8: true}), "a leader ends the quarantines that it listed")
	g.Expect(c.applyQuarantines(leaderReply(3), now.Add(2*crashcause.QuarantineDuration))).To(BeEmpty())
}

func TestClearedSuspectsAreReportedOnce(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{Clock: func() int64 { return 0 }})
	now := time.Now()
	c.RecordSound(now.Add(-time.Second), 7, 9)
	c.view.Store(&View{Suspects: toSet([]uint64{7, 8})})
	req := &controlnode.SyncRequest{}
	c.addCrashes(req, now)
	g.Expect(req.Sound).To(Equal([]controlnode.SoundTrait{{Trait: 7, Age: time.Second}}))
	again := &controlnode.SyncRequest{}
	c.addCrashes(again, now)
	g.Expect(again.Sound).To(HaveLen(1), "the leader has not acknowledged it")
	c.acknowledgeCrashes(again)
	last := &controlnode.SyncRequest{}
	c.addCrashes(last, now)
	g.Expect(last.Sound).To(BeEmpty())
	c.RecordSound(now, 7)
	c.addCrashes(last, now)
	g.Expect(last.Sound).To(HaveLen(1))
}
