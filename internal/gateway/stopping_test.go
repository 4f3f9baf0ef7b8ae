package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
)

// Guards against requests that a gateway takes too late in a stop, as the process was held up when they were to be refused.
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

// Guards against idle connections that are closed while callers still use them, as refusals take no time.
func TestStopWaitsWhileCallersAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := &Handler{stop: newStop(tally.NoopScope)}
		h.BeginStop(StopPlan{Began: time.Now(), Refuse: time.Now()})
		began := time.Now()
		go func() {
			for range 10 {
				time.Sleep(300*time.Millisecond + time.Millisecond)
				(&request{handler: h, outcome: gotRefusal}).countStopped()
			}
		}()
		h.AwaitRequests(t.Context(), 500*time.Millisecond)
		g.Expect(time.Since(began)).To(BeNumerically("~", 3510*time.Millisecond, 2*stopPollInterval))
	})
}
