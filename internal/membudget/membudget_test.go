package membudget_test

import (
	"errors"
	"io"
	"math/rand/v2"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/membudget"
)

const (
	size      = 1000
	largest   = 400
	allowance = 10
)

var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func TestHoldsShareTheBudget(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(size, largest, allowance)
	first, second, third := b.Hold(), b.Hold(), b.Hold()
	g.Expect(first.Resize(closed, largest+allowance)).To(Succeed())
	g.Expect(second.Resize(closed, largest+allowance)).To(Succeed())
	g.Expect(third.Resize(closed, allowance)).To(Succeed(), "the allowance doesn't count")
	g.Expect(third.Resize(closed, allowance+200)).To(Succeed())
	g.Expect(third.Resize(closed, allowance+201)).To(MatchError(membudget.ErrCancelled), "nothing is left")
	g.Expect(third.Waited()).To(BeTrue())
	g.Expect(first.Waited()).To(BeFalse())
	g.Expect(first.Resize(closed, largest+allowance+1)).To(MatchError(membudget.ErrTooLarge))
	g.Expect(first.Resize(closed, 0)).To(Succeed())
	g.Expect(third.Resize(closed, allowance+largest)).To(Succeed())
}

func TestHoldLargerThanTheBudgetIsRefused(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(size, 2*size, 0)
	h := b.Hold()
	g.Expect(h.Resize(nil, size+1)).To(MatchError(membudget.ErrTooLarge))
	g.Expect(h.Resize(nil, size)).To(Succeed())
}

// Guards against holds that each wait for what the others have.
func TestGrowingHoldsDoNotDeadlock(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 0))
			b := membudget.New(size, largest, allowance)
			ended := time.After(time.Hour)
			cancelled := make(chan struct{})
			go func() { <-ended; close(cancelled) }()
			var inUse, most atomic.Int64
			var holds sync.WaitGroup
			for range 40 {
				step, pause := 1+random.Int64N(150), time.Duration(random.IntN(10))*time.Millisecond
				holds.Go(func() {
					h := b.Hold()
					held := int64(0)
					for next := int64(0); next < largest; {
						next = min(next+step, largest)
						g.Expect(h.Resize(cancelled, allowance+next)).To(Succeed())
						most.Store(max(most.Load(), inUse.Add(next-held)))
						held = next
						time.Sleep(pause)
					}
					inUse.Add(-held)
					g.Expect(h.Resize(cancelled, 0)).To(Succeed())
				})
			}
			holds.Wait()
			g.Expect(most.Load()).To(BeNumerically("<=", size))
			g.Expect(b.Hold().Resize(closed, allowance+largest)).To(Succeed(), "all was returned")
			time.Sleep(2 * time.Hour) // the timer has to end
		})
	}
}

func TestWaitEndsWhenMemoryBecomesFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := membudget.New(size, size, 0)
		first, second := b.Hold(), b.Hold()
		g.Expect(first.Resize(nil, size)).To(Succeed())
		go func() {
			time.Sleep(time.Second)
			_ = first.Resize(nil, 0)
		}()
		started := time.Now()
		g.Expect(second.Resize(nil, 1)).To(Succeed())
		g.Expect(time.Since(started)).To(Equal(time.Second))
	})
}

func TestReadAll(t *testing.T) {
	const limit = 100_000
	for name, test := range map[string]struct{ length, read, declared int }{
		"empty": {0, 0, -1}, "short": {10, 10, -1}, "at the limit": {limit, limit, -1}, "too long": {3 * limit, limit + 1, -1},
		"declared": {90_000, 90_000, 90_000}, "declared and short": {50, 50, 50}, "shorter than declared": {50, 50, 90_000}, "declared shorter than it is": {90_000, 90_000, 70_000}, "declared too long": {3 * limit, limit + 1, 3 * limit},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := membudget.New(2*limit, 2*limit, 0)
			text := strings.Repeat("0123456789", test.length/10)
			data, err := b.Hold().ReadAll(nil, iotest.HalfReader(strings.NewReader(text)), 0, int64(test.declared), limit)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(data) == text[:test.read]).To(BeTrue())
			g.Expect(cap(data)).To(BeNumerically("<=", limit+1))
		})
	}
	g := NewWithT(t)
	broken := errors.New("broken")
	_, err := membudget.New(size, size, size).Hold().ReadAll(nil, io.MultiReader(strings.NewReader("x"), iotest.ErrReader(broken)), 0, -1, size)
	g.Expect(err).To(MatchError(broken))
	_, err = membudget.New(size, size, 0).Hold().ReadAll(nil, strings.NewReader("x"), 0, -1, limit)
	g.Expect(err).To(MatchError(membudget.ErrTooLarge))
}

func TestShareFollowsTheMemoryLimitOfTheProcess(t *testing.T) {
	g := NewWithT(t)
	limit := debug.SetMemoryLimit(120 << 20)
	defer debug.SetMemoryLimit(limit)
	g.Expect(membudget.ProcessShare()).To(BeEquivalentTo(20 << 20))
}
