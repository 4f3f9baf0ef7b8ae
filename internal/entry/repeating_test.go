package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
)

const (
	// repeatingIncarnation is the incarnation of repeating upstreams.
	repeatingIncarnation = 1
	// repeatingStreamEvents is the number of events of their streams, without the end marker.
	repeatingStreamEvents = 4
	// repeatPause is the pause between the two pieces of an answer.
	repeatPause = 5 * time.Millisecond
)

// repeatingUpstream is a faulty upstream that may write an answer once more on the same connection. It keeps
// connections open, whatever its client asks for.
type repeatingUpstream struct {
	id string
	// respond returns the answer to a request, which may be the first on its connection, and whether to keep that.
	respond func(u *repeatingUpstream, r *http.Request, first bool) (answer []byte, keep bool)
	// repeatsLate and repeatsAtOnce decide whether the latest answer on a connection is written once more when
	// the next request has arrived, and whether an answer is written twice.
	repeatsLate, repeatsAtOnce func() bool
	// mangle changes an answer that is repeated while r is the latest request.
	mangle func(repeated []byte, r *http.Request) []byte

	mu        sync.Mutex
	ran       map[string]int
	cancelled map[string]bool
}

func (s *simulation) addRepeatingUpstream(n int, u *repeatingUpstream) *repeatingUpstream {
	never := func() bool { return false }
	if u.repeatsLate == nil {
		u.repeatsLate = never
	}
	if u.repeatsAtOnce == nil {
		u.repeatsAtOnce = never
	}
	if u.mangle == nil {
		u.mangle = func(repeated []byte, _ *http.Request) []byte { return repeated }
	}
	u.id, u.ran, u.cancelled = fmt.Sprintf("repeating-%d", n), map[string]int{}, map[string]bool{}
	address := fmt.Sprintf("10.0.3.%d:80", n)
	l, err := s.net.Node(address).Listen(address)
	s.Expect(err).NotTo(HaveOccurred())
	s.cleanups = append(s.cleanups, func() {
		_ = l.Close()
		s.net.Reset(address)
	})
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	s.registry.Apply(announce.Announcement{
		ID: u.id, Incarnation: repeatingIncarnation, Sequence: 1, Address: "http://" + address, Kind: announce.KindEngine, Capacity: 8,
		Services: []announce.ServiceOffer{{Name: "m"}, {Name: "numbers"}}, State: announce.StateServing, ServesRequestState: true,
	}, time.Now())
	return u
}

// serve answers the requests on a connection.
func (u *repeatingUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var earlier []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if earlier != nil && u.repeatsLate() {
			_ = writePieces(conn, u.mangle(earlier, r)) // if that fails, it doesn't notice that its client has left
		}
		answer, keep := u.respond(u, r, earlier == nil)
		if !writePieces(conn, answer) || !keep {
			return
		}
		if u.repeatsAtOnce() && !writePieces(conn, u.mangle(answer, r)) {
			return
		}
		earlier = answer
	}
}

func writePieces(conn net.Conn, data []byte) bool {
	for _, piece := range [][]byte{data[:len(data)/2], data[len(data)/2:]} {
		if _, err := conn.Write(piece); err != nil {
			return false
		}
		time.Sleep(repeatPause)
	}
	return true
}

func (u *repeatingUpstream) run(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ran[id]++
}

func (u *repeatingUpstream) runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[id]
}

func (u *repeatingUpstream) isCancelled(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cancelled[id]
}

// totalRuns returns how often upstreams ran a request.
func totalRuns(id string, upstreams ...*repeatingUpstream) (n int) {
	for _, u := range upstreams {
		n += u.runs(id)
	}
	return n
}

// rawAnswer encodes an answer with each of the ids.
func rawAnswer(status int, body []byte, header string, ids ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s", status, http.StatusText(status), len(body), header)
	for _, id := range ids {
		fmt.Fprintf(&b, "%s: %s\r\n", announce.HeaderRequestID, id)
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// refusal is the answer to a call that is not run.
func refusal(status int, ids ...string) []byte {
	return rawAnswer(status, nil, "Retry-After: 1\r\n", ids...)
}

// requestIDOf returns the id of a call, or of the call that r queries or resumes.
func requestIDOf(r *http.Request) (id string, isQuery bool) {
	id, isQuery = strings.CutPrefix(r.URL.Path, announce.PathRequests)
	if !isQuery {
		return r.Header.Get(announce.HeaderRequestID), false
	}
	id, _, _ = strings.Cut(id, "/")
	return id, true
}

// answerTruly runs a call, or answers a query for one.
func (u *repeatingUpstream) answerTruly(r *http.Request) []byte {
	id, isQuery := requestIDOf(r)
	if isQuery && strings.HasSuffix(r.URL.Path, "/stream") {
		from, _ := strconv.Atoi(r.URL.Query().Get("from"))
		return u.streamAnswer(id, from)
	}
	if isQuery {
		return u.stateAnswer(r.Method, id)
	}
	if u.isCancelled(id) {
		return refusal(http.StatusConflict)
	}
	u.run(id)
	body, _ := io.ReadAll(r.Body)
	switch {
	case r.URL.Path != chatPath:
		return rawAnswer(http.StatusOK, []byte(`{"ran":"`+id+`"}`), "Content-Type: application/json\r\n", id)
	case bytes.Contains(body, []byte(`"stream":true`)):
		return u.streamAnswer(id, 0)
	default:
		return rawAnswer(http.StatusOK, []byte(`{"id":"`+id+`","choices":[{"finish_reason":"stop"}],"usage":{"total_tokens":9}}`),
			"Content-Type: application/json\r\n", id)
	}
}

func (u *repeatingUpstream) stateAnswer(method, id string) []byte {
	u.mu.Lock()
	state := announce.RequestState{State: "unknown", Incarnation: repeatingIncarnation}
	switch {
	case u.ran[id] > 0:
		state.State, state.Status, state.Body, state.Tokens = "done", http.StatusOK, []byte(`{"ran":"`+id+`"}`), 9
	case method == http.MethodDelete:
		u.cancelled[id] = true
		state.State = "cancelled"
	case u.cancelled[id]:
		state.State = "cancelled"
	}
	u.mu.Unlock()
	body, _ := json.Marshal(state)
	return rawAnswer(http.StatusOK, body, "Content-Type: application/json\r\n")
}

// streamAnswer returns the events of a stream that has run, starting with number from.
func (u *repeatingUpstream) streamAnswer(id string, from int) []byte {
	if u.runs(id) == 0 {
		return refusal(http.StatusNotFound)
	}
	var b bytes.Buffer
	for i := from; i < repeatingStreamEvents; i++ {
		finish := "null"
		if i == repeatingStreamEvents-1 {
			finish = `"stop"`
		}
		fmt.Fprintf(&b, "data: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"%s/%d \"},\"finish_reason\":%s}]}\n\n", id, id, i, finish)
	}
	fmt.Fprint(&b, "data: [DONE]\n\n")
	return rawAnswer(http.StatusOK, b.Bytes(), "Content-Type: text/event-stream\r\n", id)
}

// wholeStream returns the text of a whole stream.
func wholeStream(id string) string {
	var b strings.Builder
	for i := range repeatingStreamEvents {
		fmt.Fprintf(&b, "%s/%d ", id, i)
	}
	return b.String()
}

// chooser draws decisions from a seed. It is safe for concurrent use.
type chooser struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newChooser(seed uint64) *chooser { return &chooser{random: rand.New(rand.NewPCG(seed, 1))} }

func (c *chooser) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

func (c *chooser) oneIn(n int) bool { return c.draw(n) == 0 }
