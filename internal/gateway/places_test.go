package gateway

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/presence"
)

// newWaitingHandler returns a handler with one upstream of a slot, which is full with three requests.
func newWaitingHandler(orderByValue bool) *Handler {
	pool := placement.NewPool("a")
	pool.Update([]presence.Record{{Upstream: presence.Upstream{ID: "u", Address: "u", Service: "s", Zone: "a", State: presence.Ready, StartedMS: 1, Slots: 1}}})
	h := &Handler{Options: Options{Pool: pool, Scope: tally.NewTestScope("", nil)}}
	if orderByValue {
		h.places = newPlaces(pool, h.Scope)
	}
	return h
}

// plainTestRequest returns a request with a latency objective of 200 ms and a deadline of a second.
func plainTestRequest(h *Handler, rank int) *request {
	return &request{
		Call: &Call{}, handler: h, ctx: context.Background(), arrived: time.Now(), deadline: time.Now().Add(time.Second), serviceName: "s",
		route: &catalog.Route{Rank: rank, LatencyObjective: 200 * time.Millisecond},
	}
}

// occupy sends requests to the upstream until it is full, and returns the attempts.
func occupy(g *WithT, h *Handler) (attempts []*attempt) {
	for range plainInFlightPerSlot {
		q := plainTestRequest(h, 0)
		a, refusal := q.chooseUpstream("s")
		g.Expect(refusal).To(BeNil())
		attempts = append(attempts, &attempt{request: q, target: a, sentAt: time.Now()})
	}
	return attempts
}

// chosen is the result of chooseUpstream.
type chosen struct {
	name    string
	target  *placement.Assignment
	refusal *errkind.Error
	after   time.Duration
}

// chooseInBackground lets a request choose an upstream and sends the result.
func chooseInBackground(q *request, name string, results chan chosen) {
	go func() {
		from := time.Now()
		target, refusal := q.chooseUpstream("s")
		results <- chosen{name, target, refusal, time.Since(from)}
	}()
	synctest.Wait()
}

// Guards against requests that wait where the default order is in force.
func TestFullUpstreamRefusesAtOnceByDefault(t *testing.T) {
	g := NewWithT(t)
	h := newWaitingHandler(false)
	occupy(g, h)
	q := plainTestRequest(h, 0)
	_, refusal := q.chooseUpstream("s")
	g.Expect(refusal.Kind).To(Equal(errkind.Overloaded))
	g.Expect(refusal.RetryAfterMS).To(Equal(fullRetryAfter.Milliseconds()))
	g.Expect(q.logFields()).NotTo(ContainElement("share"))
}

// Guards against a free place that goes to another than the most urgent request, or to none.
func TestReleasedPlaceGoesToMostUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newWaitingHandler(true)
		running := occupy(g, h)
		results := make(chan chosen, 2)
		chooseInBackground(plainTestRequest(h, 1), "second", results)
		urgent := plainTestRequest(h, 0)
		chooseInBackground(urgent, "first", results)
		time.Sleep(20 * time.Millisecond)
		running[0].releasePlace(resultAnswered)
		first := <-results
		g.Expect(first.name).To(Equal("first"))
		g.Expect(first.target).NotTo(BeNil())
		g.Expect(first.after).To(Equal(20 * time.Millisecond))
		g.Expect(urgent.logFields()).To(ContainElements("queued_ms", int64(20)))
		synctest.Wait()
		g.Expect(results).To(BeEmpty())
		running[1].releasePlace(resultAnswered)
		g.Expect((<-results).target).NotTo(BeNil())
		counters := h.Scope.(tally.TestScope).Snapshot().Counters()
		g.Expect(counters["admission_waited+rank=0"].Value()).To(BeEquivalentTo(1))
		g.Expect(counters["admission_admitted+rank=1"].Value()).To(BeEquivalentTo(1))
	})
}

// Guards against waiting on although another host has freed its places.
func TestReportedLoadsFreePlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newWaitingHandler(true)
		others := map[uint32]placement.Load{placement.ShortID("u"): {InFlight: plainInFlightPerSlot}}
		h.Pool.ApplyControlLoads(others)
		<-h.Pool.LoadsReported()
		results := make(chan chosen, 1)
		chooseInBackground(plainTestRequest(h, 0), "", results)
		time.Sleep(50 * time.Millisecond)
		h.Pool.ApplyControlLoads(nil)
		synctest.Wait()
		got := <-results
		g.Expect(got.target).NotTo(BeNil())
		g.Expect(got.after).To(Equal(50 * time.Millisecond))
	})
}

// Guards against callers who are held although they cannot be served, and against a place that is lost with
// a caller who has left.
func TestWaitEndsWithDeadlineOrCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newWaitingHandler(true)
		occupy(g, h)
		results := make(chan chosen, 1)
		hopeless := plainTestRequest(h, 0)
		hopeless.deadline = time.Now().Add(initialServiceTime)
		chooseInBackground(hopeless, "", results)
		refused := <-results
		g.Expect(refused.refusal.Kind).To(Equal(errkind.DeadlineUnmet))
		g.Expect(refused.refusal.Outcome()).To(Equal(errkind.NotRun))
		g.Expect(refused.refusal.RetryAfterMS).To(BeNumerically(">=", fullRetryAfter.Milliseconds()))
		g.Expect(refused.after).To(BeZero())
		g.Expect(hopeless.logFields()).To(ContainElements("share", "predicted_start_ms", "slack_ms"))

		left := plainTestRequest(h, 0)
		ctx, cancel := context.WithCancel(context.Background())
		left.ctx = ctx
		chooseInBackground(left, "", results)
		cancel()
		g.Expect((<-results).target).To(BeNil())

		h = newWaitingHandler(true)
		running := occupy(g, h)
		waiting := plainTestRequest(h, 0)
		ctx, cancel = context.WithDeadline(context.Background(), waiting.deadline)
		defer cancel()
		waiting.ctx = ctx
		chooseInBackground(waiting, "", results)
		refused = <-results
		g.Expect(refused.refusal.Kind).To(Equal(errkind.DeadlineUnmet))
		g.Expect(refused.after).To(And(BeNumerically(">=", 900*time.Millisecond), BeNumerically("<=", time.Second)))

		running[0].releasePlace(resultUnknown)
		_, refusal := plainTestRequest(h, 0).chooseUpstream("s")
		g.Expect(refusal).To(BeNil())
	})
}

// Guards against a queue without bounds, and against a less urgent request that keeps its place in it.
func TestFullQueueDisplacesLeastUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newWaitingHandler(true)
		running := occupy(g, h)
		h.places.queues["s"].serviceTime = time.Millisecond
		results := make(chan chosen, maxWaiting+2)
		for i := range maxWaiting {
			chooseInBackground(plainTestRequest(h, 1), fmt.Sprint(i), results)
		}
		g.Expect(results).To(BeEmpty())
		chooseInBackground(plainTestRequest(h, 2), "less urgent", results)
		refused := <-results
		g.Expect(refused.name).To(Equal("less urgent"))
		g.Expect(refused.refusal.Kind).To(Equal(errkind.Overloaded))
		chooseInBackground(plainTestRequest(h, 0), "more urgent", results)
		displaced := <-results
		g.Expect(displaced.refusal.Kind).To(Equal(errkind.Displaced))
		g.Expect(displaced.refusal.Outcome()).To(Equal(errkind.NotRun))
		running[0].releasePlace(resultAnswered)
		g.Expect((<-results).name).To(Equal("more urgent"))
		counters := h.Scope.(tally.TestScope).Snapshot().Counters()
		g.Expect(counters["admission_displaced+rank=1"].Value()).To(BeEquivalentTo(1))
		place := running[1].target
		for range maxWaiting - 1 {
			h.Pool.Release(place)
			h.places.release("s", time.Millisecond)
			place = (<-results).target
			g.Expect(place).NotTo(BeNil())
		}
	})
}

// Guards against bodies of waiting requests that take up the memory of the gateway.
func TestWaitingBodiesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newWaitingHandler(true)
		occupy(g, h)
		results := make(chan chosen, 2)
		large := plainTestRequest(h, 0)
		large.Body = make([]byte, maxWaitingBytes+1)
		chooseInBackground(large, "", results)
		refused := <-results
		g.Expect(refused.refusal).NotTo(BeNil())
		g.Expect(h.places.queues["s"].bytes).To(BeZero())
	})
}
