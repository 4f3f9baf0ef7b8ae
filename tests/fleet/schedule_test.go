package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/fake"
	"github.com/godwitbend/godwitbend/internal/harness"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
	"github.com/godwitbend/godwitbend/internal/settings"
)

const (
	// scheduleSteps is the number of failures injected by one schedule.
	scheduleSteps = 12
	// soakSchedules is the number of schedules that TestSoak runs.
	soakSchedules = 60
	clientCount   = 4
	maxTries      = 6
)

// clientRequest is one request of a client, including all retries.
type clientRequest struct {
	key   string
	plain bool
	// answer is the body or text of the first whole answer; usage is the total tokens of
	// a model request.
	answer string
	usage  int64
	// onlyNotRun is set if every try was refused with outcome not_run.
	onlyNotRun bool
}

// cost returns the charge of an answered request, in tokens.
func (req *clientRequest) cost() int64 {
	if req.plain {
		return 1
	}
	return req.usage
}

// schedule injects random failures while clients send requests and retry them through
// other hosts under the same idempotency key.
type schedule struct {
	*site
	random   *rand.Rand
	mu       sync.Mutex
	requests []clientRequest
	stop     chan struct{}
	wg       sync.WaitGroup
}

// TestRandomFailuresViolateNoGuarantee runs schedules with an ample budget.
func TestRandomFailuresViolateNoGuarantee(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed=", seed+1), func(t *testing.T) { runSchedule(t, seed+1, 0) })
	}
}

// TestRandomFailuresNeverOverspendSmallBudget runs schedules with a budget that is
// exhausted repeatedly.
func TestRandomFailuresNeverOverspendSmallBudget(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed=", seed+1), func(t *testing.T) { runSchedule(t, seed+1, 1500) })
	}
}

// TestSoak runs schedules with consecutive seeds, beginning with the one in SEED.
func TestSoak(t *testing.T) {
	first, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		t.Skip("SEED is not set")
	}
	for i := range uint64(soakSchedules) {
		t.Run(fmt.Sprint("seed=", first+i), func(t *testing.T) { runSchedule(t, first+i, int64(i%2)*1500) })
	}
}

// runSchedule runs one schedule with paid tokens paid in; 0 means an ample budget.
func runSchedule(t *testing.T, seed uint64, paid int64) {
	run(t, siteOptions{hosts: 5, control: 3, paidIn: paid}, func(s *site) {
		c := &schedule{site: s, random: rand.New(rand.NewPCG(seed, 0)), stop: make(chan struct{})}
		for i := range clientCount {
			random := rand.New(rand.NewPCG(seed, uint64(i+1)))
			c.wg.Add(1)
			go c.runClient(i, random)
		}
		for range scheduleSteps {
			c.step()
			time.Sleep(time.Duration(500+c.random.IntN(6000)) * time.Millisecond)
		}
		s.net.HealAll()
		time.Sleep(20 * time.Second)
		close(c.stop)
		c.wg.Wait()
		time.Sleep(20 * time.Second)
		c.audit()
	})
}

// step injects one failure, heals all partitions, or makes an operator's change.
func (c *schedule) step() {
	a := c.hosts[c.random.IntN(len(c.hosts))]
	b := c.hosts[c.random.IntN(len(c.hosts))]
	switch c.random.IntN(7) {
	case 0:
		c.isolate(a)
	case 1:
		if a != b {
			c.net.Cut(a.name, b.name)
		}
	case 2:
		c.net.Cut(a.name, "service-1")
	case 3:
		c.net.Reset(a.name)
	case 4:
		if c.random.IntN(2) == 0 {
			c.net.HealAll()
		}
		c.restart(a, func(*settings.Settings) {})
	case 5:
		c.engine.Crash()
	default:
		c.net.HealAll()
		time.Sleep(settleTime)
		c.topUp(b, 1000)
		c.mustApply(b, c.newChange(config.KindOrganisation, "o", fmt.Sprintf(`{"display_name":"n%d"}`, c.random.IntN(100))))
	}
}

// runClient sends requests one after another until the schedule stops.
func (c *schedule) runClient(id int, random *rand.Rand) {
	defer c.wg.Done()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(random.IntN(800)) * time.Millisecond):
		}
		req := clientRequest{key: fmt.Sprintf("c%d-%d", id, i), plain: random.IntN(2) == 0, onlyNotRun: true}
		c.send(&req, random)
		c.mu.Lock()
		c.requests = append(c.requests, req)
		c.mu.Unlock()
	}
}

// send sends a request through random hosts until it gets a whole answer, at most
// maxTries times.
func (c *schedule) send(req *clientRequest, random *rand.Rand) {
	for range maxTries {
		h := c.hosts[random.IntN(len(c.hosts))]
		call := c.chat
		body := promptFor(req.key)
		if req.plain {
			call = func(h *host, key, _ string) (*harness.Answer, error) { return c.nextNumber(h, key) }
		}
		answer, err := call(h, req.key, body)
		if err != nil || answer.Refusal == nil || answer.Refusal.Outcome() != errkind.NotRun {
			req.onlyNotRun = false
		}
		if err == nil && answer.Status == http.StatusOK && answer.Complete {
			req.answer = answer.Text + string(answer.Body)
			if answer.Usage != nil {
				req.usage = answer.Usage.TotalTokens
			}
			return
		}
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
	}
}

// audit compares the answers and refusals that callers received with what the stand-ins
// ran and what was charged.
func (c *schedule) audit() {
	c.t.Helper()
	runs := make(map[string]int)
	numbers := make(map[string]int64)
	for _, r := range c.plain.Truth().Records() {
		if r.Event == fake.TruthRan {
			runs[r.RequestID]++
			numbers[r.RequestID] = r.Number
		}
	}
	started := make(map[string]bool)
	for _, r := range c.engine.Truth().Records() {
		started[r.RequestID] = started[r.RequestID] || r.Event == fake.TruthStarted
	}
	served, used := 0, int64(0)
	for _, req := range c.requests {
		id := controlapi.RequestIDFor("k", req.key)
		c.Expect(runs[id]).To(BeNumerically("<=", 1), "%s ran more than once", req.key)
		c.Expect(req.onlyNotRun && (runs[id] > 0 || started[id])).To(BeFalse(), "%s was reported as not run but ran", req.key)
		if req.answer == "" {
			continue
		}
		served++
		used += req.cost()
		if req.plain {
			c.Expect(runs[id]).To(Equal(1), "%s was answered but did not run once", req.key)
			c.Expect(req.answer).To(MatchJSON(fmt.Sprintf(`{"series":"a","number":%d}`, numbers[id])))
		} else {
			c.Expect(req.answer).To(Equal(expectedText(c.site, req.key)))
		}
		c.expectBilledOnce(id, req)
	}
	b := c.budget(c.hosts[0])
	c.Expect(b.Charged + b.Reserved + b.Granted).To(BeNumerically("<=", b.PaidIn))
	c.Expect(used).To(BeNumerically("<=", b.PaidIn), "usage exceeds what was paid in")
	c.Expect(served).To(BeNumerically(">", 0))
	c.t.Logf("%d of %d requests were answered", served, len(c.requests))
}

func promptFor(key string) string { return "good morning " + key }

// expectedText returns the text with which the stand-in engine answers the prompt of key.
func expectedText(s *site, key string) string {
	req, err := fake.ParseChat(harness.ChatBody(modelName, chatLimit, promptFor(key)))
	s.Expect(err).NotTo(HaveOccurred())
	return req.AnswerText(req.OutputTokens())
}

// expectBilledOnce checks the charge of an answered request, including the charges of
// later runs that completed its aborted stream.
func (c *schedule) expectBilledOnce(id string, req clientRequest) {
	c.t.Helper()
	var record controlapi.RequestStatus
	status := c.operate(c.hosts[0], http.MethodGet, operatorapi.PathRequests+"/"+id, nil, &record)
	c.Expect(status).To(Equal(http.StatusOK), req.key)
	c.Expect(record.State).To(Equal("settled"), "%+v", record)
	c.Expect(record.Charged+record.ChargedByCompletions).To(Equal(req.cost()), "%s %+v", req.key, record)
}
