package streamorigin

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// askAll sends n queries at once and returns the number of right replies.
func askAll(g Gomega, a *Asker, n int) int {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var right atomic.Int32
	for i := range n {
		wg.Go(func() {
			id := fmt.Sprint("call-", i)
			reply, err := a.Ask(ctx, "host", &Query{Fingerprint: uint64(i), CallID: id})
			if err == nil && reply.Known && reply.Origin.Version == id {
				right.Add(1)
			}
		})
	}
	wg.Wait()
	g.Eventually(func() int {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.hosts)
	}).Should(BeZero(), "no state is left of hosts without queries")
	return int(right.Load())
}

// Guards against a connection for each query when many streams are resumed at once, and against replies
// that reach the query of another stream.
func TestConcurrentQueriesToAHostShareCalls(t *testing.T) {
	for _, earlierBuild := range []bool{false, true} {
		g := NewWithT(t)
		var calls, inFlight, most atomic.Int32
		a := newAsker(func(_ context.Context, _ string, q *Query) (*Reply, error) {
			calls.Add(1)
			now := inFlight.Add(1)
			defer inFlight.Add(-1)
			for seen := most.Load(); now > seen && !most.CompareAndSwap(seen, now); seen = most.Load() {
			}
			time.Sleep(2 * time.Millisecond)
			reply := &Reply{Origin: Origin{Version: q.CallID}, Known: true}
			for i := range q.More {
				if !earlierBuild {
					reply.More = append(reply.More, Reply{Origin: Origin{Version: q.More[i].CallID}, Known: true})
				}
			}
			return reply, nil
		})
		g.Expect(askAll(g, a, 200)).To(Equal(200))
		if !earlierBuild {
			g.Expect(calls.Load()).To(BeNumerically("<", 50))
			g.Expect(most.Load()).To(BeNumerically("<=", maxCallsPerHost))
		}
	}
}

// Guards against queries that wait for a host which does not answer, after their search has ended.
func TestQueriesToASilentHostEnd(t *testing.T) {
	g := NewWithT(t)
	failure := errors.New("no connection")
	a := newAsker(func(ctx context.Context, _ string, _ *Query) (*Reply, error) {
		<-ctx.Done()
		return nil, failure
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	started := time.Now()
	for range 5 {
		_, err := a.Ask(ctx, "host", &Query{})
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
	}
	g.Expect(time.Since(started)).To(BeNumerically("<", callTimeout))
	_, err := a.Ask(context.Background(), "host", &Query{})
	g.Expect(err).To(MatchError(failure))
}
