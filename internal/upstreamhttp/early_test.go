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

	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

// longBodyBytes is the size of a body that doesn't fit the buffers of a connection.
const longBodyBytes = 32 << 20

// Guards against waiting until the deadline, and then not knowing, where an upstream refused a request without reading its body.
func TestRefusalThatComesBeforeTheBodyIsSentIsReturnedAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		refusal string
		closes  bool
	}{
		"keeps the connection":    {refusal: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
		"closes the connection":   {refusal: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", closes: true},
		"after an interim answer": {refusal: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			closed := make(chan struct{})
			address := serveConnections(t, func(conn net.Conn) {
				defer close(closed)
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				if _, err := io.WriteString(conn, test.refusal); err != nil || test.closes {
					return
				}
				time.Sleep(500 * time.Millisecond)
				_, _ = io.Copy(io.Discard, reader)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			started := time.Now()
			answer, err := upstreamhttp.NewClient(upstreamhttp.NewDialer(upstreamhttp.DialTCP).Dial).Do(ctx, address, func() *upstreamhttp.Request {
				return &upstreamhttp.Request{Method: "POST", URI: "/", Host: "a.example", Header: http.Header{}, Body: make([]byte, longBodyBytes), HasBody: true}
			})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
			g.Expect(time.Since(started)).To(BeNumerically("<", 400*time.Millisecond))
			answer.Close()
			g.Eventually(closed, 2*time.Second).Should(BeClosed(), "the rest of the body isn't sent")
		})
	}
}

// Guards against a body that is cut off once the answer has begun.
func TestBodyIsSentToTheEndWhileTheAnswerArrives(t *testing.T) {
	g := NewWithT(t)
	read := make(chan int64, 1)
	address := serveConnections(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
		n, _ := io.Copy(io.Discard, r.Body)
		read <- n
		_, _ = io.WriteString(conn, "ok")
	})
	body := []byte(strings.Repeat("x", longBodyBytes))
	answer, err := upstreamhttp.NewClient(upstreamhttp.NewDialer(upstreamhttp.DialTCP).Dial).Do(t.Context(), address, func() *upstreamhttp.Request {
		return &upstreamhttp.Request{Method: "POST", URI: "/", Host: "a.example", Header: http.Header{}, Body: body, HasBody: true}
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer answer.Close()
	g.Expect(answer.ReadBody(bodyLimit)).To(BeEquivalentTo("ok"))
	g.Expect(<-read).To(BeEquivalentTo(longBodyBytes))
}
