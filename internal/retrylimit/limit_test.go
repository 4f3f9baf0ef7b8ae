package retrylimit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/retrylimit"
)

// Several hosts retry as often as allowed while the load shifts between them. No window
// at any position may contain more retries than the bound.
func TestBoundHoldsAcrossHosts(t *testing.T) {
	const hosts, slack, ratio = 5, 54, 0.2
	window := 10 * time.Second
	for seed := range uint64(20) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 1))
		start := time.Unix(0, 0)
		var limiters []*retrylimit.Limiter
		for range hosts {
			limiters = append(limiters, retrylimit.New(retrylimit.Settings{Ratio: ratio, Slack: slack, Window: window}, start))
		}
		var requests, retries []time.Duration
		for at := time.Duration(0); at < time.Minute; at += 5 * time.Millisecond {
			busy := 1 + int(at/(7*time.Second))%hosts
			l := limiters[random.IntN(busy)]
			now := start.Add(at)
			l.CountRequest("s", now)
			requests = append(requests, at)
			if l.AllowRetry("s", hosts, now) {
				retries = append(retries, at)
			}
		}
		for from := time.Duration(0); from < time.Minute; from += 250 * time.Millisecond {
			allowed := ratio*float64(count(requests, from, from+window)) + slack
			g.Expect(float64(count(retries, from, from+window))).To(BeNumerically("<=", allowed), "seed %d, from %v", seed, from)
		}
		g.Expect(retries).NotTo(BeEmpty())
	}
}

func count(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

func TestLimitsAreSeparatePerService(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	l := retrylimit.New(retrylimit.Settings{Ratio: 0, Slack: 2, Window: time.Second}, now)
	g.Expect(l.AllowRetry("a", 1, now)).To(BeTrue())
	g.Expect(l.AllowRetry("a", 1, now)).To(BeFalse())
	g.Expect(l.AllowRetry("b", 1, now)).To(BeTrue())
	g.Expect(l.AllowRetry("a", 1, now.Add(5*time.Second))).To(BeTrue(), "allowed again after the window")
}
