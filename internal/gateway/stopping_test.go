package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
)

// Guards against requests that a gateway takes too late in a stop, as the process was stalled when they were to be refused.
func TestStoppingGatewayRefusesRequestsByTheClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := &Handler{stop: newStop(tally.NoopScope)}
		g.Expect(h.stop.refuses()).To(BeFalse())
		h.BeginStop(StopPlan{Began: time.Now(), Refuse: time.Now().Add(time.Second)})
		g.Expect(h.stop.refuses()).To(BeFalse())
		time.Sleep(time.Second)
		g.Expect(h.stop.refuses()).To(BeTrue())
	})
}
