package budget_test

import (
	"flag"
	"math"
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/godwitbend/godwitbend/internal/budget"
)

// TestMain sets a fixed seed for the property tests unless the command line gives one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// drawTokens draws small amounts and amounts whose sums overflow.
func drawTokens(t *rapid.T, label string) int64 {
	limits := []int64{-1, budget.MaxTokens, budget.MaxTokens + 1, math.MaxInt64, math.MinInt64}
	return rapid.OneOf(rapid.Int64Range(0, 100), rapid.SampledFrom(limits)).Draw(t, label)
}

func TestOperationsKeepInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		b := &budget.Budget{}
		operations := []func(x, y int64) error{
			func(x, _ int64) error { return b.TopUp(x) },
			func(x, _ int64) error { return b.Reserve(x) },
			func(x, _ int64) error { return b.Grant(x) },
			func(x, _ int64) error { return b.Release(x) },
			b.Settle,
			b.EndGrant,
		}
		for range 50 {
			before := b.State()
			err := rapid.SampledFrom(operations).Draw(t, "operation")(drawTokens(t, "x"), drawTokens(t, "y"))
			g.Expect(b.Check()).To(Succeed())
			if err != nil {
				g.Expect(b.State()).To(Equal(before))
			}
			restored, err := budget.FromState(b.State())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(restored.State()).To(Equal(b.State()))
		}
	})
}

func TestFromStateRejectsInvalidState(t *testing.T) {
	g := NewWithT(t)
	for _, s := range []budget.State{{Charged: 1}, {PaidIn: -1}, {PaidIn: 5, Reserved: 3, Granted: 3}, {PaidIn: math.MaxInt64}} {
		_, err := budget.FromState(s)
		g.Expect(err).To(HaveOccurred())
	}
}
