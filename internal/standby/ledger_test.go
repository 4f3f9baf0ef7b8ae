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

func beginOf(id string, tokens int64) *controlapi.BeginRequest {
	return &controlapi.BeginRequest{
		RequestID: id, Budget: "b", BodyHash: "h", Session: "s", Tokens: tokens, Repeatable: true,
	}
}

func grantOf(outstanding, returned int64) []controlapi.GrantStatus {
	return []controlapi.GrantStatus{{Session: "s", Budget: "b", Outstanding: outstanding, Returned: returned}}
}

func TestRequestThatMayNotBeRepeatedIsNeverBegunFromAGrant(t *testing.T) {
	g := NewWithT(t)
	l := newLedger("s")
	l.refresh(0, grantOf(100, 0))
	b := beginOf("r", 10)
	b.Repeatable = false
	_, err := l.begin(b)
	g.Expect(errkind.Is(err, errkind.ControlUnavailable)).To(BeTrue())
}

func TestSettledRequestIsNotChargedAgain(t *testing.T) {
	g := NewWithT(t)
	l := newLedger("s")
	l.refresh(0, grantOf(100, 0))
	_, err := l.begin(beginOf("r", 60))
	g.Expect(err).NotTo(HaveOccurred())
	l.settle("r", 30, false)
	reply, err := l.begin(beginOf("r", 60))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Status).To(Equal(controlapi.BeginSettled))
	g.Expect(l.available("b")).To(Equal(int64(70)))
}

// Whatever the order of begins, settlements, releases, merges and returns, a
// ledger never spends and returns more than it was granted.
func TestLedgerNeverSpendsMoreThanItsGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		const granted = 1000
		l := newLedger("s")
		l.refresh(0, grantOf(granted, 0))
		var charged, returned int64
		var merged uint64
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint("r", i)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				_, _ = l.begin(beginOf(id, rapid.Int64Range(0, 300).Draw(t, "tokens")))
			case 2:
				for open := range l.open {
					charged += l.settle(open, rapid.Int64Range(0, 400).Draw(t, "used"), false).Tokens
					break
				}
			case 3:
				returned, _ = l.giveBack("b", rapid.Int64Range(0, 300).Draw(t, "back"))
			case 4:
				merged = l.sequence
				l.refresh(merged, grantOf(granted-charged-returned, returned))
			}
			var reserved int64
			for _, o := range l.open {
				reserved += o.begin.Tokens
			}
			g.Expect(charged + reserved + returned).To(BeNumerically("<=", granted))
			g.Expect(l.available("b")).To(BeNumerically(">=", 0))
		}
	})
}

func TestGrantShrinksAsABudgetRunsLow(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	d := &demand{}
	for range 30 {
		now = now.Add(time.Second)
		d.note(100, now)
	}
	full := d.target(1_000_000, 20*time.Second, now)
	g.Expect(full).To(BeNumerically(">=", 100))
	g.Expect(d.target(50_000, 20*time.Second, now)).To(BeNumerically("<=", 50_000/shareDivisor))
	g.Expect(d.target(1000, 20*time.Second, now)).To(BeZero(), "less than one request is of no use")
	g.Expect(d.target(1_000_000, 20*time.Second, now.Add(time.Hour))).To(BeZero(), "no demand")
}
