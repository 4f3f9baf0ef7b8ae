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

// testTracker checks and records dispatches in one step, as the state machine of
// the control group does.
type testTracker struct {
	*WithT
	*containment.Tracker
	nowMS int64
}

func newTracker(t *testing.T) *testTracker {
	return &testTracker{WithT: NewWithT(t), Tracker: containment.New(), nowMS: 1}
}

func (t *testTracker) send(hash, to string) *errkind.Error {
	if err := t.CheckQuarantine(hash, t.nowMS); err != nil {
		return err
	}
	err, _ := t.CheckDispatch(hash, instance(to), t.nowMS)
	if err == nil {
		t.RecordDispatch(hash, instance(to))
	}
	return err
}

func (t *testTracker) mustSend(hash, to string) {
	t.Expect(t.send(hash, to)).To(BeNil())
}

func (t *testTracker) mustRefuse(hash, to string, kind errkind.Kind) {
	err := t.send(hash, to)
	t.Expect(err).NotTo(BeNil())
	t.Expect(err.Kind).To(Equal(kind))
}

func (t *testTracker) end(hash, upstream string, ending containment.Ending) {
	t.EndDispatches(hash, []controlapi.Instance{instance(upstream)}, ending, t.nowMS)
}

func (t *testTracker) crash(upstream string, reported ...string) {
	t.RecordCrash(instance(upstream), reported, t.nowMS)
}

func TestTwoCrashesQuarantineBody(t *testing.T) {
	tr := newTracker(t)
	tr.mustSend("killer", "u1")
	tr.crash("u1")
	tr.crash("u1", "killer")
	tr.Expect(tr.IsSuspect("killer")).To(BeTrue())
	tr.end("killer", "u1", containment.EndUnknown)
	tr.mustSend("killer", "u2")
	tr.crash("u2")
	tr.end("killer", "u2", containment.EndUnknown)
	tr.mustRefuse("killer", "u3", errkind.Quarantined)

	tr.nowMS += containment.QuarantineMS - 1
	tr.mustRefuse("killer", "u3", errkind.Quarantined)
	tr.nowMS += containment.QuarantineMS - 1
	tr.Sweep(tr.nowMS)
	tr.mustRefuse("killer", "u3", errkind.Quarantined)
	tr.nowMS += containment.QuarantineMS
	tr.Sweep(tr.nowMS)
	tr.mustSend("killer", "u3")
}

func TestNewBodyIsLimitedToTwoUpstreams(t *testing.T) {
	tr := newTracker(t)
	tr.mustSend("body", "u1")
	tr.mustSend("body", "u2")
	tr.mustSend("body", "u1")
	err, allowed := tr.CheckDispatch("body", instance("u3"), tr.nowMS)
	tr.Expect(err.Kind).To(Equal(errkind.SuspectBusy))
	tr.Expect(allowed).To(Equal([]controlapi.Instance{instance("u1"), instance("u2")}))
	tr.end("body", "u1", containment.Completed)
	tr.mustSend("body", "u3")
	tr.mustSend("body", "u4")
}

func TestUnconfirmedRunsCountAsExposure(t *testing.T) {
	tr := newTracker(t)
	for _, upstream := range []string{"u1", "u2"} {
		tr.mustSend("body", upstream)
		tr.end("body", upstream, containment.EndUnknown)
	}
	tr.mustRefuse("body", "u3", errkind.SuspectBusy)
	tr.mustSend("body", "u2")
	tr.end("body", "u2", containment.NotRun)
	tr.crash("u1")
	tr.Expect(tr.IsSuspect("body")).To(BeTrue())
	tr.nowMS += containment.UnconfirmedRunMS
	tr.mustSend("body", "u3")
}

func TestDispatchesNotRunDoNotCount(t *testing.T) {
	tr := newTracker(t)
	for _, upstream := range []string{"u1", "u2", "u3", "u4"} {
		tr.mustSend("body", upstream)
		tr.end("body", upstream, containment.NotRun)
	}
}

func TestSuspectsRunInIsolation(t *testing.T) {
	tr := newTracker(t)
	tr.mustSend("killer", "u1")
	tr.mustSend("innocent", "u1")
	tr.crash("u1")
	tr.end("killer", "u1", containment.EndUnknown)
	tr.end("innocent", "u1", containment.EndUnknown)
	tr.mustSend("killer", "u2")
	tr.mustRefuse("killer", "u3", errkind.SuspectBusy)
	tr.mustRefuse("innocent", "u2", errkind.SuspectBusy)
	tr.mustSend("innocent", "u3")
	tr.crash("u2")
	tr.end("innocent", "u3", containment.Completed)
	tr.Expect(tr.IsSuspect("innocent")).To(BeFalse())
	tr.mustRefuse("killer", "u4", errkind.Quarantined)
}

func TestConcurrentCrashesQuarantineBody(t *testing.T) {
	tr := newTracker(t)
	tr.mustSend("killer", "u1")
	tr.mustSend("killer", "u2")
	tr.crash("u1")
	tr.crash("u2")
	tr.mustRefuse("killer", "u2", errkind.Quarantined)
}

func TestClearEndsQuarantine(t *testing.T) {
	tr := newTracker(t)
	tr.mustSend("body", "u1")
	tr.mustSend("body", "u2")
	tr.crash("u1")
	tr.crash("u2")
	tr.mustRefuse("body", "u3", errkind.Quarantined)
	tr.Expect(tr.Suspects()).To(Equal([]controlapi.SuspectStatus{{
		BodyHash: "body", Lost: []controlapi.Instance{instance("u1"), instance("u2")}, QuarantinedUntilMS: tr.nowMS + containment.QuarantineMS,
	}}))
	tr.Clear("body")
	tr.end("body", "u1", containment.NotRun)
	tr.Expect(tr.Suspects()).To(BeEmpty())
	tr.mustSend("body", "u3")
}

// Guards against quarantining a frequent, known-safe body when two upstreams that
// run it are crashed by other bodies at the same time.
func TestKnownSafeBodyIsNotQuarantinedForUnrelatedCrashes(t *testing.T) {
	tr := newTracker(t)
	tr.mustSend("frequent", "u1")
	tr.end("frequent", "u1", containment.Completed)
	for _, upstream := range []string{"u1", "u2", "u3"} {
		tr.mustSend("frequent", upstream)
	}
	tr.crash("u1")
	tr.crash("u2")
	tr.mustRefuse("frequent", "u4", errkind.SuspectBusy)
	tr.end("frequent", "u3", containment.Completed)
	tr.mustSend("frequent", "u4")
	tr.mustSend("frequent", "u5")
}

func TestKnownSafeBodyIsQuarantinedAfterIsolatedCrash(t *testing.T) {
	tr := newTracker(t)
	tr.mustSend("body", "u1")
	tr.end("body", "u1", containment.Completed)
	tr.mustSend("body", "u1")
	tr.crash("u1")
	tr.end("body", "u1", containment.EndUnknown)
	tr.mustSend("body", "u2")
	tr.crash("u2")
	tr.mustRefuse("body", "u3", errkind.Quarantined)
}

func TestRestoreStateWithDispatches(t *testing.T) {
	tr := newTracker(t)
	tr.mustSend("killer", "u1")
	tr.crash("u1")
	tr.mustSend("killer", "u2")
	restored := containment.FromState(tr.State())
	restored.RestoreDispatch("killer", instance("u1"))
	restored.RestoreDispatch("killer", instance("u2"))
	tr.Expect(restored.State()).To(Equal(tr.State()))
	restored.RecordCrash(instance("u2"), nil, tr.nowMS)
	tr.Expect(restored.CheckQuarantine("killer", tr.nowMS)).NotTo(BeNil())
}

func TestSweepRemovesExpiredBodies(t *testing.T) {
	tr := newTracker(t)
	tr.mustSend("proven", "u1")
	tr.end("proven", "u1", containment.Completed)
	tr.mustSend("suspect", "u1")
	tr.crash("u1")
	tr.end("suspect", "u1", containment.EndUnknown)
	tr.Expect(tr.State().Bodies).To(HaveLen(2))
	tr.nowMS += containment.SuspectRetentionMS
	tr.Sweep(tr.nowMS)
	tr.Expect(tr.State().Bodies).To(BeEmpty())
}
