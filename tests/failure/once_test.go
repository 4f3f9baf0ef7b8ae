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

// numberCalls is the number of calls that are in flight at a kill.
const numberCalls = 12

// runs returns how often each request ran on the plain service, by request id.
func (s *site) runs() map[string]int {
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

// numberUntilAnswered takes a number with one key through host after host.
func (s *site) numberUntilAnswered(caller harness.Caller, organisation, key string, host int) (string, error) {
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

// TestNumbersInFlightAtAKillRunOnce kills an entry host, and the leader's host
// in a second run, while calls that may not be repeated run at the service.
func TestNumbersInFlightAtAKillRunOnce(t *testing.T) {
	for _, victim := range []string{"entry", "leader"} {
		t.Run(victim, func(t *testing.T) {
			s := newSite(t, trace.Carvalho, func(o *load.SiteOptions) {
				o.ServiceFlags = []string{"--work-time", "300ms", "--answer-time", "300ms", "--capacity", "32"}
			})
			organisation := s.deployment.Organisations[0]
			name := trace.CallerName(organisation, "number")
			caller := harness.Caller{Key: s.Key(name)}
			numbers := make([]string, numberCalls)
			var calls sync.WaitGroup
			for i := range numbers {
				calls.Go(func() {
					numbers[i], _ = s.numberUntilAnswered(caller, organisation, fmt.Sprint("once-", i), len(s.Hosts)-1)
				})
			}
			s.Expect(harness.Await(s.ctx, "some calls took effect", func(context.Context) error {
				if len(s.runs()) == 0 {
					return errors.New("none ran")
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
			count := s.runs()
			for i, number := range numbers {
				s.Expect(number).NotTo(BeEmpty())
				s.Expect(count).To(HaveKeyWithValue(controlapi.RequestIDFor(name, fmt.Sprint("once-", i)), 1))
			}
			s.Expect(distinct(numbers)).To(Equal(numberCalls))
		})
	}
}

func distinct(texts []string) int {
	seen := map[string]bool{}
	for _, t := range texts {
		seen[t] = true
	}
	return len(seen)
}

// TestTopUpsAreMadeOnceWhenTheirAnswersAreLost sends each payment from all
// hosts at once, with the leader killed meanwhile.
func TestTopUpsAreMadeOnceWhenTheirAnswersAreLost(t *testing.T) {
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
				_ = harness.Await(s.ctx, "the payment is confirmed", func(ctx context.Context) error {
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
	ask := s.Hosts[len(s.Hosts)-1]
	budgets, err := s.Budgets(s.ctx, ask)
	s.Expect(err).NotTo(HaveOccurred())
	for _, b := range budgets {
		if b.Budget == organisation {
			s.Expect(b.PaidIn).To(Equal(int64(1 + each*operations)))
		}
	}
}
