package hostsync

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// answered plays calls whose answers take the given times, and returns how many of them arrive
// within the time allowed.
func answered(t *callTimeout, durations ...time.Duration) int {
	count := 0
	for _, d := range durations {
		if d > t.next() {
			t.failed()
			continue
		}
		t.succeeded(d)
		count++
	}
	return count
}

// The load is that of a link that fills within some seconds: the answers take longer and longer.
func TestCallsOutlastACongestedLink(t *testing.T) {
	g := NewWithT(t)
	var growing []time.Duration
	for d := 20 * time.Millisecond; d < 1800*time.Millisecond; d = d * 3 / 2 {
		growing = append(growing, d)
	}
	g.Expect(answered(&callTimeout{}, growing...)).To(Equal(len(growing)))
	sudden := []time.Duration{20, 1500, 1500, 1500, 1500}
	for i := range sudden {
		sudden[i] *= time.Millisecond
	}
	g.Expect(answered(&callTimeout{}, sudden...)).To(Equal(3), "two calls are given up")
}

func TestCallTimeoutIsShortAfterQuickAnswers(t *testing.T) {
	g := NewWithT(t)
	c := &callTimeout{}
	g.Expect(answered(c, 1500*time.Millisecond)).To(BeZero())
	g.Expect(c.next()).To(Equal(2 * minCallTimeout))
	c.succeeded(1500 * time.Millisecond)
	g.Expect(c.next()).To(Equal(maxCallTimeout))
	for range 20 {
		c.succeeded(10 * time.Millisecond)
	}
	g.Expect(c.next()).To(Equal(minCallTimeout))
	for range 100 {
		c.failed()
	}
	g.Expect(c.next()).To(Equal(maxCallTimeout))
}
