package control_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

func TestNotRunDispatchFreesSuspectBody(t *testing.T) {
	f := newFixture(t, 1000)
	b := f.beginRequest("k", hostA, 100)
	b.Repeatable = true
	b.Upstream, b.UpstreamIncarnation = "u1", 1
	reply := f.must(f.begin(b)).Begin
	f.must(f.execute(&controlapi.Command{Crash: &controlapi.CrashReport{
		Upstream: "u1", UpstreamIncarnation: 1, BodyHashes: []string{b.BodyHash},
	}}))
	send := func(upstream string, notRun ...controlapi.Instance) *controlapi.Result {
		return f.execute(&controlapi.Command{Dispatch: &controlapi.DispatchRequest{
			RequestID: b.RequestID, Attempt: reply.Attempt, Session: hostA,
			Upstream: upstream, UpstreamIncarnation: 1, NotRun: notRun,
		}})
	}
	f.must(send("u2"))
	f.expectRefused(send("u3"), errkind.SuspectBusy)
	f.must(send("u3", controlapi.Instance{Upstream: "u2", Incarnation: 1}))
	f.Expect(f.machine.CheckInvariants()).To(Succeed())
}
