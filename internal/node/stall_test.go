package node

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against timing a stop from when a stalled process runs again.
func TestSignalMayHaveBeenSentBeforeTheProcessStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newStallDetector()
		time.Sleep(stallCheckInterval)
		d.check()
		ran := time.Now()
		g.Expect(d.ranBeforeSignal()).To(Equal(ran))
		time.Sleep(time.Second)
		d.check()
		time.Sleep(stallCheckInterval / 4)
		d.check()
		g.Expect(d.ranBeforeSignal()).To(Equal(ran))
		time.Sleep(3 * stallCheckInterval)
		d.check()
		g.Expect(d.ranBeforeSignal()).To(Equal(ran), "another stall follows")
		time.Sleep(catchUpTime)
		d.check()
		g.Expect(d.ranBeforeSignal()).To(BeTemporally(">", ran.Add(time.Second)), "it has learned of all signals since")
	})
}
