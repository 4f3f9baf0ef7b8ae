package prepaid

import (
	"testing"

	. "github.com/onsi/gomega"
)

// lendersWith returns lenders with free tokens, each of which lends what it is asked for in full
// or nothing.
func lendersWith(free ...int64) ([]int64, func(int, int64, int64) (int64, int64)) {
	return free, func(i int, need, want int64) (int64, int64) {
		tokens := min(want, free[i])
		if free[i] < need {
			tokens = 0
		}
		free[i] -= tokens
		return tokens, free[i]
	}
}

func TestBorrowTakesTheWholeOrPartsThatAddUp(t *testing.T) {
	g := NewWithT(t)
	free, ask := lendersWith(50, 200, 300)
	g.Expect(Borrow(3, 100, 120, ask)).To(BeTrue())
	g.Expect(free).To(Equal([]int64{50, 80, 300}), "the first that has the whole lends it")
	free, ask = lendersWith(50, 0, 60)
	g.Expect(Borrow(3, 100, 120, ask)).To(BeTrue())
	g.Expect(free).To(Equal([]int64{0, 0, 10}), "parts that add up")
	free, ask = lendersWith(50, 0, 40)
	g.Expect(Borrow(3, 100, 120, ask)).To(BeFalse())
	g.Expect(free).To(Equal([]int64{50, 0, 40}), "parts that do not stay where they are")
}
