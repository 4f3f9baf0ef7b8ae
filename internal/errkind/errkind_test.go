package errkind_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

func TestEveryKindHasAnAnswer(t *testing.T) {
	g := NewWithT(t)
	for _, k := range errkind.Kinds() {
		row := errkind.Lookup(k)
		g.Expect(row.Status).To(BeNumerically(">=", 400), string(k))
		g.Expect(row.Outcome).NotTo(BeEmpty(), string(k))
	}
}

func TestRetryAfterLeavesTheOriginalAlone(t *testing.T) {
	g := NewWithT(t)
	first := errkind.New(errkind.Overloaded, "queue full")
	second := first.WithRetryAfter(2 * time.Second)
	g.Expect(first.RetryAfterMS).To(BeZero())
	g.Expect(second.RetryAfterMS).To(Equal(int64(2000)))
	g.Expect(second.Outcome()).To(Equal(errkind.NotRun))
}
