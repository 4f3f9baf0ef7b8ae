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

// An exchange that breaks because its caller has left is not the upstream's failure,
// neither in the log nor for the choice of upstreams.
func TestCallerThatLeavesIsNoFailureOfTheUpstream(t *testing.T) {
	g := NewWithT(t)
	ctx, leave := context.WithCancel(context.Background())
	leave()
	a := &attempt{
		request: &request{
			handler: &Handler{Options: Options{Pool: placement.NewPool("a")}}, ctx: ctx, ran: true, events: 3,
			deadline: time.Now().Add(time.Minute),
		},
		target: &placement.Assignment{Upstream: &placement.Upstream{}},
	}
	next := a.lost(failureBroken)
	g.Expect(next).To(Equal(cut))
	g.Expect(a.lastFailure).To(Equal(failureCallerLeft))
	refusal := a.conclude(httptest.NewRecorder(), next)
	g.Expect(refusal.Kind).To(Equal(errkind.OutcomeUnknown))
	g.Expect(refusal.Message).To(ContainSubstring("the caller left"))
}
