package daemon

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/fake"
)

// Guards against taking the acknowledgement of an earlier order, which the upstream writes once more, for that of a later one.
func TestAnswerToAnEarlierOrderIsNotTakenForThatToALaterOne(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go fake.RepeatAnswers(conn)
		}
	}()
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
