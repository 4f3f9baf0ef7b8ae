package placement

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The test below simulates an overload. A simulated engine prefills prompts sequentially
// at a fixed rate; meanwhile its running streams get one token per prefill chunk. The
// results are compared with those of a naive placement without limits.

const (
	simEngineCount = 6
	simPrefillRate = 50.0                  // tokens per millisecond
	simChunkTime   = 82 * time.Millisecond // for a chunk of 4096 tokens
	simStep        = 10 * time.Millisecond
	simTokenGap    = 8 * time.Millisecond // between two tokens of a stream without a prefill
	simDeadline    = 12 * time.Second
)

type simRequest struct {
	arrivedAt    time.Duration
	request      Request
	assignment   *Assignment
	unprefilled  float64
	outputLeft   float64 // still to be generated
	firstEventAt time.Duration
	doneAt       time.Duration
	refused      bool
}

type simEngine struct {
	queue, running []*simRequest
	cached         map[uint64]bool
}

// step simulates prefill and generation for one simStep.
func (e *simEngine) step(now time.Duration, prefilled func(*simRequest)) {
	budget := simPrefillRate * float64(simStep/time.Millisecond)
	prefilling := len(e.queue) > 0
	for len(e.queue) > 0 && budget > 0 {
		r := e.queue[0]
		prefilledTokens := min(budget, r.unprefilled)
		budget -= prefilledTokens
		r.unprefilled -= prefilledTokens
		if r.unprefilled > 0 {
			break
		}
		e.queue = e.queue[1:]
		e.cached[r.request.Prefix] = true
		r.firstEventAt = now
		prefilled(r)
		e.running = append(e.running, r)
	}
	gap := simTokenGap
	if prefilling {
		gap += simChunkTime
	}
	for _, r := range e.running {
		r.outputLeft -= float64(simStep) / float64(gap)
		if r.outputLeft <= 0 {
			r.doneAt = now
		}
	}
	e.running = slices.DeleteFunc(e.running, func(r *simRequest) bool { return r.doneAt > 0 })
}

// overloadRequests returns requests at twice the rate at which the engines can prefill
// them.
func overloadRequests(seed uint64) []*simRequest {
	random := rand.New(rand.NewPCG(seed, 3))
	var list []*simRequest
	for at := time.Duration(0); at < 12*time.Second; at += simStep {
		if random.Float64() > 0.8 {
			continue
		}
		r := &simRequest{arrivedAt: at, outputLeft: 100}
		r.request = Request{
			Service: "engine", HasPrefix: true, Prefix: random.Uint64N(60), PrefixTokens: 6000, MaxOutputTokens: 100,
			PrefixTransfer: true, KVCapacity: 470_000, LatencyObjective: 800 * time.Millisecond, Rank: random.IntN(3),
		}
		r.request.PromptTokens = 6000 + 1000 + random.Int64N(9000)
		list = append(list, r)
	}
	return list
}

type simOutcome struct {
	onTime, late, refused, failed int
	onTimeByRank, requestsByRank  [3]int
}

// simulate places the requests by choose, which returns an empty engine id for a refusal.
func simulate(g *WithT, requests []*simRequest, choose func(r *simRequest, now time.Time) (engine string, unprefilled int64),
	begin, end func(r *simRequest, now time.Time),
) simOutcome {
	engines := map[string]*simEngine{}
	for i := range simEngineCount {
		engines[fmt.Sprintf("u%d", i)] = &simEngine{cached: map[uint64]bool{}}
	}
	names := []string{"u0", "u1", "u2", "u3", "u4", "u5"}
	next := 0
	for now := time.Duration(0); now < 30*time.Second; now += simStep {
		at := startTime.Add(now)
		for ; next < len(requests) && requests[next].arrivedAt <= now; next++ {
			r := requests[next]
			id, _ := choose(r, at)
			if id == "" {
				r.refused = true
				continue
			}
			e := engines[id]
			r.unprefilled = float64(r.request.PromptTokens)
			if e.cached[r.request.Prefix] || r.assignment != nil && r.assignment.PrefixSource != "" {
				r.unprefilled -= float64(r.request.PrefixTokens)
			}
			e.queue = append(e.queue, r)
		}
		for _, name := range names {
			engines[name].step(now, func(r *simRequest) { begin(r, at) })
		}
		for _, r := range requests[:next] {
			if r.doneAt == now && r.doneAt > 0 {
				end(r, at)
			}
		}
	}
	return summarize(g, requests)
}

func summarize(g *WithT, requests []*simRequest) simOutcome {
	var o simOutcome
	for _, r := range requests {
		o.requestsByRank[r.request.Rank]++
		switch {
		case r.refused:
			o.refused++
		case r.doneAt == 0 || r.doneAt-r.arrivedAt > simDeadline:
			o.failed++
		case r.firstEventAt-r.arrivedAt <= r.request.LatencyObjective:
			o.onTime++
			o.onTimeByRank[r.request.Rank]++
		default:
			o.late++
		}
	}
	g.Expect(o.onTime + o.late + o.refused + o.failed).To(Equal(len(requests)))
	return o
}

func simulatePool(g *WithT, seed uint64) simOutcome {
	p := newTestPool(g, "a", simEngineCount)
	return simulate(g, overloadRequests(seed),
		func(r *simRequest, now time.Time) (string, int64) {
			a, refused := p.Choose(&r.request, now)
			if refused != nil {
				g.Expect(refused.RetryAfter).To(BeNumerically(">=", minRetryAfter))
				g.Expect(refused.RetryAfter).To(BeNumerically("<=", maxRetryAfter))
				g.Expect(refused.PrefillRate).To(BeNumerically(">", 0))
				return "", 0
			}
			r.assignment = a
			return a.ID, a.unprefilled
		},
		func(r *simRequest, now time.Time) { p.MarkPrefilled(r.assignment, now) },
		func(r *simRequest, now time.Time) { p.Release(r.assignment) })
}

// simulateNaive sends each request to the engine with the fewest in-flight requests.
func simulateNaive(g *WithT, seed uint64) simOutcome {
	inFlight := map[string]int{"u0": 0, "u1": 0, "u2": 0, "u3": 0, "u4": 0, "u5": 0}
	assigned := map[*simRequest]string{}
	return simulate(g, overloadRequests(seed),
		func(r *simRequest, _ time.Time) (string, int64) {
			names := []string{"u0", "u1", "u2", "u3", "u4", "u5"}
			best := slices.MinFunc(names, func(a, b string) int { return cmp.Compare(inFlight[a], inFlight[b]) })
			inFlight[best]++
			assigned[r] = best
			return best, 0
		},
		func(*simRequest, time.Time) {},
		func(r *simRequest, _ time.Time) { inFlight[assigned[r]]-- })
}

func TestOverloadServedWithinPrefillCapacity(t *testing.T) {
	for seed := range uint64(5) {
		g := NewWithT(t)
		naive, limited := simulateNaive(g, seed), simulatePool(g, seed)
		t.Logf("seed %d: naive %+v, limited %+v", seed, naive, limited)
		g.Expect(limited.onTime).To(BeNumerically(">=", 3*naive.onTime), "answers that begin on time")
		g.Expect(limited.failed).To(BeNumerically("<", naive.failed/4), "answers that miss their deadline")
		g.Expect(limited.refused).To(BeNumerically(">", 0))
		share := func(rank int) float64 {
			return float64(limited.onTimeByRank[rank]) / float64(limited.requestsByRank[rank])
		}
		g.Expect(share(0)).To(BeNumerically(">", share(2)), "more urgent requests are preferred")
		g.Expect(share(2)).To(BeNumerically(">", 0.1), "no rank is starved")
	}
}
