package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/fake"
)

// announcePeriodically announces fake upstreams every 500 ms until the test ends.
func (s *simulation) announcePeriodically(upstreams ...fakeUpstream) {
	stop := make(chan struct{})
	s.cleanups = append(s.cleanups, func() { close(stop) })
	go func() {
		ticker := time.NewTicker(500 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			for _, u := range upstreams {
				s.registry.Apply(u.Announcement(), time.Now())
			}
		}
	}()
}

// addCrashableEngines starts engines that crash on a body with the word "poison",
// and returns them with a counter of their crashes.
func (s *simulation) addCrashableEngines(n int, change func(*fake.EngineOptions)) ([]*fake.Engine, *atomic.Int64) {
	crashes := &atomic.Int64{}
	var engines []*fake.Engine
	var upstreams []fakeUpstream
	for i := range n {
		e := s.addEngine(i+1, func(o *fake.EngineOptions) {
			change(o)
			o.Faults.CrashMarker = "poison"
			o.OnCrash = func() { crashes.Add(1) }
		})
		engines = append(engines, e)
		upstreams = append(upstreams, e)
	}
	s.announcePeriodically(upstreams...)
	return engines, crashes
}

var crashingBody = strings.Replace(streamBody, "draft", "poison", 1)

func TestCrashingRequestStopsAtTwoUpstreams(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { testCrashLimit(t, seed) })
	}
}

func testCrashLimit(t *testing.T, seed uint64) {
	inSeededSimulation(t, 1_000_000, seed, func(s *simulation) {
		_, crashes := s.addCrashableEngines(5, slowEngine)
		s.addHost("10.0.0.2:80", "session-2")
		for i := range 6 {
			host := fmt.Sprintf("10.0.0.%d:80", i%2+1)
			a := s.call(http.MethodPost, chatPath, crashingBody, withIdempotencyKey(fmt.Sprint(i)), toHost(host))
			s.Expect(a.complete()).To(BeFalse())
			if i > 0 {
				s.Expect(a.refusal.Kind).To(Equal(errkind.Quarantined), a.body)
			}
			time.Sleep(time.Second)
		}
		s.Expect(crashes.Load()).To(BeNumerically("<=", 2))
		s.Expect(s.control.charged()).To(BeZero())
	})
}

func TestConcurrentRequestsSurviveCrash(t *testing.T) {
	inSimulation(t, 1_000_000, func(s *simulation) {
		engines, crashes := s.addCrashableEngines(2, slowEngine)
		got := make(chan answer, 3)
		for i := range 3 {
			body := strings.Replace(streamBody, "draft", fmt.Sprint("draft ", i), 1)
			go func() { got <- s.call(http.MethodPost, chatPath, body) }()
		}
		s.waitFor(func() bool { return countEvents(fake.TruthStarted, engines[0].Truth(), engines[1].Truth()) == 3 })
		s.Expect(s.call(http.MethodPost, chatPath, crashingBody).complete()).To(BeFalse())
		for range 3 {
			a := <-got
			if !a.complete() {
				s.Expect(a.body).To(ContainSubstring(`"outcome":"ran"`), "a stream that has begun can't be restarted")
			}
		}
		s.Expect(crashes.Load()).To(BeNumerically("<=", 2))
		for i := range 3 {
			body := strings.Replace(streamBody, "draft", fmt.Sprint("draft ", i), 1)
			s.Expect(s.call(http.MethodPost, chatPath, body).complete()).To(BeTrue())
		}
	})
}

func TestUnstartedRequestsRetriedAfterCrash(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { testUnstartedRequestsRetried(t, seed) })
	}
}

func testUnstartedRequestsRetried(t *testing.T, seed uint64) {
	inSeededSimulation(t, 1_000_000, seed, func(s *simulation) {
		engines, crashes := s.addCrashableEngines(2, func(o *fake.EngineOptions) { o.PromptTokenTime = 100 * time.Millisecond })
		got := make(chan answer, 3)
		for i := range 3 {
			body := strings.Replace(streamBody, "draft", fmt.Sprint("draft ", i), 1)
			go func() { got <- s.call(http.MethodPost, chatPath, body) }()
		}
		s.waitFor(func() bool { return countEvents(fake.TruthStarted, engines[0].Truth(), engines[1].Truth()) == 3 })
		poisoned := s.call(http.MethodPost, chatPath, crashingBody)
		s.Expect(poisoned.refusal.Kind).To(Equal(errkind.Quarantined), poisoned.body)
		for range 3 {
			a := <-got
			s.Expect(a.complete()).To(BeTrue(), a.body)
		}
		s.Expect(crashes.Load()).To(Equal(int64(2)))
	})
}

func TestMidStreamCrashesQuarantineBody(t *testing.T) {
	inSimulation(t, 1_000_000, func(s *simulation) {
		runs := 0
		for i := range 4 {
			s.addHandler(fmt.Sprint("engine-", i), fmt.Sprintf("10.0.1.%d:80", i+1), "m", false, func(w http.ResponseWriter, r *http.Request) {
				runs++
				w.Header().Set(announce.HeaderRequestID, r.Header.Get(announce.HeaderRequestID))
				fmt.Fprint(w, "data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"one\"}}]}\n\n")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			})
		}
		for i := range 4 {
			a := s.callStream(withIdempotencyKey(fmt.Sprint(i)))
			s.Expect(a.complete()).To(BeFalse())
		}
		s.Expect(runs).To(Equal(2))
		s.Expect(s.control.committedCount("crash")).To(Equal(2))
		s.Expect(s.callStream().refusal.Kind).To(Equal(errkind.Quarantined))
	})
}

func TestPromptPrefixThatCrashesEnginesIsContained(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { testPrefixContained(t, seed) })
	}
}

// testPrefixContained sends requests that differ but share the beginning of their prompts. Those with
// the second block of the crashing ones crash each engine that runs them.
func testPrefixContained(t *testing.T, seed uint64) {
	const contactTime = 3 * time.Second
	block := func(word string) string {
		return strings.Repeat(word, 1+announce.PrefixBlockBytes/len(word))[:announce.PrefixBlockBytes]
	}
	inSeededSimulation(t, 10_000_000, seed, func(s *simulation) {
		_, crashes := s.addCrashableEngines(5, slowEngine)
		s.addHost("10.0.0.2:80", "session-2")
		sent := 0
		send := func(secondBlock string) answer {
			sent++
			prompt := block("common ") + block(secondBlock) + fmt.Sprint(sent)
			body := strings.Replace(streamBody, "draft", prompt, 1)
			defer time.Sleep(500 * time.Millisecond)
			return s.call(http.MethodPost, chatPath, body, toHost(fmt.Sprintf("10.0.0.%d:80", sent%2+1)))
		}
		for crashes.Load() < 5 && sent < 30 {
			send("poison ")
			send("draft ")
		}
		time.Sleep(contactTime)
		before := crashes.Load()
		for range 10 {
			send("poison ")
			s.Expect(send("draft ").complete()).To(BeTrue())
		}
		s.Expect(crashes.Load() - before).To(BeNumerically("<=", 3))
	})
}
