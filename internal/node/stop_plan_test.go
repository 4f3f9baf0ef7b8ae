package node

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a stop that leaves no time for the last report, so that the process is killed before it.
func TestStopLearnedOfAtOnceEndsBeforeTheLastReport(t *testing.T) {
	now := time.Now()
	for _, timeout := range []time.Duration{8 * time.Second, 6 * time.Second, 5 * time.Second, 3 * time.Second, 1500 * time.Millisecond, time.Second} {
		t.Run(timeout.String(), func(t *testing.T) {
			plan := planStop(now, now, timeout)
			g := NewWithT(t)
			g.Expect(plan.end.Sub(now)).To(BeNumerically("<=", timeout-exitMargin-sessionCloseTime))
		})
	}
}
