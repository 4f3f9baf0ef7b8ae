package standby

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

func beginRequest(id string, tokens int64) *controlapi.BeginRequest {
	return &controlapi.BeginRequest{
		RequestID: id, Budget: "b", BodyHash: "h", Session: "s", Tokens: tokens, Repeatable: true,
	}
}

func grantStatus(outstanding, returned int64) []controlapi.GrantStatus {
	return []controlapi.GrantStatus{{Session: "s", Budget: "b", Outstanding: outstanding, Returned: returned}}
}

func TestNonRepeatableRequestNeedsControlGroup(t *testing.T) {
	g := NewWithT(t)
	l := newLedger("s")
	l.refresh(0, grantStatus(100, 0))
	b := beginRequest("r", 10)
	b.Repeatable = false
	_, err := l.begin(b)
	g.Expect(errkind.Is(err, errkind.ControlUnavailable)).To(BeTrue())
}

func TestSettledRequestIsChargedOnce(t *testing.T) {
	g := NewWithT(t)
	l := newLedger("s")
	l.refresh(0, grantStatus(100, 0))
	_, err := l.begin(beginRequest("r", 60))
	g.Expect(err).NotTo(HaveOccurred())
	l.settle("r", 30, false)
	reply, err := l.begin(beginRequest("r", 60))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Status).To(Equal(controlapi.BeginSettled))
	g.Expect(l.available("b")).To(Equal(int64(70)))
}

// In any order of begins, settlements, merges and returns, the tokens that a ledger has
// charged, reserved and returned never exceed its grant.
func TestLedgerStaysWithinGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		const granted = 1000
		l := newLedger("s")
		l.refresh(0, grantStatus(granted, 0))
		var charged, returned int64
		var merged uint64
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint("r", i)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				_, _ = l.begin(beginRequest(id, rapid.Int64Range(0, 300).Draw(t, "tokens")))
			case 2:
				for requestID := range l.inFlight {
					charged += l.settle(requestID, rapid.Int64Range(0, 400).Draw(t, "used"), false).Tokens
					break
				}
			case 3:
				returned, _ = l.prepareReturn("b", rapid.Int64Range(0, 300).Draw(t, "back"))
			case 4:
				merged = l.lastSequence
				l.refresh(merged, grantStatus(granted-charged-returned, returned))
			}
			var reserved int64
			for _, r := range l.inFlight {
				reserved += r.begin.Tokens
			}
			g.Expect(charged + reserved + returned).To(BeNumerically("<=", granted))
			g.Expect(l.available("b")).To(BeNumerically(">=", 0))
		}
	})
}

func TestGrantTargetShrinksWithBudget(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	d := &demand{}
	for range 30 {
		now = now.Add(time.Second)
		d.record(100, now)
	}
	full := d.target(1_000_000, 20*time.Second, now)
	g.Expect(full).To(BeNumerically(">=", 100))
	g.Expect(d.target(50_000, 20*time.Second, now)).To(BeNumerically("<=", 50_000/grantShareDivisor))
	g.Expect(d.target(1000, 20*time.Second, now)).To(BeZero(), "a grant below the largest reservation is not held")
	g.Expect(d.target(1_000_000, 20*time.Second, now.Add(time.Hour))).To(BeZero(), "no demand")
}
