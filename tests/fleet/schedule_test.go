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
	// scheduleSteps is the number of failures of one schedule.
	scheduleSteps = 12
	// soakSchedules is the number of schedules of a soak.
	soakSchedules = 60
	clients       = 4
	maxTries      = 6
)

// try is one request of a client with all its tries.
type try struct {
	key   string
	plain bool
	// ok is the first whole answer's body or text; usage is that of a model request.
	ok    string
	usage int64
	// notRun tells that every try was answered "not run".
	notRun bool
}

// price returns what an answered request costs, in tokens.
func (t *try) price() int64 {
	if t.plain {
		return 1
	}
	return t.usage
}

// schedule drives random failures while clients send requests and retry them
// at other hosts with the same key.
type schedule struct {
	*site
	random *rand.Rand
	mu     sync.Mutex
	tries  []try
	stop   chan struct{}
	wg     sync.WaitGroup
}

func TestRandomFailuresBreakNoPromise(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed=", seed+1), func(t *testing.T) { runSchedule(t, seed+1, 0) })
	}
}

// The same while the budget runs dry again and again.
func TestRandomFailuresNeverOverspendADryBudget(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed=", seed+1), func(t *testing.T) { runSchedule(t, seed+1, 1500) })
	}
}

// TestSoak runs schedules from the seed in SEED on.
func TestSoak(t *testing.T) {
	first, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		t.Skip("SEED is not set")
	}
	for i := range uint64(soakSchedules) {
		t.Run(fmt.Sprint("seed=", first+i), func(t *testing.T) { runSchedule(t, first+i, int64(i%2)*1500) })
	}
}

// runSchedule runs one schedule; paid 0 stands for an ample budget.
func runSchedule(t *testing.T, seed uint64, paid int64) {
	run(t, siteOptions{hosts: 5, control: 3, paid: paid}, func(s *site) {
		c := &schedule{site: s, random: rand.New(rand.NewPCG(seed, 0)), stop: make(chan struct{})}
		for i := range clients {
			random := rand.New(rand.NewPCG(seed, uint64(i+1)))
			c.wg.Add(1)
			go c.client(i, random)
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

// step makes one failure, ends all cuts, or changes the fleet as operators do.
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
		time.Sleep(settle)
		c.topUp(b, 1000)
		c.must(b, c.write(config.KindOrganisation, "o", fmt.Sprintf(`{"display_name":"n%d"}`, c.random.IntN(100))))
	}
}

func (c *schedule) client(id int, random *rand.Rand) {
	defer c.wg.Done()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(random.IntN(800)) * time.Millisecond):
		}
		t := try{key: fmt.Sprintf("c%d-%d", id, i), plain: random.IntN(2) == 0, notRun: true}
		c.send(&t, random)
		c.mu.Lock()
		c.tries = append(c.tries, t)
		c.mu.Unlock()
	}
}

// send tries a request at random hosts until it is answered whole.
func (c *schedule) send(t *try, random *rand.Rand) {
	for range maxTries {
		h := c.hosts[random.IntN(len(c.hosts))]
		call := c.chat
		body := promptOf(t.key)
		if t.plain {
			call = func(h *host, key, _ string) (*harness.Answer, error) { return c.next(h, key) }
		}
		answer, err := call(h, t.key, body)
		if err != nil || answer.Refusal == nil || answer.Refusal.Outcome() != errkind.NotRun {
			t.notRun = false
		}
		if err == nil && answer.Status == http.StatusOK && answer.Complete {
			t.ok = answer.Text + string(answer.Body)
			if answer.Usage != nil {
				t.usage = answer.Usage.TotalTokens
			}
			return
		}
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
	}
}

// audit compares what callers were told with what the stand-ins ran and what was billed.
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
	for _, t := range c.tries {
		id := controlapi.RequestIDFor("k", t.key)
		c.Expect(runs[id]).To(BeNumerically("<=", 1), "%s ran more than once", t.key)
		c.Expect(t.notRun && (runs[id] > 0 || started[id])).To(BeFalse(), "%s was told not run, and ran", t.key)
		if t.ok == "" {
			continue
		}
		served++
		used += t.price()
		if t.plain {
			c.Expect(runs[id]).To(Equal(1), "%s was answered", t.key)
			c.Expect(t.ok).To(MatchJSON(fmt.Sprintf(`{"series":"a","number":%d}`, numbers[id])))
		} else {
			c.Expect(t.ok).To(Equal(expectedText(c.site, t.key)))
		}
		c.expectBilledOnce(id, t)
	}
	b := c.budget(c.hosts[0])
	c.Expect(b.Charged + b.Reserved + b.Granted).To(BeNumerically("<=", b.PaidIn))
	c.Expect(used).To(BeNumerically("<=", b.PaidIn), "what was delivered exceeds what was paid")
	c.Expect(served).To(BeNumerically(">", 0))
	c.t.Logf("%d of %d requests were answered", served, len(c.tries))
}

func promptOf(key string) string { return "good morning " + key }

// expectedText returns the answer that the stand-in gives to the prompt of key.
func expectedText(s *site, key string) string {
	req, err := fake.ParseChat(harness.ChatBody(model, chatLimit, promptOf(key)))
	s.Expect(err).NotTo(HaveOccurred())
	return req.AnswerText(req.OutputTokens())
}

// expectBilledOnce checks the charge of an answered request, with what later
// runs charged that completed one which was cut off.
func (c *schedule) expectBilledOnce(id string, t try) {
	c.t.Helper()
	var record controlapi.RequestStatus
	status := c.operate(c.hosts[0], http.MethodGet, operatorapi.PathRequests+"/"+id, nil, &record)
	c.Expect(status).To(Equal(http.StatusOK), t.key)
	c.Expect(record.State).To(Equal("settled"), "%+v", record)
	c.Expect(record.Charged+record.ChargedByCompletions).To(Equal(t.price()), "%s %+v", t.key, record)
}
