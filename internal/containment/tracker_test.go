package containment_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/containment"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

func instance(name string) controlapi.Instance {
	return controlapi.Instance{Upstream: name, Incarnation: 1}
}

// tracker checks and opens in one step, as the control state does.
type tracker struct {
	*WithT
	*containment.Tracker
	now int64
}

func newTracker(t *testing.T) *tracker {
	return &tracker{WithT: NewWithT(t), Tracker: containment.New(), now: 1}
}

func (t *tracker) send(hash, to string) *errkind.Error {
	if err := t.CheckQuarantine(hash, t.now); err != nil {
		return err
	}
	err, _ := t.CheckOpen(hash, instance(to), t.now)
	if err == nil {
		t.Open(hash, instance(to))
	}
	return err
}

func (t *tracker) sent(hash, to string) {
	t.Expect(t.send(hash, to)).To(BeNil())
}

func (t *tracker) refused(hash, to string, kind errkind.Kind) {
	err := t.send(hash, to)
	t.Expect(err).NotTo(BeNil())
	t.Expect(err.Kind).To(Equal(kind))
}

func (t *tracker) end(hash, at string, ending containment.Ending) {
	t.Close(hash, []controlapi.Instance{instance(at)}, ending, t.now)
}

func (t *tracker) lose(at string, reported ...string) {
	t.Crash(instance(at), reported, t.now)
}

func TestBodyThatCrashesTwoUpstreamsIsQuarantined(t *testing.T) {
	k := newTracker(t)
	k.sent("killer", "u1")
	k.lose("u1")
	k.lose("u1", "killer")
	k.Expect(k.Suspect("killer")).To(BeTrue())
	k.end("killer", "u1", containment.NoEnd)
	k.sent("killer", "u2")
	k.lose("u2")
	k.end("killer", "u2", containment.NoEnd)
	k.refused("killer", "u3", errkind.Quarantined)

	k.now += containment.QuarantineMS - 1
	k.refused("killer", "u3", errkind.Quarantined)
	k.now += containment.QuarantineMS - 1
	k.Advance(k.now)
	k.refused("killer", "u3", errkind.Quarantined)
	k.now += containment.QuarantineMS
	k.Advance(k.now)
	k.sent("killer", "u3")
}

func TestNewBodyIsConfinedToTwoUpstreamsUntilItRanToItsEnd(t *testing.T) {
	k := newTracker(t)
	k.sent("body", "u1")
	k.sent("body", "u2")
	k.sent("body", "u1")
	err, runOn := k.CheckOpen("body", instance("u3"), k.now)
	k.Expect(err.Kind).To(Equal(errkind.SuspectBusy))
	k.Expect(runOn).To(Equal([]controlapi.Instance{instance("u1"), instance("u2")}))
	k.end("body", "u1", containment.Completed)
	k.sent("body", "u3")
	k.sent("body", "u4")
}

func TestRunWithoutAKnownEndStillCounts(t *testing.T) {
	k := newTracker(t)
	for _, upstream := range []string{"u1", "u2"} {
		k.sent("body", upstream)
		k.end("body", upstream, containment.NoEnd)
	}
	k.refused("body", "u3", errkind.SuspectBusy)
	k.sent("body", "u2")
	k.end("body", "u2", containment.NotRun)
	k.lose("u1")
	k.Expect(k.Suspect("body")).To(BeTrue())
	k.now += containment.LingerMS
	k.sent("body", "u3")
}

func TestRunThatProvablyDidNotStartDoesNotCount(t *testing.T) {
	k := newTracker(t)
	for _, upstream := range []string{"u1", "u2", "u3", "u4"} {
		k.sent("body", upstream)
		k.end("body", upstream, containment.NotRun)
	}
}

func TestSuspectsRunOneAtATimeAndNeverTogether(t *testing.T) {
	k := newTracker(t)
	k.sent("killer", "u1")
	k.sent("innocent", "u1")
	k.lose("u1")
	k.end("killer", "u1", containment.NoEnd)
	k.end("innocent", "u1", containment.NoEnd)
	k.sent("killer", "u2")
	k.refused("killer", "u3", errkind.SuspectBusy)
	k.refused("innocent", "u2", errkind.SuspectBusy)
	k.sent("innocent", "u3")
	k.lose("u2")
	k.end("innocent", "u3", containment.Completed)
	k.Expect(k.Suspect("innocent")).To(BeFalse())
	k.refused("killer", "u4", errkind.Quarantined)
}

func TestBodyThatCrashesTwoUpstreamsAtOnceIsQuarantined(t *testing.T) {
	k := newTracker(t)
	k.sent("killer", "u1")
	k.sent("killer", "u2")
	k.lose("u1")
	k.lose("u2")
	k.refused("killer", "u2", errkind.Quarantined)
}

func TestOperatorEndsAQuarantine(t *testing.T) {
	k := newTracker(t)
	k.sent("body", "u1")
	k.sent("body", "u2")
	k.lose("u1")
	k.lose("u2")
	k.refused("body", "u3", errkind.Quarantined)
	k.Expect(k.Suspects()).To(Equal([]controlapi.SuspectStatus{{
		BodyHash: "body", Lost: []controlapi.Instance{instance("u1"), instance("u2")}, QuarantinedUntilMS: k.now + containment.QuarantineMS,
	}}))
	k.Clear("body")
	k.end("body", "u1", containment.NotRun)
	k.Expect(k.Suspects()).To(BeEmpty())
	k.sent("body", "u3")
}

// A body that has run to its end is in flight on many upstreams. Two of them
// are lost to other bodies at the same time.
func TestProvenBodyIsNotQuarantinedForOthers(t *testing.T) {
	k := newTracker(t)
	k.sent("frequent", "u1")
	k.end("frequent", "u1", containment.Completed)
	for _, upstream := range []string{"u1", "u2", "u3"} {
		k.sent("frequent", upstream)
	}
	k.lose("u1")
	k.lose("u2")
	k.refused("frequent", "u4", errkind.SuspectBusy)
	k.end("frequent", "u3", containment.Completed)
	k.sent("frequent", "u4")
	k.sent("frequent", "u5")
}

func TestProvenBodyThatCrashesAloneIsQuarantined(t *testing.T) {
	k := newTracker(t)
	k.sent("body", "u1")
	k.end("body", "u1", containment.Completed)
	k.sent("body", "u1")
	k.lose("u1")
	k.end("body", "u1", containment.NoEnd)
	k.sent("body", "u2")
	k.lose("u2")
	k.refused("body", "u3", errkind.Quarantined)
}

func TestStateIsRestoredWithItsOpenDispatches(t *testing.T) {
	k := newTracker(t)
	k.sent("killer", "u1")
	k.lose("u1")
	k.sent("killer", "u2")
	restored := containment.FromState(k.State())
	restored.Restore("killer", instance("u1"))
	restored.Restore("killer", instance("u2"))
	k.Expect(restored.State()).To(Equal(k.State()))
	restored.Crash(instance("u2"), nil, k.now)
	k.Expect(restored.CheckQuarantine("killer", k.now)).NotTo(BeNil())
}

func TestBodiesAreForgotten(t *testing.T) {
	k := newTracker(t)
	k.sent("proven", "u1")
	k.end("proven", "u1", containment.Completed)
	k.sent("suspect", "u1")
	k.lose("u1")
	k.end("suspect", "u1", containment.NoEnd)
	k.Expect(k.State().Bodies).To(HaveLen(2))
	k.now += containment.SuspectRetentionMS
	k.Advance(k.now)
	k.Expect(k.State().Bodies).To(BeEmpty())
}
