package node

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against requests that are taken too late, and cut by a kill, where the process learns of its stop late.
func TestStopThatIsLearnedOfLateIsTimedFromItsSignal(t *testing.T) {
	const timeout = 8 * time.Second
	now := time.Now()
	for name, test := range map[string]struct{ late, refuse, answer, end time.Duration }{
		"at once":            {0, 2500 * time.Millisecond, 7 * time.Second, 7200 * time.Millisecond},
		"0.4 s late":         {400 * time.Millisecond, 2100 * time.Millisecond, 7 * time.Second, 7200 * time.Millisecond},
		"1 s late":           {time.Second, 1500 * time.Millisecond, 6500 * time.Millisecond, 6700 * time.Millisecond},
		"later than refused": {3 * time.Second, -500 * time.Millisecond, 4500 * time.Millisecond, 4700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(planStop(now.Add(-test.late), now, timeout)).To(Equal(stopPlan{
				refuse: now.Add(test.refuse), answer: now.Add(test.answer), end: now.Add(test.end),
			}))
		})
	}
}

// Guards against timing a stop from when a process that was held up runs again.
func TestSignalMayHaveBeenSentBeforeTheProcessWasHeldUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPulse()
		time.Sleep(pulseInterval)
		p.beat()
		ran := time.Now()
		g.Expect(p.signalSentAfter()).To(Equal(ran))
		time.Sleep(time.Second)
		p.beat()
		time.Sleep(pulseInterval / 4)
		p.beat()
		g.Expect(p.signalSentAfter()).To(Equal(ran))
		time.Sleep(3 * pulseInterval)
		p.beat()
		g.Expect(p.signalSentAfter()).To(Equal(ran), "another hold-up follows")
		time.Sleep(catchUpTime)
		p.beat()
		g.Expect(p.signalSentAfter()).To(BeTemporally(">", ran.Add(time.Second)), "it has learned of all signals since")
	})
}
