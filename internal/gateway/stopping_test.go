package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/errkind"
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

// Guards against streams that a stopping gateway takes though it may break them off.
func TestStoppingGatewayTakesOnlyStreamsWhoseDeadlineComesFirst(t *testing.T) {
	const answers = 7 * time.Second
	for name, test := range map[string]struct {
		kind    catalog.Kind
		usually time.Duration
		left    time.Duration
		refused bool
	}{
		"stream whose deadline comes first":            {catalog.Streaming, time.Second, answers, false},
		"stream that may outlast the stop":             {catalog.Streaming, time.Second, answers + time.Millisecond, true},
		"request on a route that is quick":             {catalog.NonIdempotent, time.Second, answers + time.Second, false},
		"request on a route that is slow":              {catalog.NonIdempotent, 8 * time.Second, answers + time.Second, true},
		"slow request whose deadline comes first":      {catalog.Idempotent, 8 * time.Second, answers, false},
		"stream of a slow route, deadline comes first": {catalog.Streaming, 8 * time.Second, answers, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				h := &Handler{stop: newStop(tally.NoopScope)}
				q := &request{handler: h, Call: &Call{}, route: &catalog.Route{Name: "r", Kind: test.kind}, deadline: time.Now().Add(test.left)}
				for range minWorkTimeSamples {
					h.workTimes.add("r", test.usually)
				}
				g.Expect(q.checkStopTime()).To(BeNil(), "the host does not stop")
				h.BeginStop(StopPlan{Began: time.Now(), Answer: time.Now().Add(answers)})
				refusal := q.checkStopTime()
				if !test.refused {
					g.Expect(refusal).To(BeNil())
					return
				}
				g.Expect(refusal.Kind).To(Equal(errkind.Draining))
			})
		})
	}
}
