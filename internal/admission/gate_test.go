package admission

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/registry"
)

func TestGatePassesReleasedSlotToWaiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := NewGate(Settings{}, func(string) Slots { return soleHostSlots(1) }, nil)
		release, err := gate.Acquire(t.Context(), newTicket("c", 1, "o", time.Now(), time.Minute))
		g.Expect(err).NotTo(HaveOccurred())
		got := make(chan error)
		go func() {
			second, err := gate.Acquire(t.Context(), newTicket("c", 1, "o", time.Now(), time.Minute))
			if err == nil {
				second()
			}
			got <- err
		}()
		synctest.Wait()
		g.Expect(gate.Waiting("m")).To(Equal(1))
		release()
		g.Expect(<-got).NotTo(HaveOccurred())
		g.Expect(gate.Waiting("m")).To(BeZero())
		time.Sleep(2 * pollInterval)
	})
}

func TestGateGrantsWhenSlotsAppear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var slots atomic.Int64
		slots.Store(1)
		gate := NewGate(Settings{}, func(string) Slots { return soleHostSlots(int(slots.Load())) }, nil)
		_, err := gate.Acquire(t.Context(), newTicket("c", 1, "o", time.Now(), time.Minute))
		g.Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(time.Second, func() { slots.Store(2) })
		_, err = gate.Acquire(t.Context(), newTicket("c", 1, "o", time.Now(), time.Minute))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(2 * pollInterval)
	})
}

func TestGateRefusesAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := NewGate(Settings{}, func(string) Slots { return soleHostSlots(1) }, nil)
		_, err := gate.Acquire(t.Context(), newTicket("c", 1, "o", time.Now(), time.Minute))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = gate.Acquire(t.Context(), newTicket("c", 1, "o", time.Now(), time.Second))
		g.Expect(errkind.Is(err, errkind.DeadlineUnmet)).To(BeTrue())
		time.Sleep(2 * pollInterval)
	})
}

func TestGateDropsCancelledWaiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := NewGate(Settings{}, func(string) Slots { return soleHostSlots(1) }, nil)
		_, err := gate.Acquire(t.Context(), newTicket("c", 1, "o", time.Now(), time.Minute))
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = gate.Acquire(ctx, newTicket("c", 1, "o", time.Now(), time.Minute))
		g.Expect(err).To(HaveOccurred())
		g.Expect(gate.Waiting("m")).To(BeZero())
		time.Sleep(2 * pollInterval)
	})
}

func TestSlotsExcludeUseByOtherHosts(t *testing.T) {
	g := NewWithT(t)
	r := registry.New(0)
	report := announce.Announcement{
		ID: "e", Incarnation: 1, Sequence: 1, Capacity: 8, InFlight: 5, Queued: 1, State: announce.StateServing,
		Services: []announce.ServiceOffer{{Name: "m"}},
	}
	r.Apply(report, startTime)
	c := NewCapacity(r, func() int { return 4 }, func() time.Time { return startTime })
	g.Expect(c.Slots("m")).To(Equal(Slots{Total: 8, Free: 2, Share: 2}))
	g.Expect(c.Slots("other")).To(Equal(Slots{}))
	s := Slots{Total: 80, Free: 20, Share: 10}
	g.Expect(s.hostLimit()).To(Equal(20))
	g.Expect(s.hostLimitBesideReserve(8)).To(Equal(12))
	g.Expect(Slots{Total: 80, Free: 0, Share: 10}.hostLimitBesideReserve(8)).To(Equal(9))
}

func BenchmarkEnqueueAndRelease(b *testing.B) {
	q := NewQueue(Settings{})
	now := startTime
	for i := range 1000 {
		q.Enqueue(ID(i+1), newTicket(fmt.Sprint(i%3), i%3, "o", now, time.Hour), now, soleHostSlots(80))
	}
	b.ReportAllocs()
	id := ID(1000)
	for b.Loop() {
		id++
		now = now.Add(time.Millisecond)
		q.Enqueue(id, newTicket("1", 1, "o", now, time.Hour), now, soleHostSlots(80))
		q.Release(id-1000, now)
		q.Dispatch(now, soleHostSlots(80))
	}
}
