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

// announceRegularly announces stand-ins every 500 ms until the test ends.
func (s *site) announceRegularly(upstreams ...announced) {
	stop := make(chan struct{})
	s.atEnd = append(s.atEnd, func() { close(stop) })
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

// crashable starts engines that crash on a body with the word "poison", and
// returns them with the count of their crashes.
func (s *site) crashable(n int, change func(*fake.EngineOptions)) ([]*fake.Engine, *atomic.Int64) {
	lost := &atomic.Int64{}
	var engines []*fake.Engine
	var upstreams []announced
	for i := range n {
		e := s.addEngine(i+1, func(o *fake.EngineOptions) {
			change(o)
			o.Faults.CrashMarker = "poison"
			o.OnCrash = func() { lost.Add(1) }
		})
		engines = append(engines, e)
		upstreams = append(upstreams, e)
	}
	s.announceRegularly(upstreams...)
	return engines, lost
}

var poison = strings.Replace(streamBody, "draft", "poison", 1)

func TestRequestThatCrashesUpstreamsCostsAtMostTwo(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { crashesAtMostTwo(t, seed) })
	}
}

func crashesAtMostTwo(t *testing.T, seed uint64) {
	inSeededSite(t, 1_000_000, seed, func(s *site) {
		_, lost := s.crashable(5, slow)
		s.addHost("10.0.0.2:80", "session-2")
		for i := range 6 {
			host := fmt.Sprintf("10.0.0.%d:80", i%2+1)
			a := s.call(http.MethodPost, chatPath, poison, key(fmt.Sprint(i)), via(host))
			s.Expect(a.whole()).To(BeFalse())
			if i > 0 {
				s.Expect(a.refusal.Kind).To(Equal(errkind.Quarantined), a.body)
			}
			time.Sleep(time.Second)
		}
		s.Expect(lost.Load()).To(BeNumerically("<=", 2))
		s.Expect(s.control.charged()).To(BeZero())
	})
}

func TestInnocentRequestsBesideACrashAreServed(t *testing.T) {
	inSite(t, 1_000_000, func(s *site) {
		engines, lost := s.crashable(2, slow)
		got := make(chan answer, 3)
		for i := range 3 {
			body := strings.Replace(streamBody, "draft", fmt.Sprint("draft ", i), 1)
			go func() { got <- s.call(http.MethodPost, chatPath, body) }()
		}
		s.waitFor(func() bool { return finished(fake.TruthStarted, engines[0].Truth(), engines[1].Truth()) == 3 })
		s.Expect(s.call(http.MethodPost, chatPath, poison).whole()).To(BeFalse())
		for range 3 {
			a := <-got
			if !a.whole() {
				s.Expect(a.body).To(ContainSubstring(`"outcome":"ran"`), "a stream that had begun can't begin again")
			}
		}
		s.Expect(lost.Load()).To(BeNumerically("<=", 2))
		for i := range 3 {
			body := strings.Replace(streamBody, "draft", fmt.Sprint("draft ", i), 1)
			s.Expect(s.call(http.MethodPost, chatPath, body).whole()).To(BeTrue())
		}
	})
}

func TestInnocentRequestBeforeItsFirstTokenIsServedAfterACrash(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { innocentBeforeItsFirstToken(t, seed) })
	}
}

func innocentBeforeItsFirstToken(t *testing.T, seed uint64) {
	inSeededSite(t, 1_000_000, seed, func(s *site) {
		engines, lost := s.crashable(2, func(o *fake.EngineOptions) { o.PromptTokenTime = 100 * time.Millisecond })
		got := make(chan answer, 3)
		for i := range 3 {
			body := strings.Replace(streamBody, "draft", fmt.Sprint("draft ", i), 1)
			go func() { got <- s.call(http.MethodPost, chatPath, body) }()
		}
		s.waitFor(func() bool { return finished(fake.TruthStarted, engines[0].Truth(), engines[1].Truth()) == 3 })
		poisoned := s.call(http.MethodPost, chatPath, poison)
		s.Expect(poisoned.refusal.Kind).To(Equal(errkind.Quarantined), poisoned.body)
		for range 3 {
			a := <-got
			s.Expect(a.whole()).To(BeTrue(), a.body)
		}
		s.Expect(lost.Load()).To(Equal(int64(2)))
	})
}

func TestCrashInTheMiddleOfAStreamIsContained(t *testing.T) {
	inSite(t, 1_000_000, func(s *site) {
		runs := 0
		for i := range 4 {
			s.addFunc(fmt.Sprint("engine-", i), fmt.Sprintf("10.0.1.%d:80", i+1), "m", false, func(w http.ResponseWriter, r *http.Request) {
				runs++
				w.Header().Set(announce.HeaderRequestID, r.Header.Get(announce.HeaderRequestID))
				fmt.Fprint(w, "data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"one\"}}]}\n\n")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			})
		}
		for i := range 4 {
			a := s.stream(key(fmt.Sprint(i)))
			s.Expect(a.whole()).To(BeFalse())
		}
		s.Expect(runs).To(Equal(2))
		s.Expect(s.control.count("crash")).To(Equal(2))
		s.Expect(s.stream().refusal.Kind).To(Equal(errkind.Quarantined))
	})
}
