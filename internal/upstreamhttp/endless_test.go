package upstreamhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/fake"
	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

const (
	// endlessTimeout bounds the time in which an endless answer must be given up.
	endlessTimeout = 5 * time.Second
	// endlessMemory bounds the heap that an endless answer may take, in bytes.
	endlessMemory = 16 << 20
	bodyLimit     = 1 << 20
)

// serveEndless answers each request with first and then with repeated until the client
// closes the connection.
func serveEndless(t *testing.T, first, repeated string) (address string, closed chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	closed = make(chan struct{})
	block := strings.Repeat(repeated, 1+4096/len(repeated))
	go func() {
		defer close(closed)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		if _, err := io.WriteString(conn, first); err != nil {
			return
		}
		for {
			if _, err := io.WriteString(conn, block); err != nil {
				return
			}
		}
	}()
	return l.Addr().String(), closed
}

// readAnswer reads an answer as a gateway does, and returns the error that ends it.
func readAnswer(ctx context.Context, address string, stream bool) error {
	answer, err := upstreamhttp.NewClient(upstreamhttp.NewDialer(upstreamhttp.DialTCP).Dial).Do(ctx, address, request)
	if err != nil {
		return err
	}
	defer answer.Close()
	if !stream {
		_, err := answer.ReadBody(bodyLimit)
		return err
	}
	events := upstreamhttp.NewEventReader(answer.Body)
	for {
		if _, err := events.Next(); err != nil {
			return err
		}
	}
}

// Bytes that are no answer may come without end.
func TestEndlessAnswersAreGivenUp(t *testing.T) {
	const ok, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct {
		first, repeated string
		stream          bool
	}{
		"status line":         {first: "HTTP/1.1 200 ", repeated: "x"},
		"no line at all":      {repeated: "x"},
		"header field":        {first: ok + "X: ", repeated: "x"},
		"header fields":       {first: ok, repeated: "X: y\r\n"},
		"interim answers":     {repeated: "HTTP/1.1 102 Processing\r\n\r\n"},
		"unframed body":       {first: ok + "\r\n", repeated: "x"},
		"chunks":              {first: chunked, repeated: "1\r\nx\r\n"},
		"chunk extension":     {first: chunked + "1;", repeated: "x"},
		"chunk extensions":    {first: chunked, repeated: "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		"trailers":            {first: chunked + "0\r\n", repeated: "X: y\r\n"},
		"event line":          {first: ok + "\r\ndata: ", repeated: "x", stream: true},
		"event lines":         {first: ok + "\r\n", repeated: "data: x\n", stream: true},
		"empty lines":         {first: ok + "\r\n", repeated: "\n", stream: true},
		"comments":            {first: ok + "\r\n", repeated: ": x\n\n", stream: true},
		"comment":             {first: ok + "\r\n: ", repeated: "x", stream: true},
		"empty lines, framed": {first: chunked, repeated: "1\r\n\n\r\n", stream: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address, closed := serveEndless(t, test.first, test.repeated)
			ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
			defer cancel()
			var err error
			peak := fake.PeakHeap(func() { err = readAnswer(ctx, address, test.stream) })
			g.Expect(err).To(HaveOccurred())
			g.Expect(err).NotTo(MatchError(io.EOF), "an endless stream must not look complete")
			g.Expect(ctx.Err()).NotTo(HaveOccurred(), "it is given up before the deadline")
			g.Expect(peak).To(BeNumerically("<", endlessMemory))
			g.Eventually(closed, endlessTimeout).Should(BeClosed())
		})
	}
}
