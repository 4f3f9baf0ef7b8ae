package entry

import (
	"cmp"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

var requestIDs = regexp.MustCompile("[0-9a-f]{32}")

func always() bool { return true }

func soundly(u *repeatingUpstream, r *http.Request, _ bool) ([]byte, bool) {
	return u.answerTruly(r), true
}

// callAtMostOnce is the kind of call that must not run twice.
const callAtMostOnce = "plain, at most once"

var callsOfAllKinds = map[string]func(s *simulation) answer{
	"stream":       func(s *simulation) answer { return s.callStream() },
	"not streamed": func(s *simulation) answer { return s.call(http.MethodPost, chatPath, nonStreamingBody) },
	"plain":        func(s *simulation) answer { return s.call(http.MethodGet, "/services/numbers/series/a", "") },
	callAtMostOnce: func(s *simulation) answer {
		return s.callNextNumber(withIdempotencyKey("k"))
	},
}

// Guards against telling "not run" of a request that an upstream ran after it had repeated its refusal of an
// earlier try of the same request, or of another request.
func TestRepeatedRefusalIsNotTakenForTheAnswer(t *testing.T) {
	const other = "another-request"
	refusals := map[string]func(id string) []byte{
		"503":                     func(string) []byte { return refusal(http.StatusServiceUnavailable) },
		"503 with the id":         func(id string) []byte { return refusal(http.StatusServiceUnavailable, id) },
		"503 of another request":  func(string) []byte { return refusal(http.StatusServiceUnavailable, other) },
		"503 with two ids":        func(id string) []byte { return refusal(http.StatusServiceUnavailable, id, other) },
		"503 with other id first": func(id string) []byte { return refusal(http.StatusServiceUnavailable, other, id) },
		"429":                     func(id string) []byte { return refusal(http.StatusTooManyRequests, id) },
		"400":                     func(string) []byte { return refusal(http.StatusBadRequest) },
		"400 of another request":  func(string) []byte { return refusal(http.StatusBadRequest, other) },
		"409 of another start": func(id string) []byte {
			return rawAnswer(http.StatusConflict, nil, announce.HeaderIncarnation+": 7\r\n", id)
		},
		"409 of another start, another request": func(string) []byte {
			return rawAnswer(http.StatusConflict, nil, announce.HeaderIncarnation+": 7\r\n", other)
		},
		"503 after an interim answer": func(id string) []byte {
			return append([]byte("HTTP/1.1 102 Processing\r\n\r\n"), refusal(http.StatusServiceUnavailable, id)...)
		},
	}
	for refusalName, refuse := range refusals {
		for callName, call := range callsOfAllKinds {
			t.Run(refusalName+", "+callName, func(t *testing.T) {
				inSimulation(t, 10_000, func(s *simulation) {
					respond := func(u *repeatingUpstream, r *http.Request, first bool) ([]byte, bool) {
						if _, isQuery := requestIDOf(r); first && !isQuery {
							return refusal(http.StatusServiceUnavailable), true
						}
						return u.answerTruly(r), true
					}
					repeat := func(_ []byte, r *http.Request) []byte {
						id, _ := requestIDOf(r)
						return refuse(id)
					}
					var upstreams []*repeatingUpstream
					for i := range 2 {
						upstreams = append(upstreams, s.addRepeatingUpstream(i, &repeatingUpstream{respond: respond, repeatsLate: always, mangle: repeat}))
					}
					for range 3 {
						s.expectTruth(call(s), upstreams)
					}
				})
			})
		}
	}
}

// Guards against believing, on a new connection, a refusal that carries the id of another request.
func TestRefusalOfAnotherRequestIsNotBelieved(t *testing.T) {
	const other = "another-request"
	for name, refuse := range map[string]func(id string) []byte{
		"another id": func(string) []byte { return refusal(http.StatusServiceUnavailable, other) },
		"two ids":    func(id string) []byte { return refusal(http.StatusServiceUnavailable, id, other) },
		"another start": func(string) []byte {
			return rawAnswer(http.StatusConflict, nil, announce.HeaderIncarnation+": 7\r\n", other)
		},
	} {
		for callName, call := range callsOfAllKinds {
			t.Run(name+", "+callName, func(t *testing.T) {
				inSimulation(t, 10_000, func(s *simulation) {
					var upstreams []*repeatingUpstream
					for i := range 2 {
						upstreams = append(upstreams, s.addRepeatingUpstream(i, &repeatingUpstream{
							respond: func(u *repeatingUpstream, r *http.Request, _ bool) ([]byte, bool) {
								id, isQuery := requestIDOf(r)
								if isQuery {
									return append(rawAnswer(http.StatusOK, []byte(`{"state":"cancelled","incarnation":1}`), "", other), u.answerTruly(r)...), true
								}
								return append(refuse(id), u.answerTruly(r)...), true
							},
						}))
					}
					a := call(s)
					s.expectTruth(a, upstreams)
					if callName == callAtMostOnce {
						s.Expect(totalRuns(a.header.Get(announce.HeaderRequestID), upstreams...)).To(BeNumerically("<=", 1))
					}
				})
			})
		}
	}
}

// expectTruth expects that what a caller was told of its request is what became of it.
func (s *simulation) expectTruth(a answer, upstreams []*repeatingUpstream) {
	s.t.Helper()
	id := a.header.Get(announce.HeaderRequestID)
	ran := totalRuns(id, upstreams...)
	if a.status == http.StatusOK {
		s.Expect(ran).To(BeNumerically(">", 0), "an answer to a request that has not run: %s", a.body)
		s.Expect(requestIDs.FindAllString(a.body, -1)).To(HaveEach(id), "the answer to another request: %s", a.body)
		return
	}
	s.Expect(a.refusal.Outcome == errkind.NotRun && ran > 0).To(BeFalse(), "ran %d times, and the caller was told %s", ran, a.body)
}

// Guards against a second run of a call, elsewhere, on the word of an upstream that repeats what it said of another call.
func TestRepeatedStateOfAnotherCallIsNotTakenForProof(t *testing.T) {
	inSimulation(t, 10_000, func(s *simulation) {
		var calls atomic.Int64
		faulty := s.addRepeatingUpstream(0, &repeatingUpstream{
			repeatsLate: func() bool { return calls.Load() > 1 },
			respond: func(u *repeatingUpstream, r *http.Request, _ bool) ([]byte, bool) {
				id, isQuery := requestIDOf(r)
				if isQuery {
					return u.answerTruly(r), true
				}
				if calls.Add(1) > 1 {
					u.run(id)
				}
				return refusal(http.StatusInternalServerError), true
			},
		})
		sound := s.addRepeatingUpstream(1, &repeatingUpstream{respond: soundly})
		for i := 0; i < 8 || calls.Load() < 2; i++ {
			a := s.callNextNumber(withIdempotencyKey(strconv.Itoa(i)))
			id := a.header.Get(announce.HeaderRequestID)
			s.Expect(totalRuns(id, faulty, sound)).To(Equal(1), "runs of call %d, status %d: %s", i, a.status, a.body)
		}
	})
}

// repeatedAnswerSchedules is the number of random schedules, which the variable SCHEDULES overrides.
const repeatedAnswerSchedules = 1000

// Guards against answers on a connection that belong to an earlier request, at random points.
func TestRepeatedAnswersAtRandomPoints(t *testing.T) {
	schedules, err := strconv.Atoi(cmp.Or(os.Getenv("SCHEDULES"), strconv.Itoa(repeatedAnswerSchedules)))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for seed := range schedules {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			inSeededSimulation(t, 1_000_000, uint64(seed), func(s *simulation) { s.runRepeatedAnswers(uint64(seed)) })
		})
	}
}

func (s *simulation) runRepeatedAnswers(seed uint64) {
	c := newChooser(seed)
	respond := func(u *repeatingUpstream, r *http.Request, _ bool) ([]byte, bool) {
		id, isQuery := requestIDOf(r)
		switch {
		case isQuery && c.oneIn(8):
			return nil, false
		case isQuery:
			return u.answerTruly(r), true
		case c.oneIn(3):
			return refusal(http.StatusServiceUnavailable), true
		case c.oneIn(4) && r.URL.Path == chatPath:
			return refusal(http.StatusTooManyRequests, id), true
		case c.oneIn(6):
			return nil, false
		}
		answer := u.answerTruly(r)
		switch {
		case c.oneIn(6):
			return nil, false
		case c.oneIn(6):
			return answer[:len(answer)-1-c.draw(len(answer)/3)], false
		}
		return answer, true
	}
	mangle := func(repeated []byte, r *http.Request) []byte {
		id, _ := requestIDOf(r)
		switch {
		case c.oneIn(6):
			return refusal(http.StatusServiceUnavailable)
		case c.oneIn(6):
			return refusal(http.StatusServiceUnavailable, id)
		case c.oneIn(8):
			return append([]byte("HTTP/1.1 102 Processing\r\n\r\n"), repeated...)
		}
		return repeated
	}
	var upstreams []*repeatingUpstream
	for i := range 2 {
		upstreams = append(upstreams, s.addRepeatingUpstream(i, &repeatingUpstream{
			respond: respond, mangle: mangle,
			repeatsLate: func() bool { return c.oneIn(2) }, repeatsAtOnce: func() bool { return c.oneIn(4) },
		}))
	}
	var callers sync.WaitGroup
	for caller := range 3 {
		callers.Go(func() {
			for i := range 3 {
				s.callAtRandom(c, fmt.Sprintf("%d/%d", caller, i), upstreams)
			}
		})
	}
	callers.Wait()
}

func (s *simulation) callAtRandom(c *chooser, key string, upstreams []*repeatingUpstream) {
	switch c.draw(3) {
	case 0:
		a := s.callNextNumber(withIdempotencyKey(key))
		s.expectTruth(a, upstreams)
		s.Expect(totalRuns(a.header.Get(announce.HeaderRequestID), upstreams...)).To(BeNumerically("<=", 1), a.body)
	case 1:
		s.expectTruth(s.call(http.MethodGet, "/services/numbers/series/a", ""), upstreams)
	default:
		a := s.callStream()
		s.expectTruth(a, upstreams)
		if whole := wholeStream(a.header.Get(announce.HeaderRequestID)); a.status == http.StatusOK {
			s.Expect(strings.HasPrefix(whole, a.text())).To(BeTrue(), a.body)
			s.Expect(!a.complete() || a.text() == whole).To(BeTrue(), a.body)
		}
	}
}
