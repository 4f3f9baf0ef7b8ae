package timing_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/timing"
)

func TestSleepStopsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		startTime := time.Now()
		g.Expect(timing.Sleep(ctx, 400*time.Millisecond)).To(BeTrue())
		g.Expect(timing.Sleep(ctx, time.Hour)).To(BeFalse())
		g.Expect(time.Since(startTime)).To(Equal(time.Second))
		g.Expect(timing.Sleep(ctx, 0)).To(BeFalse())
	})
}

func TestEveryUntilStopsOnFalse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		startTime := time.Now()
		calls := 0
		timing.EveryUntil(context.Background(), time.Second, func() bool {
			calls++
			return calls < 3
		})
		g.Expect(calls).To(Equal(3))
		g.Expect(time.Since(startTime)).To(Equal(3 * time.Second))
	})
}
