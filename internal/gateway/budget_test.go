package gateway

import (
	"testing"

	. "github.com/onsi/gomega"
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
