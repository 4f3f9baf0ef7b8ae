package upstreamhttp_test

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
	"github.com/uber-go/tally/v4"

	"github.com/godwitbend/godwitbend/internal/fake"
	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

const (
	// hostMemory is the memory of a small gateway host, in bytes, answersMemory the half of it that answers may take, and
	// hostSoftLimit and hostGCPercent are what the runtime of its process is set to.
	hostMemory    = 112 << 20
	answersMemory = hostMemory / 2
	hostSoftLimit = hostMemory / 10 * 7
	hostGCPercent = 50
	// manyAnswers is the number of answers that are read at once.
	manyAnswers = 100
	// largeBodyLimit bounds the body of an answer at a gateway, in bytes.
	largeBodyLimit = 4 << 20
	// heldTimeout is the deadline of requests whose answers don't end, and lateness how much later they may end.
	heldTimeout = 2 * time.Second
	lateness    = 2 * time.Second
	// soundTimeout is the deadline of requests whose answers are large and sound.
	soundTimeout = 30 * time.Second
)

// limitMemory sets the process up as that of a small gateway host until the test ends.
func limitMemory(t *testing.T) {
	softLimit, gcPercent := debug.SetMemoryLimit(hostSoftLimit), debug.SetGCPercent(hostGCPercent)
	t.Cleanup(func() {
		debug.SetMemoryLimit(softLimit)
		debug.SetGCPercent(gcPercent)
	})
}

// serveBytes answers each request with parts and then neither sends nor closes until the client closes the connection.
func serveBytes(t *testing.T, parts ...string) (address string) {
	sent := []byte(strings.Join(parts, "")) // once for all connections
	return serveConnections(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := conn.Write(sent); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, reader)
	})
}

// newClient returns a client whose attempts to connect have no timeout but that of the request.
func newClient() *upstreamhttp.Client {
	return upstreamhttp.NewClient(func(ctx context.Context, address string) (io.ReadWriteCloser, error) {
		return new(net.Dialer).DialContext(ctx, "tcp4", address)
	})
}

// readWith sends a request with client and reads the answer as a gateway does.
func readWith(ctx context.Context, client *upstreamhttp.Client, address string, stream bool) ([]byte, error) {
	answer, err := client.Do(ctx, address, request)
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	if !stream {
		return answer.ReadBody(largeBodyLimit)
	}
	events := upstreamhttp.NewEventReader(answer.Body)
	for {
		if _, err := events.Next(); err != nil {
			return nil, err
		}
	}
}

// manyHeaderFields returns a header of about size bytes whose fields are as short as possible.
func manyHeaderFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		_, _ = fmt.Fprintf(&b, "A%x:\n", i)
	}
	return b.String()
}

// Guards against running out of memory by many answers that are each within their limits.
func TestManyAnswersJustUnderTheLimitsFitIntoMemory(t *testing.T) {
	const ok, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	body := strings.Repeat("x", largeBodyLimit-1)
	event := "data: " + strings.Repeat("x", 1<<20-100)
	fields := manyHeaderFields(64<<10 - 200)
	for name, test := range map[string]struct {
		parts  []string
		stream bool
	}{
		"body with a length":    {parts: []string{ok, fmt.Sprintf("Content-Length: %d\r\n\r\n", largeBodyLimit), body}},
		"body without a length": {parts: []string{ok, "\r\n", body}},
		"body in chunks":        {parts: []string{chunked, fmt.Sprintf("%x\r\n", len(body)), body, "\r\n"}},
		"body of a failure":     {parts: []string{"HTTP/1.1 500 Internal Server Error\r\n\r\n", body}},
		"event":                 {parts: []string{ok, "\r\n", event}, stream: true},
		"second event":          {parts: []string{ok, "\r\ndata: 1\n\n", event}, stream: true},
		"header fields":         {parts: []string{ok, fields}},
		"header":                {parts: []string{ok, fields, "\r\n", "x"}},
		"header and body":       {parts: []string{ok, fields, "\r\n", body}},
		"interim answers":       {parts: []string{"HTTP/1.1 102 Processing\r\n", fields, "\r\n"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			limitMemory(t)
			address, client := serveBytes(t, test.parts...), newClient()
			var took time.Duration
			peak := fake.PeakHeap(func() {
				ctx, cancel := context.WithTimeout(t.Context(), heldTimeout)
				defer cancel()
				started := time.Now()
				var exchanges sync.WaitGroup
				for range manyAnswers {
					exchanges.Go(func() {
						if _, err := readWith(ctx, client, address, test.stream); err == nil {
							t.Error("an answer without an end must not look complete")
						}
					})
				}
				exchanges.Wait()
				took = time.Since(started)
			})
			t.Logf("peak heap %d MB, %v", peak>>20, took)
			g.Expect(peak).To(BeNumerically("<", answersMemory))
			g.Expect(took).To(BeNumerically("<", heldTimeout+lateness))
		})
	}
}

// Guards against failing sound answers for the sake of memory that becomes free in time.
func TestManyLargeAnswersAreReadInTurn(t *testing.T) {
	body := strings.Repeat("x", largeBodyLimit-1)
	for name, parts := range map[string][]string{
		"with a length": {"HTTP/1.1 200 OK\r\n", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body},
		"in chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n", len(body)), body, "\r\n0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			limitMemory(t)
			address, client := serveBytes(t, parts...), newClient()
			peak := fake.PeakHeap(func() {
				ctx, cancel := context.WithTimeout(t.Context(), soundTimeout)
				defer cancel()
				var exchanges sync.WaitGroup
				for range manyAnswers {
					exchanges.Go(func() {
						if got, err := readWith(ctx, client, address, false); err != nil || len(got) != len(body) {
							t.Errorf("%d bytes read, error %v", len(got), err)
						}
					})
				}
				exchanges.Wait()
			})
			t.Logf("peak heap %d MB", peak>>20)
			g.Expect(peak).To(BeNumerically("<", answersMemory))
		})
	}
}

// Guards against a faulty upstream's large answers that hold up the answers of others.
func TestSmallAnswersPassWhileLargeOnesHoldAllMemory(t *testing.T) {
	g := NewWithT(t)
	limitMemory(t)
	faulty := serveBytes(t, "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", largeBodyLimit-1))
	small := strings.Repeat("y", 32<<10)
	sound := serveBytes(t, "HTTP/1.1 200 OK\r\nContent-Length: 32768\r\n\r\n", small)
	client := newClient()
	ctx, cancel := context.WithCancel(t.Context())
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	defer cancel()
	for range manyAnswers {
		exchanges.Go(func() { _, _ = readWith(ctx, client, faulty, false) })
	}
	time.Sleep(500 * time.Millisecond) // the faulty answers take what they can
	for range manyAnswers {
		started := time.Now()
		soundCtx, cancelSound := context.WithTimeout(t.Context(), heldTimeout)
		got, err := readWith(soundCtx, client, sound, false)
		cancelSound()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(got) == small).To(BeTrue())
		g.Expect(time.Since(started)).To(BeNumerically("<", time.Second))
	}
}

// Guards against places that are held beyond the deadline by an upstream that sends a byte now and then.
func TestTricklingAnswersEndAtTheDeadline(t *testing.T) {
	const ok, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct {
		first, repeated string
		stream          bool
	}{
		"status line":     {first: "HTTP/1.1 200 ", repeated: "x"},
		"header field":    {first: ok + "X: ", repeated: "x"},
		"header fields":   {first: ok, repeated: "X: y\r\n"},
		"interim answers": {repeated: "HTTP/1.1 102 Processing\r\n\r\n"},
		"body":            {first: ok + "\r\n", repeated: "x"},
		"framed body":     {first: ok + "Content-Length: 100000\r\n\r\n", repeated: "x"},
		"chunks":          {first: chunked, repeated: "1\r\nx\r\n"},
		"chunk extension": {first: chunked + "1;", repeated: "x"},
		"trailer":         {first: chunked + "0\r\nX: ", repeated: "x"},
		"event":           {first: ok + "\r\ndata: ", repeated: "x", stream: true},
		"comments":        {first: ok + "\r\n", repeated: ": x\n\n", stream: true},
		"events":          {first: ok + "\r\n", repeated: "data: x\n\n", stream: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			closed := make(chan struct{})
			address := serveConnections(t, func(conn net.Conn) {
				defer close(closed)
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, test.first)
				for err == nil {
					time.Sleep(20 * time.Millisecond)
					_, err = io.WriteString(conn, test.repeated)
				}
			})
			const timeout = 300 * time.Millisecond
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			started := time.Now()
			_, err := readWith(ctx, newClient(), address, test.stream)
			g.Expect(err).To(HaveOccurred())
			g.Expect(time.Since(started)).To(BeNumerically("<", timeout+lateness))
			g.Eventually(closed, lateness).Should(BeClosed(), "the connection is not held")
		})
	}
}

// Guards against reading on after the end of an answer.
func TestBytesAfterAWholeAnswerAreNotRead(t *testing.T) {
	for name, first := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"in chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address, closed := serveEndless(t, first, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
			ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
			defer cancel()
			got, err := readWith(ctx, newClient(), address, false)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(got)).To(Equal("ok"))
			g.Eventually(closed, endlessTimeout).Should(BeClosed())
		})
	}
}

// Guards against limits that take effect without a trace.
func TestAnswersOverALimitAreCounted(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for limit, test := range map[string]struct {
		first, repeated string
		stream          bool
	}{
		"head":   {first: ok + "X: ", repeated: "x"},
		"body":   {first: ok + "\r\n", repeated: "x"},
		"event":  {first: ok + "\r\ndata: ", repeated: "x", stream: true},
		"filler": {first: ok + "\r\n", repeated: ": x\n\n", stream: true},
	} {
		t.Run(limit, func(t *testing.T) {
			scope := tally.NewTestScope("", nil)
			address, _ := serveEndless(t, test.first, test.repeated)
			ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
			defer cancel()
			_, err := readWith(ctx, newClient().Instrument(scope), address, test.stream)
			g := NewWithT(t)
			g.Expect(err).To(HaveOccurred())
			counter := scope.Snapshot().Counters()["answers_over_limit+limit="+limit]
			g.Expect(counter).NotTo(BeNil())
			g.Expect(counter.Value()).To(BeEquivalentTo(1))
		})
	}
}
