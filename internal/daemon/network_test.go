package daemon

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
)

// serveRepeating serves connections on which the answer to a request, which is the request's body, comes after
// the latest answer once more.
func serveRepeating(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			reader, latest := bufio.NewReader(conn), ""
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				body, err := io.ReadAll(r.Body)
				if err != nil {
					return
				}
				answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				if _, err := io.WriteString(conn, latest+answer); err != nil {
					return
				}
				latest = answer
			}
		}()
	}
}

// Guards against taking the acknowledgement of an earlier order, which the upstream writes once more, for that of a later one.
func TestAnswerToAnEarlierOrderIsNotTakenForThatToALaterOne(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	go serveRepeating(l)
	client := tcpNetwork{}.UpstreamClient()
	for i := range 5 {
		order := fmt.Appendf(nil, "order %d", i)
		resp, err := client.Post("http://"+l.Addr().String()+announce.PathOrders, "application/json", bytes.NewReader(order))
		g.Expect(err).NotTo(HaveOccurred())
		answer, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Body.Close()).To(Succeed())
		g.Expect(string(answer)).To(Equal(string(order)))
	}
}
