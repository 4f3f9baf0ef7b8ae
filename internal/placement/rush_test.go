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

// The test below plays a rush on engines that are modelled by what matters here: an
// engine reads prompts one after the other at a fixed speed, and while it reads, the
// streams that it runs get a token a chunk. It compares what callers get with a naive
// placement that knows no limit.

const (
	rushEngines   = 6
	rushPace      = 50.0                  // tokens a millisecond
	rushChunkTime = 82 * time.Millisecond // for a chunk of 4096 tokens
	rushStep      = 10 * time.Millisecond
	rushStreamGap = 8 * time.Millisecond // between two tokens of a stream without reading
	rushDeadline  = 12 * time.Second
)

type rushRequest struct {
	arrived time.Duration
	request Request
	place   *Place
	unread  float64
	tokens  float64 // still to be generated
	first   time.Duration
	done    time.Duration
	refused bool
}

type rushEngine struct {
	queue, running []*rushRequest
	kept           map[uint64]bool
}

// step reads and generates for one step.
func (e *rushEngine) step(now time.Duration, began func(*rushRequest)) {
	budget := rushPace * float64(rushStep/time.Millisecond)
	reading := len(e.queue) > 0
	for len(e.queue) > 0 && budget > 0 {
		r := e.queue[0]
		read := min(budget, r.unread)
		budget -= read
		r.unread -= read
		if r.unread > 0 {
			break
		}
		e.queue = e.queue[1:]
		e.kept[r.request.Part] = true
		r.first = now
		began(r)
		e.running = append(e.running, r)
	}
	gap := rushStreamGap
	if reading {
		gap += rushChunkTime
	}
	for _, r := range e.running {
		r.tokens -= float64(rushStep) / float64(gap)
		if r.tokens <= 0 {
			r.done = now
		}
	}
	e.running = slices.DeleteFunc(e.running, func(r *rushRequest) bool { return r.done > 0 })
}

// rush returns requests at twice the speed at which the engines can read them.
func rush(seed uint64) []*rushRequest {
	random := rand.New(rand.NewPCG(seed, 3))
	var list []*rushRequest
	for at := time.Duration(0); at < 12*time.Second; at += rushStep {
		if random.Float64() > 0.8 {
			continue
		}
		r := &rushRequest{arrived: at, tokens: 100}
		r.request = Request{
			Service: "engine", HasPart: true, Part: random.Uint64N(60), PartTokens: 6000, Output: 100,
			Transfers: true, Memory: 470_000, Objective: 800 * time.Millisecond, Rank: random.IntN(3),
		}
		r.request.Tokens = 6000 + 1000 + random.Int64N(9000)
		list = append(list, r)
	}
	return list
}

type rushOutcome struct {
	onTime, late, refused, failed int
	onTimeByRank, askedByRank     [3]int
}

// play places the requests by choose, which returns nil for a refusal.
func play(g *WithT, requests []*rushRequest, choose func(r *rushRequest, now time.Time) (engine string, unread int64),
	begin, end func(r *rushRequest, now time.Time),
) rushOutcome {
	engines := map[string]*rushEngine{}
	for i := range rushEngines {
		engines[fmt.Sprintf("u%d", i)] = &rushEngine{kept: map[uint64]bool{}}
	}
	names := []string{"u0", "u1", "u2", "u3", "u4", "u5"}
	next := 0
	for now := time.Duration(0); now < 30*time.Second; now += rushStep {
		at := start.Add(now)
		for ; next < len(requests) && requests[next].arrived <= now; next++ {
			r := requests[next]
			id, _ := choose(r, at)
			if id == "" {
				r.refused = true
				continue
			}
			e := engines[id]
			r.unread = float64(r.request.Tokens)
			if e.kept[r.request.Part] || r.place != nil && r.place.Source != "" {
				r.unread -= float64(r.request.PartTokens)
			}
			e.queue = append(e.queue, r)
		}
		for _, name := range names {
			engines[name].step(now, func(r *rushRequest) { begin(r, at) })
		}
		for _, r := range requests[:next] {
			if r.done == now && r.done > 0 {
				end(r, at)
			}
		}
	}
	return judge(g, requests)
}

func judge(g *WithT, requests []*rushRequest) rushOutcome {
	var o rushOutcome
	for _, r := range requests {
		o.askedByRank[r.request.Rank]++
		switch {
		case r.refused:
			o.refused++
		case r.done == 0 || r.done-r.arrived > rushDeadline:
			o.failed++
		case r.first-r.arrived <= r.request.Objective:
			o.onTime++
			o.onTimeByRank[r.request.Rank]++
		default:
			o.late++
		}
	}
	g.Expect(o.onTime + o.late + o.refused + o.failed).To(Equal(len(requests)))
	return o
}

func playPool(g *WithT, seed uint64) rushOutcome {
	p := poolOf(g, "a", rushEngines)
	return play(g, rush(seed),
		func(r *rushRequest, now time.Time) (string, int64) {
			l, refused := p.Choose(&r.request, now)
			if refused != nil {
				g.Expect(refused.After).To(BeNumerically(">=", minRetry))
				g.Expect(refused.After).To(BeNumerically("<=", maxRetry))
				g.Expect(refused.Pace).To(BeNumerically(">", 0))
				return "", 0
			}
			r.place = l
			return l.ID, l.unread
		},
		func(r *rushRequest, now time.Time) { p.Begin(r.place, now) },
		func(r *rushRequest, now time.Time) { p.Release(r.place) })
}

// playNaive sends each request to the engine with the fewest open ones.
func playNaive(g *WithT, seed uint64) rushOutcome {
	open := map[string]int{"u0": 0, "u1": 0, "u2": 0, "u3": 0, "u4": 0, "u5": 0}
	at := map[*rushRequest]string{}
	return play(g, rush(seed),
		func(r *rushRequest, _ time.Time) (string, int64) {
			names := []string{"u0", "u1", "u2", "u3", "u4", "u5"}
			best := slices.MinFunc(names, func(a, b string) int { return cmp.Compare(open[a], open[b]) })
			open[best]++
			at[r] = best
			return best, 0
		},
		func(*rushRequest, time.Time) {},
		func(r *rushRequest, _ time.Time) { open[at[r]]-- })
}

func TestRushIsServedOnTimeUpToWhatEnginesRead(t *testing.T) {
	for seed := range uint64(5) {
		g := NewWithT(t)
		naive, limited := playNaive(g, seed), playPool(g, seed)
		t.Logf("seed %d: naive %+v, limited %+v", seed, naive, limited)
		g.Expect(limited.onTime).To(BeNumerically(">=", 3*naive.onTime), "answers that begin on time")
		g.Expect(limited.failed).To(BeNumerically("<", naive.failed/4), "answers that never end")
		g.Expect(limited.refused).To(BeNumerically(">", 0))
		share := func(rank int) float64 {
			return float64(limited.onTimeByRank[rank]) / float64(limited.askedByRank[rank])
		}
		g.Expect(share(0)).To(BeNumerically(">", share(2)), "the more urgent go first")
		g.Expect(share(2)).To(BeNumerically(">", 0.1), "and none starves")
	}
}
