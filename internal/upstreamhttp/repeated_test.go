package upstreamhttp_test

import (
	"fmt"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/fake"
	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

// serveConnections passes each connection to serve, which must close it.
func serveConnections(t *testing.T, serve func(conn net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// Guards against taking what an upstream writes on a connection after its answer for the answer to the next request.
func TestAnswersAreThoseOfTheirOwnRequests(t *testing.T) {
	const requests = 200
	address := serveConnections(t, fake.RepeatAnswers)
	client := upstreamhttp.NewClient(upstreamhttp.NewDialer(upstreamhttp.DialTCP).Dial)
	g := NewWithT(t)
	for i := range requests {
		r := request()
		r.Body, r.HasBody = fmt.Appendf(nil, "request %d", i), true
		answer, err := client.Do(t.Context(), address, func() *upstreamhttp.Request { return r })
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.ReadBody(bodyLimit)).To(Equal(r.Body))
		answer.Close()
	}
}
