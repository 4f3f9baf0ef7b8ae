package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/prepaid"
)

// The last event of a stream is charged in full. When it was charged only for the tokens
// left, a fault-injection run with 5 tokens per event overspent a budget by 720 tokens.
func TestLastEventChargedInFull(t *testing.T) {
	g := NewWithT(t)
	c := tokenCost{input: 100, output: 37, tokensPerEvent: 5}
	g.Expect(c.worstCase()).To(Equal(int64(140)))
	g.Expect(c.charge(8)).To(Equal(int64(140)))
	g.Expect(c.charge(0)).To(Equal(int64(100)))
	g.Expect(tokenCost{input: 100, output: 40, tokensPerEvent: 5}.worstCase()).To(Equal(int64(140)))
	g.Expect(tokenCost{input: 100, tokensPerEvent: 5}.worstCase()).To(Equal(int64(100)))
}

// Checks the pause or retry time of a request that lacks tokens, by the state of the
// reserve and of the control group.
func TestNextTokenAttempt(t *testing.T) {
	const timeLeft = 500 * time.Millisecond
	for name, test := range map[string]struct {
		decision         prepaid.Decision
		controlReachable bool
		borrows          bool
		holderWait       time.Duration
		tries            int
		timeLeft         time.Duration
		pause, retry     time.Duration
	}{
		"others give back":                 {controlReachable: true, timeLeft: timeLeft, pause: tokenRetryInterval},
		"others gave nothing back in time": {controlReachable: true, retry: tokenRetryAfter},
		"the reserve opens in time": {
			decision: prepaid.Decision{ReserveOpensIn: 300 * time.Millisecond}, timeLeft: timeLeft, pause: 300 * time.Millisecond,
		},
		"the reserve is being opened": {timeLeft: timeLeft, pause: tokenRetryInterval},
		"the reserve opens too late": {
			decision: prepaid.Decision{ReserveOpensIn: 600 * time.Millisecond}, timeLeft: timeLeft, retry: controlUnreachableRetryAfter,
		},
		"the envelope covers it in time": {
			decision: prepaid.Decision{ReserveOpen: true, AllowedIn: 400 * time.Millisecond}, timeLeft: timeLeft,
			pause: 400 * time.Millisecond,
		},
		"the envelope covers it later": {
			decision: prepaid.Decision{ReserveOpen: true, AllowedIn: 2 * time.Second}, timeLeft: timeLeft, retry: 2 * time.Second,
		},
		"the tokens are gone":              {decision: prepaid.Decision{ReserveOpen: true}, timeLeft: timeLeft, retry: controlUnreachableRetryAfter},
		"borrower, connected":              {controlReachable: true, borrows: true, tries: 2, timeLeft: timeLeft, pause: 4 * tokenRetryInterval},
		"borrower, many attempts":          {controlReachable: true, borrows: true, tries: 60, timeLeft: timeLeft, pause: 8 * tokenRetryInterval},
		"borrower, a holder may send soon": {borrows: true, holderWait: 300 * time.Millisecond, timeLeft: timeLeft, pause: 300 * time.Millisecond},
		"borrower, a holder may send late": {borrows: true, holderWait: 2 * time.Second, timeLeft: timeLeft, retry: 2 * time.Second},
		"borrower, no holder has enough":   {borrows: true, timeLeft: timeLeft, retry: controlUnreachableRetryAfter},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			search := &tokenSearch{controlReachable: test.controlReachable, borrows: test.borrows, holderWait: test.holderWait}
			pause, retry := search.nextAttempt(&test.decision, test.tries, test.timeLeft)
			g.Expect(pause).To(Equal(test.pause))
			g.Expect(retry).To(Equal(test.retry))
		})
	}
}
