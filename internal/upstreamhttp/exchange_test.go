package upstreamhttp_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

// serveRaw reads one request per connection, answers with the given bytes and then
// closes or resets the connection.
func serveRaw(t *testing.T, answer string, reset bool) (address string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.ReadAll(r.Body)
				requests.Add(1)
				_, _ = io.WriteString(conn, answer)
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return l.Addr().String(), requests
}

func request() *upstreamhttp.Request {
	return &upstreamhttp.Request{Method: "GET", URI: "/a/%2f?b", Host: "a.example", Header: http.Header{}}
}

func do(t *testing.T, address string) (*upstreamhttp.Answer, error) {
	t.Helper()
	answer, err := upstreamhttp.NewClient(upstreamhttp.NewDialer(upstreamhttp.DialTCP).Dial).Do(context.Background(), address, request)
	if err == nil {
		t.Cleanup(answer.Close)
	}
	return answer, err
}

func TestCompleteAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"length":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"chunked":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"unframed":    "HTTP/1.1 200 OK\r\n\r\nok",
		"interim":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"extra bytes": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address, _ := serveRaw(t, answer, false)
			a, err := do(t, address)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(a.ReadBody(10)).To(BeEquivalentTo("ok"))
		})
	}
}

func TestIncompleteAnswersReturnError(t *testing.T) {
	for name, answer := range map[string]string{
		"short length":  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"cut chunk":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
		"no last chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address, _ := serveRaw(t, answer, false)
			a, err := do(t, address)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = a.ReadBody(10)
			g.Expect(err).To(HaveOccurred())
		})
	}
	t.Run("unframed and reset", func(t *testing.T) {
		g := NewWithT(t)
		address, _ := serveRaw(t, "HTTP/1.1 200 OK\r\n\r\nok", true)
		a, err := do(t, address)
		if err == nil {
			_, err = a.ReadBody(10)
		}
		g.Expect(err).To(HaveOccurred())
	})
	t.Run("no answer", func(t *testing.T) {
		g := NewWithT(t)
		address, requests := serveRaw(t, "", false)
		_, err := do(t, address)
		g.Expect(errors.Is(err, upstreamhttp.ErrNoAnswer)).To(BeTrue())
		g.Expect(requests.Load()).To(Equal(int64(1)), "the request must not be resent")
	})
	t.Run("not HTTP", func(t *testing.T) {
		g := NewWithT(t)
		address, _ := serveRaw(t, "garbage garbage\r\n\r\n", false)
		_, err := do(t, address)
		g.Expect(errors.Is(err, upstreamhttp.ErrNoAnswer)).To(BeTrue())
	})
	t.Run("too long", func(t *testing.T) {
		g := NewWithT(t)
		address, _ := serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n01234567890", false)
		a, err := do(t, address)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = a.ReadBody(10)
		g.Expect(err).To(MatchError(upstreamhttp.ErrBodyTooLarge))
	})
}

func TestRefusedConnectionReturnsUnreachableError(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	_, err = do(t, address)
	var unreachable *upstreamhttp.UnreachableError
	g.Expect(errors.As(err, &unreachable)).To(BeTrue())
	g.Expect(errors.Is(err, upstreamhttp.ErrNoAnswer)).To(BeFalse())
}

func TestContextCancelsExchange(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	closed := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = upstreamhttp.NewClient(upstreamhttp.NewDialer(upstreamhttp.DialTCP).Dial).Do(ctx, l.Addr().String(), request)
	g.Expect(errors.Is(err, upstreamhttp.ErrNoAnswer)).To(BeTrue())
	g.Eventually(closed).Should(BeClosed(), "the connection to the upstream is closed")
}

func TestRequestSentUnchanged(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	got := make(chan string, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		got <- strings.Join([]string{r.Method, r.RequestURI, r.Host, r.Header.Get("X-A"), string(body)}, " ")
		_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
	}()
	r := &upstreamhttp.Request{
		Method: "POST", URI: "/a/%2f?b=c", Host: "a.example", Header: http.Header{"X-A": {"1"}}, Body: []byte("body"), HasBody: true,
	}
	answer, err := upstreamhttp.NewClient(upstreamhttp.NewDialer(upstreamhttp.DialTCP).Dial).Do(context.Background(), l.Addr().String(), func() *upstreamhttp.Request { return r })
	g.Expect(err).NotTo(HaveOccurred())
	defer answer.Close()
	g.Expect(<-got).To(Equal("POST /a/%2f?b=c a.example 1 body"))
}

func TestEvents(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("x", 10_000)
	r := upstreamhttp.NewEventReader(strings.NewReader("id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: " + long + "\n\nid: 4\ndata: c"))
	event, err := r.Next()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(*event).To(Equal(upstreamhttp.Event{Raw: []byte("id: 1\ndata: a\n\n"), ID: 1, HasID: true}))
	event, err = r.Next()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(*event).To(Equal(upstreamhttp.Event{Raw: []byte("id:2\r\ndata: b\r\n\r\n"), ID: 2, HasID: true}))
	event, err = r.Next()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(event.HasID).To(BeFalse())
	g.Expect(event.Raw).To(HaveLen(len(long) + len("data: \n\n")))
	_, err = r.Next()
	g.Expect(err).To(MatchError(upstreamhttp.ErrTruncatedEvent))
	_, err = upstreamhttp.NewEventReader(strings.NewReader("")).Next()
	g.Expect(err).To(MatchError(io.EOF))
}

// A line may end just beyond the read buffer, so that its end is read like an empty line.
func TestEventWithLineOfBufferSizeIsWhole(t *testing.T) {
	g := NewWithT(t)
	const bufferSize = 4 << 10
	first := "data: " + strings.Repeat("x", bufferSize-len("data: ")) + "\n"
	r := upstreamhttp.NewEventReader(strings.NewReader(first + "id: 7\n\n"))
	event, err := r.Next()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(event.Raw)).To(Equal(first + "id: 7\n\n"))
	g.Expect(event.ID).To(Equal(int64(7)))
}

// answerConn is the connection to an upstream that answers with given bytes.
type answerConn struct{ io.Reader }

func (answerConn) Write(p []byte) (int, error) { return len(p), nil }
func (answerConn) Close() error                { return nil }

// FuzzAnswer reads arbitrary bytes as the answer of an upstream.
func FuzzAnswer(f *testing.F) {
	const limit = 1 << 10
	for _, head := range []string{
		"Content-Length: 5", "Content-Length: 9223372036854775807", "Content-Length: 9223372036854775808", "Content-Length: -1",
		"Content-Length: 1\r\nContent-Length: 2", "Keep-Alive: timeout=1e999", "Transfer-Encoding: chunked", "Transfer-Encoding: x, chunked",
	} {
		f.Add([]byte("HTTP/1.1 200 OK\r\n" + head + "\r\n\r\nhello"))
	}
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 99999 X\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nhello"))
	f.Fuzz(func(t *testing.T, answer []byte) {
		client := upstreamhttp.NewClient(func(context.Context, string) (io.ReadWriteCloser, error) {
			return answerConn{bytes.NewReader(answer)}, nil
		})
		a, err := client.Do(t.Context(), "10.0.0.1:99999", func() *upstreamhttp.Request { return &upstreamhttp.Request{Method: http.MethodGet, URI: "/"} })
		if err != nil {
			return
		}
		defer a.Close()
		if body, err := a.ReadBody(limit); err == nil && len(body) > min(limit, len(answer)) {
			t.Fatalf("%d bytes of %d", len(body), len(answer))
		}
	})
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("\n\n\r\nid:x\n")
	f.Fuzz(func(t *testing.T, stream string) {
		r := upstreamhttp.NewEventReader(strings.NewReader(stream))
		passed := ""
		for {
			event, err := r.Next()
			if err != nil {
				break
			}
			passed += string(event.Raw)
		}
		if !strings.HasPrefix(stream, passed) {
			t.Fatalf("events %q are not a prefix of the stream %q", passed, stream)
		}
	})
}
