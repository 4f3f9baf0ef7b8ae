package failure_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/fake"
	"github.com/godwitbend/godwitbend/internal/harness"
	"github.com/godwitbend/godwitbend/internal/load"
	"github.com/godwitbend/godwitbend/internal/trace"
)

// inFlightCalls is the number of calls in flight when a host is killed.
const inFlightCalls = 12

// runsByRequestID returns the number of times each request ran on the plain service.
func (s *site) runsByRequestID() map[string]int {
	records, err := s.GroundTruth(s.ctx, s.Upstreams[len(s.Upstreams)-1])
	s.Expect(err).NotTo(HaveOccurred())
	count := map[string]int{}
	for _, r := range records {
		if r.Event == fake.TruthRan {
			count[r.RequestID]++
		}
	}
	return count
}

// nextNumberWithRetries requests a number under one idempotency key, moving to the
// next host until one answers.
func (s *site) nextNumberWithRetries(caller harness.Caller, organisation, key string, host int) (string, error) {
	for {
		a, err := caller.Do(s.ctx, harness.Call{
			Method: http.MethodPost, URL: s.Hosts[host].CallersURL(),
			Path: "/services/numbering/series/" + organisation + "/next", IdempotencyKey: key,
		})
		if err == nil && a.Status == http.StatusOK {
			return strings.TrimSpace(string(a.Body)), nil
		}
		if s.ctx.Err() != nil {
			return "", errors.Join(s.ctx.Err(), err)
		}
		host = (host + 1) % len(s.Hosts)
	}
}

// TestCallsInFlightAtKillRunOnce kills an entry host, or the leader's host, while
// non-idempotent calls run at the service.
func TestCallsInFlightAtKillRunOnce(t *testing.T) {
	for _, victim := range []string{"entry", "leader"} {
		t.Run(victim, func(t *testing.T) {
			s := newSite(t, trace.Carvalho, func(o *load.SiteOptions) {
				o.ServiceFlags = []string{"--work-time", "300ms", "--answer-time", "300ms", "--capacity", "32"}
			})
			organisation := s.deployment.Organisations[0]
			name := trace.CallerName(organisation, "number")
			caller := harness.Caller{Key: s.Key(name)}
			numbers := make([]string, inFlightCalls)
			var calls sync.WaitGroup
			for i := range numbers {
				calls.Go(func() {
					numbers[i], _ = s.nextNumberWithRetries(caller, organisation, fmt.Sprint("once-", i), len(s.Hosts)-1)
				})
			}
			s.Expect(harness.Await(s.ctx, "a call has run", func(context.Context) error {
				if len(s.runsByRequestID()) == 0 {
					return errors.New("no call has run")
				}
				return nil
			})).To(Succeed())
			if victim == "entry" {
				s.Hosts[len(s.Hosts)-1].Kill()
			} else {
				leader, err := s.Leader(s.ctx, s.Hosts[0])
				s.Expect(err).NotTo(HaveOccurred())
				leader.Kill()
			}
			calls.Wait()
			count := s.runsByRequestID()
			for i, number := range numbers {
				s.Expect(number).NotTo(BeEmpty())
				s.Expect(count).To(HaveKeyWithValue(controlapi.RequestIDFor(name, fmt.Sprint("once-", i)), 1))
			}
			s.Expect(countDistinct(numbers)).To(Equal(inFlightCalls))
		})
	}
}

func countDistinct(texts []string) int {
	seen := map[string]bool{}
	for _, t := range texts {
		seen[t] = true
	}
	return len(seen)
}

// TestConcurrentTopUpsApplyOnce sends each top-up concurrently through all hosts
// but the leader under one operation id, and kills the leader halfway.
func TestConcurrentTopUpsApplyOnce(t *testing.T) {
	s := newSite(t, trace.Heraut, func(o *load.SiteOptions) { o.Budget = 1 })
	organisation := s.deployment.Organisations[0]
	leader, err := s.Leader(s.ctx, s.Hosts[0])
	s.Expect(err).NotTo(HaveOccurred())
	var payments sync.WaitGroup
	const each, operations = 100, 10
	for i := range operations {
		for _, h := range s.Hosts {
			if h == leader {
				continue
			}
			payments.Go(func() {
				_ = harness.Await(s.ctx, "the top-up is confirmed", func(ctx context.Context) error {
					_, err := s.Ctl(ctx, h, "budget", "top-up", organisation,
						"--tokens", fmt.Sprint(each), "--operation-id", fmt.Sprint("payment-", i))
					return err
				})
			})
		}
		if i == operations/2 {
			leader.Kill()
		}
	}
	payments.Wait()
	survivor := s.Hosts[len(s.Hosts)-1]
	budgets, err := s.Budgets(s.ctx, survivor)
	s.Expect(err).NotTo(HaveOccurred())
	for _, b := range budgets {
		if b.Budget == organisation {
			s.Expect(b.PaidIn).To(Equal(int64(1 + each*operations)))
		}
	}
}
