package gateway

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/placement"
)

// An exchange that breaks because its caller disconnects must not count as a failure of
// the upstream, neither in the log nor in the choice of upstreams.
func TestCallerDisconnectIsNotUpstreamFailure(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	a := &attempt{
		request: &request{
			handler: &Handler{Options: Options{Pool: placement.NewPool("a")}}, ctx: ctx, mayHaveRun: true, eventsSent: 3,
			deadline: time.Now().Add(time.Minute),
		},
		target: &placement.Assignment{Upstream: &placement.Upstream{}},
	}
	result := a.exchangeBroken(failureBroken)
	g.Expect(result).To(Equal(resultStreamInterrupted))
	g.Expect(a.lastFailure).To(Equal(failureCallerDisconnected))
	refusal := a.finish(httptest.NewRecorder(), result)
	g.Expect(refusal.Kind).To(Equal(errkind.OutcomeUnknown))
	g.Expect(refusal.Message).To(ContainSubstring("the caller disconnected"))
}
