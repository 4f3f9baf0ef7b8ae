package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/prepaid"
)

// The last event of a stream counts in full. Found by a hunted day
// (carvalho-numera, hunt-6db1-3): 5 tokens an event, 720 tokens overspent.
func TestLastEventCountsInFull(t *testing.T) {
	g := NewWithT(t)
	c := tokenCost{input: 100, output: 37, perEvent: 5}
	g.Expect(c.worst()).To(Equal(int64(140)))
	g.Expect(c.used(8)).To(Equal(int64(140)))
	g.Expect(c.used(0)).To(Equal(int64(100)))
	g.Expect(tokenCost{input: 100, output: 40, perEvent: 5}.worst()).To(Equal(int64(140)))
	g.Expect(tokenCost{input: 100, perEvent: 5}.worst()).To(Equal(int64(100)))
}

// What a request that is short of tokens does next, by what is known of them.
func TestNextTryForTokens(t *testing.T) {
	const patience = 500 * time.Millisecond
	for name, test := range map[string]struct {
		decision     prepaid.Decision
		inTouch      bool
		patience     time.Duration
		pause, retry time.Duration
	}{
		"others give back":                 {inTouch: true, patience: patience, pause: tokensPause},
		"others gave nothing back in time": {inTouch: true, retry: tokensRetry},
		"the reserve opens in time": {
			decision: prepaid.Decision{ReserveOpensIn: 300 * time.Millisecond}, patience: patience, pause: 300 * time.Millisecond,
		},
		"the reserve is being opened": {patience: patience, pause: tokensPause},
		"the reserve opens too late": {
			decision: prepaid.Decision{ReserveOpensIn: 600 * time.Millisecond}, patience: patience, retry: cutOffRetry,
		},
		"the envelope covers it in time": {
			decision: prepaid.Decision{ReserveOpen: true, AllowedIn: 400 * time.Millisecond}, patience: patience,
			pause: 400 * time.Millisecond,
		},
		"the envelope covers it later": {
			decision: prepaid.Decision{ReserveOpen: true, AllowedIn: 2 * time.Second}, patience: patience, retry: 2 * time.Second,
		},
		"the tokens are gone": {decision: prepaid.Decision{ReserveOpen: true}, patience: patience, retry: cutOffRetry},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			pause, retry := nextTry(&test.decision, test.inTouch, test.patience)
			g.Expect(pause).To(Equal(test.pause))
			g.Expect(retry).To(Equal(test.retry))
		})
	}
}
