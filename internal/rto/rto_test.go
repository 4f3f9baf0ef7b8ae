package rto_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/rto"
)

const (
	minimum = 250 * time.Millisecond
	maximum = time.Second
)

// succeeded plays operations of the given durations, and returns how many end before their
// timeouts.
func succeeded(e *rto.Estimator, durations ...time.Duration) int {
	count := 0
	for _, d := range durations {
		if d > e.Timeout() {
			e.TimedOut()
			continue
		}
		e.Succeeded(d)
		count++
	}
	return count
}

// The load is that of a link that fills within some seconds: the answers take longer and longer.
func TestOperationsOutlastACongestedLink(t *testing.T) {
	g := NewWithT(t)
	var growing []time.Duration
	for d := 5 * time.Millisecond; d < maximum; d = d * 3 / 2 {
		growing = append(growing, d)
	}
	g.Expect(succeeded(rto.NewEstimator(minimum, maximum), growing...)).To(Equal(len(growing)))
	const slow = 800 * time.Millisecond
	g.Expect(succeeded(rto.NewEstimator(minimum, maximum), slow, slow, slow, slow)).To(Equal(2), "two are given up")
}

func TestTimeoutIsShortAfterQuickOperations(t *testing.T) {
	g := NewWithT(t)
	e := rto.NewEstimator(minimum, maximum)
	g.Expect(e.Timeout()).To(Equal(minimum))
	e.TimedOut()
	g.Expect(e.Timeout()).To(Equal(2 * minimum))
	for range 100 {
		e.TimedOut()
	}
	g.Expect(e.Timeout()).To(Equal(maximum))
	e.Succeeded(time.Millisecond)
	g.Expect(e.Timeout()).To(Equal(minimum), "one success suffices: what timed out was the other side")
	e.Succeeded(200 * time.Millisecond)
	g.Expect(e.Timeout()).To(Equal(600 * time.Millisecond))
	for range 20 {
		e.Succeeded(time.Millisecond)
	}
	g.Expect(e.Timeout()).To(Equal(minimum))
}
