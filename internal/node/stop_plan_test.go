package node

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a stop that leaves no time to report the tokens that are free, so that the process is killed before it.
func TestStopLearnedOfAtOnceReturnsItsTokensBeforeTheKill(t *testing.T) {
	now := time.Now()
	for _, timeout := range []time.Duration{8 * time.Second, 6 * time.Second, 5 * time.Second, 3 * time.Second, 1500 * time.Millisecond, time.Second} {
		t.Run(timeout.String(), func(t *testing.T) {
			plan := planStop(now, now, timeout)
			g := NewWithT(t)
			g.Expect(plan.Answer.Sub(now)).To(BeNumerically("<=", timeout-exitMargin-sessionCloseTime))
			g.Expect(plan.End.Sub(now)).To(Equal(timeout - exitMargin))
		})
	}
}
