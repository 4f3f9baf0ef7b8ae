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

func TestGateHandsAPlaceOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := NewGate(Settings{}, func(string) Places { return alone(1) }, nil)
		release, err := gate.Acquire(t.Context(), ticket("c", 1, "o", time.Now(), time.Minute))
		g.Expect(err).NotTo(HaveOccurred())
		got := make(chan error)
		go func() {
			second, err := gate.Acquire(t.Context(), ticket("c", 1, "o", time.Now(), time.Minute))
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
		time.Sleep(2 * pumpInterval)
	})
}

func TestGateGrantsWhenPlacesAppear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var places atomic.Int64
		places.Store(1)
		gate := NewGate(Settings{}, func(string) Places { return alone(int(places.Load())) }, nil)
		_, err := gate.Acquire(t.Context(), ticket("c", 1, "o", time.Now(), time.Minute))
		g.Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(time.Second, func() { places.Store(2) })
		_, err = gate.Acquire(t.Context(), ticket("c", 1, "o", time.Now(), time.Minute))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(2 * pumpInterval)
	})
}

func TestGateRefusesAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := NewGate(Settings{}, func(string) Places { return alone(1) }, nil)
		_, err := gate.Acquire(t.Context(), ticket("c", 1, "o", time.Now(), time.Minute))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = gate.Acquire(t.Context(), ticket("c", 1, "o", time.Now(), time.Second))
		g.Expect(errkind.Is(err, errkind.DeadlineUnmet)).To(BeTrue())
		time.Sleep(2 * pumpInterval)
	})
}

func TestGateForgetsACallerThatLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := NewGate(Settings{}, func(string) Places { return alone(1) }, nil)
		_, err := gate.Acquire(t.Context(), ticket("c", 1, "o", time.Now(), time.Minute))
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = gate.Acquire(ctx, ticket("c", 1, "o", time.Now(), time.Minute))
		g.Expect(err).To(HaveOccurred())
		g.Expect(gate.Waiting("m")).To(BeZero())
		time.Sleep(2 * pumpInterval)
	})
}

func TestPlacesLeaveOutWhatOthersUse(t *testing.T) {
	g := NewWithT(t)
	r := registry.New(0)
	report := announce.Announcement{
		ID: "e", Incarnation: 1, Sequence: 1, Capacity: 8, InFlight: 5, Queued: 1, State: announce.StateServing,
		Services: []announce.ServiceOffer{{Name: "m"}},
	}
	r.Apply(report, start)
	c := NewCapacity(r, func() int { return 4 }, func() time.Time { return start })
	g.Expect(c.Of("m")).To(Equal(Places{Total: 8, Free: 2, Share: 2}))
	g.Expect(c.Of("other")).To(Equal(Places{}))
	p := Places{Total: 80, Free: 20, Share: 10}
	g.Expect(p.limit()).To(Equal(20))
	g.Expect(p.limitLess(8)).To(Equal(12))
	g.Expect(Places{Total: 80, Free: 0, Share: 10}.limitLess(8)).To(Equal(9))
}

func BenchmarkArriveAndFinish(b *testing.B) {
	q := NewQueue(Settings{})
	now := start
	for i := range 1000 {
		q.Arrive(ID(i+1), ticket(fmt.Sprint(i%3), i%3, "o", now, time.Hour), now, alone(80))
	}
	b.ReportAllocs()
	id := ID(1000)
	for b.Loop() {
		id++
		now = now.Add(time.Millisecond)
		q.Arrive(id, ticket("1", 1, "o", now, time.Hour), now, alone(80))
		q.Finish(id-1000, now)
		q.Step(now, alone(80))
	}
}
