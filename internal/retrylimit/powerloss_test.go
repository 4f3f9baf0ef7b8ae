package retrylimit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/retrylimit"
)

// Guards against more retries than the bound because restarted hosts forget theirs, and first know no other host.
func TestBoundHoldsWhenAllHostsRestart(t *testing.T) {
	const hosts, slack, ratio, perSecond, retriesPerRequest = 9, 58, 0.2, 19, 2
	const window, length, unknownFor = 10 * time.Second, 40 * time.Second, 500 * time.Millisecond
	for _, restarts := range [][]time.Duration{{20 * time.Second}, {20 * time.Second, 26 * time.Second}} {
		for seed := range uint64(20) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 1))
			start := time.Unix(0, 0)
			limiters := make([]*retrylimit.Limiter, hosts)
			startAll := func(at time.Duration) time.Duration {
				for i := range limiters {
					limiters[i] = retrylimit.New(retrylimit.Settings{Ratio: ratio, Slack: slack, Window: window}, start.Add(at))
				}
				return at
			}
			started := startAll(0)
			left := restarts
			var requests, retries []time.Duration
			for at := time.Duration(0); at < length; at += time.Second / perSecond {
				if len(left) > 0 && at >= left[0] {
					started, left = startAll(at), left[1:]
				}
				known := hosts
				if at-started < unknownFor {
					known = 1
				}
				now := start.Add(at)
				l := limiters[random.IntN(hosts)]
				l.CountRequest("s", now)
				requests = append(requests, at)
				for range retriesPerRequest {
					if l.AllowRetry("s", known, now) {
						retries = append(retries, at)
					}
				}
			}
			for from := time.Duration(0); from < length; from += 250 * time.Millisecond {
				allowed := ratio*float64(count(requests, from, from+window)) + slack
				g.Expect(float64(count(retries, from, from+window))).To(BeNumerically("<=", allowed), "%d restarts, seed %d, from %v", len(restarts), seed, from)
			}
			g.Expect(retries).NotTo(BeEmpty())
		}
	}
}
