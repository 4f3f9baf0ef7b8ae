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

// Guards against stops after which streams cut at work can't be told from those that their upstream had preempted.
func TestStoppingGatewayCountsSilentStreamsThatItBreaksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := &Handler{stop: newStop(tally.NoopScope)}
		h.BeginStop(StopPlan{Began: time.Now()})
		silent := &request{handler: h, eventsSent: 2, lastEventAt: time.Now()}
		time.Sleep(silentTime)
		silent.countStopped()
		(&request{handler: h, eventsSent: 2, lastEventAt: time.Now()}).countStopped()
		(&request{handler: h}).countStopped()
		g.Expect(h.StopLogFields()).To(ContainElements("broken_off", int64(3), "broken_off_silent", int64(1)))
	})
}
