package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/fake"
)

const (
	// hostMemory is the memory of a small host, in bytes, and answersMemory the half of it that answers may take.
	hostMemory    = 112 << 20
	answersMemory = hostMemory / 2
	// manyCalls is the number of calls that are made at once.
	manyCalls = 60
	// endlessBytes is what an upstream sends at most, so that a host without bounds doesn't take all memory of the machine.
	endlessBytes = 128 << 20
	// answerLimit is longer than any call may take that is answered by faulty upstreams.
	answerLimit = time.Minute
	capacity    = 1000
	tokens      = 1_000_000
)

// faultyAnswer is an answer that never ends by itself.
type faultyAnswer struct {
	// head returns what is sent first for a request id, and once follows it.
	head func(id string) string
	once []byte
	// repeated is sent again and again, up to endlessBytes, or every pause for twice answerLimit. If it is empty nothing
	// more is sent.
	repeated string
	pause    time.Duration
}

// addFaultyUpstream starts an upstream of service that gives each request the same answer.
func (s *simulation) addFaultyUpstream(service string, f faultyAnswer) {
	const address = "10.0.3.1:80"
	l, err := s.net.Node(address).Listen(address)
	s.Expect(err).NotTo(HaveOccurred())
	s.cleanups = append(s.cleanups, func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go f.send(conn)
		}
	}()
	s.registry.Apply(announce.Announcement{
		ID: "faulty", Incarnation: 1, Sequence: 1, Address: "http://" + address, Kind: announce.KindEngine, Capacity: capacity,
		Services: []announce.ServiceOffer{{Name: service}}, State: announce.StateServing,
	}, time.Now())
}

func (f *faultyAnswer) send(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	if err == nil {
		_, err = io.WriteString(conn, f.head(r.Header.Get(announce.HeaderRequestID)))
	}
	if err == nil {
		_, err = conn.Write(f.once)
	}
	switch {
	case err != nil:
	case f.repeated == "":
		_, _ = conn.Read(make([]byte, 1))
	case f.pause > 0:
		for end := time.Now().Add(2 * answerLimit); err == nil && time.Now().Before(end); time.Sleep(f.pause) {
			_, err = io.WriteString(conn, f.repeated)
		}
	default:
		block := []byte(strings.Repeat(f.repeated, 1+(16<<10)/len(f.repeated)))
		for sent := 0; err == nil && sent < endlessBytes; sent += len(block) {
			_, err = conn.Write(block)
		}
	}
}

// callsOfFaulty are the calls that the faulty upstreams of these tests answer.
var callsOfFaulty = map[string]func(s *simulation) answer{
	"m":       func(s *simulation) answer { return s.callStream() },
	"numbers": func(s *simulation) answer { return s.call(http.MethodGet, "/services/numbers/series/a", "") },
	"whole":   func(s *simulation) answer { return s.call(http.MethodPost, chatPath, nonStreamingBody) },
}

// callManyTimes makes n calls at once and returns the peak of the heap. Each call must end within answerLimit, without
// an answer that looks complete.
func callManyTimes(t *testing.T, kind string, n int, f faultyAnswer) uint64 {
	softLimit, gcPercent := debug.SetMemoryLimit(hostMemory/10*7), debug.SetGCPercent(50)
	defer func() {
		debug.SetMemoryLimit(softLimit)
		debug.SetGCPercent(gcPercent)
	}()
	return fake.PeakHeap(func() {
		inSimulation(t, tokens, func(s *simulation) {
			all := records()
			for i := range all {
				if all[i].Kind == config.KindCaller {
					all[i].Spec = []byte(strings.Replace(string(all[i].Spec), `"max_concurrent":4`, `"max_concurrent":1000`, 1))
				}
			}
			s.view = config.NewView(all, 1)
			s.Expect(s.view.Faults()).To(BeEmpty())
			service := "m"
			if kind == "numbers" {
				service = "numbers"
			}
			s.addFaultyUpstream(service, f)
			started := time.Now()
			var calls sync.WaitGroup
			for range n {
				calls.Go(func() {
					if a := callsOfFaulty[kind](s); a.status == http.StatusOK && (a.complete() || kind != "m") {
						t.Errorf("an endless answer looks complete: %.200s", a.body)
					}
				})
			}
			calls.Wait()
			s.Expect(time.Since(started)).To(BeNumerically("<", answerLimit))
		})
	})
}

func okWith(more string) func(id string) string {
	return func(id string) string {
		return "HTTP/1.1 200 OK\r\n" + announce.HeaderRequestID + ": " + id + "\r\n" + more
	}
}

func nothing(string) string { return "" }

const (
	events       = "Content-Type: text/event-stream\r\n\r\n"
	finalEvent   = `data: {"id":"a","choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	emptyEvent   = `data: {"id":"a","choices":[]}` + "\n\n"
	roleEvent    = `data: {"id":"a","choices":[{"delta":{"role":"assistant"}}]}` + "\n\n"
	interimReply = "HTTP/1.1 102 Processing\r\n\r\n"
)

// endlessAnswers are the answers of faulty upstreams, by kind of call and what has no end.
var endlessAnswers = map[string]faultyAnswer{
	"m, no answer":           {head: nothing, repeated: "x"},
	"m, header field":        {head: okWith("X: "), repeated: "x"},
	"m, header fields":       {head: okWith(""), repeated: "X:\r\n"},
	"m, interim answers":     {head: nothing, repeated: interimReply},
	"whole, body":            {head: okWith("\r\n"), repeated: "x"},
	"whole, list of choices": {head: okWith("\r\n" + `{"choices":[{}`), repeated: ",{}"},
	"numbers, body":          {head: okWith("\r\n"), repeated: "x"},
	"m, event":               {head: okWith(events + "data: "), repeated: "x"},
	"m, comments":            {head: okWith(events), repeated: ": x\n\n"},
	"m, fields":              {head: okWith(events), repeated: "id: 1\n"},
	"m, final events":        {head: okWith(events), repeated: strings.Replace(finalEvent, "{", `{"padding":"`+strings.Repeat("x", 4<<10)+`",`, 1)},
}

// eventsWithoutOutput are streams that never tell anything.
var eventsWithoutOutput = map[string]faultyAnswer{
	"m, events without choice": {head: okWith(events), repeated: emptyEvent},
	"m, events without output": {head: okWith(events), repeated: roleEvent},
}

func kindOf(name string) string {
	kind, _, _ := strings.Cut(name, ",")
	return kind
}

// Guards against a host that runs out of memory because an upstream's answer has no end.
func TestEndlessAnswersOfUpstreamsAreGivenUp(t *testing.T) {
	for name, f := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			peak := callManyTimes(t, kindOf(name), 1, f)
			t.Logf("peak heap %d MB", peak>>20)
			NewWithT(t).Expect(peak).To(BeNumerically("<", answersMemory))
		})
	}
}

// Guards against calls that an upstream holds for ever by sending a byte now and then.
func TestTricklingAnswersOfUpstreamsEnd(t *testing.T) {
	for _, answers := range []map[string]faultyAnswer{endlessAnswers, eventsWithoutOutput} {
		for name, f := range answers {
			t.Run(name, func(t *testing.T) {
				f.pause = time.Second
				callManyTimes(t, kindOf(name), 1, f)
			})
		}
	}
}

// Guards against running out of memory by many answers that are each within their limits.
func TestManyAnswersOfUpstreamsFitIntoMemory(t *testing.T) {
	body := []byte(strings.Repeat("x", defaultAnswerBytes-1))
	var fields strings.Builder
	for i := 0; fields.Len() < maxEventBytes/4; i++ {
		_, _ = fmt.Fprintf(&fields, `"%x":1,`, i)
	}
	for name, f := range map[string]faultyAnswer{
		"whole, body":         {head: okWith("\r\n"), once: body},
		"numbers, body":       {head: okWith("\r\n"), once: body},
		"whole, choices":      {head: okWith("\r\n"), once: []byte(`{"choices":[` + strings.Repeat("{},", (defaultAnswerBytes-100)/3) + `{}]}`)},
		"m, event":            {head: okWith(events), once: []byte("data: " + strings.Repeat("x", maxEventBytes-100))},
		"m, event of choices": {head: okWith(events), once: []byte(`data: {"id":"a","choices":[` + strings.Repeat("{},", (maxEventBytes-200)/3) + "{}]}\n\n")},
		"m, event of fields":  {head: okWith(events), once: []byte(`data: {"id":"a","choices":[{"delta":{` + fields.String() + `"z":1}}],"error":{}}` + "\n\n")},
		"m, header field":     {head: okWith("X: "), once: body},
	} {
		t.Run(name, func(t *testing.T) {
			peak := callManyTimes(t, kindOf(name), manyCalls, f)
			t.Logf("peak heap %d MB", peak>>20)
			NewWithT(t).Expect(peak).To(BeNumerically("<", answersMemory))
		})
	}
}

// Guards against a reply to a query that takes all memory.
func TestEndlessRepliesToQueriesAreGivenUp(t *testing.T) {
	peak := fake.PeakHeap(func() {
		inSimulation(t, 0, func(s *simulation) {
			s.addFaultyUpstream("m", faultyAnswer{head: func(string) string { return "HTTP/1.1 200 OK\r\n\r\n{\"state\":\"" }, repeated: "x"})
			c := newUpstreamClient(s.net.newClient("host"), newMemoryBudget(Limits{}.withDefaults()), defaultAnswerBytes)
			var queries sync.WaitGroup
			for range manyCalls {
				queries.Go(func() {
					if _, err := c.tokenize(context.Background(), "http://10.0.3.1:80", []byte("{}")); err == nil {
						t.Error("an endless reply looks complete")
					}
				})
			}
			queries.Wait()
		})
	})
	t.Logf("peak heap %d MB", peak>>20)
	NewWithT(t).Expect(peak).To(BeNumerically("<", answersMemory))
}
