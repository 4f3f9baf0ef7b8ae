package upstreamhttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

// answerAndWait returns a function that answers a request, and closes the connection once the other end has done so or after a time.
func answerAndWait(answer string) func(conn net.Conn) {
	return func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer)
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		_, _ = io.Copy(io.Discard, reader)
	}
}

// Guards against an answer whose status is none, and against taking its body for the answer or waiting for another one.
func TestAnswerWithAnInvalidStatusIsNone(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range []string{"000", "001", "099", "+99", "101", "600", "999"} {
		for name, body := range map[string]string{"of its own": "hello", "that looks like an answer": inner} {
			t.Run(status+" with a body "+name, func(t *testing.T) {
				g := NewWithT(t)
				client := upstreamhttp.NewClient(upstreamhttp.NewDialer(upstreamhttp.DialTCP).Dial)
				address := serveConnections(t, answerAndWait(fmt.Sprintf("HTTP/1.1 %s Trouble\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)))
				began := time.Now()
				answer, err := client.Do(t.Context(), address, request)
				g.Expect(err).To(MatchError(upstreamhttp.ErrNoAnswer))
				g.Expect(answer).To(BeNil())
				g.Expect(time.Since(began)).To(BeNumerically("<", time.Second), "the connection stays open for longer")
			})
		}
	}
}

// Guards against failing requests whose upstream announces its answer by interim ones.
func TestInterimAnswersComeBeforeTheAnswer(t *testing.T) {
	g := NewWithT(t)
	client := upstreamhttp.NewClient(upstreamhttp.NewDialer(upstreamhttp.DialTCP).Dial)
	interim := strings.Repeat("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 3)
	address := serveConnections(t, answerAndWait(interim+"HTTP/1.1 599 Late\r\nContent-Length: 2\r\n\r\nok"))
	answer, err := client.Do(t.Context(), address, request)
	g.Expect(err).NotTo(HaveOccurred())
	defer answer.Close()
	g.Expect(answer.StatusCode).To(Equal(599))
	g.Expect(answer.ReadBody(bodyLimit)).To(BeEquivalentTo("ok"))
}
