package ordersender

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
)

// Guards against an order that an upstream holds beyond the lease by a reply that trickles.
func TestTricklingReplyEndsWithTheLease(t *testing.T) {
	const lease, lateness = 300 * time.Millisecond, 2 * time.Second
	for name, first := range map[string]string{"head": "HTTP/1.1 200 OK\r\nX: ", "body": "HTTP/1.1 200 OK\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if _, err = http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, err = io.WriteString(conn, first)
				}
				for ; err == nil; time.Sleep(20 * time.Millisecond) {
					_, err = io.WriteString(conn, "x")
				}
			}()
			ctx, cancel := context.WithTimeout(t.Context(), lease)
			defer cancel()
			started := time.Now()
			s := New(Options{Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}})
			_, _, err = s.post(ctx, "http://"+l.Addr().String(), announce.Order{ID: "o"})
			g.Expect(err).To(HaveOccurred())
			g.Expect(time.Since(started)).To(BeNumerically("<", lease+lateness))
		})
	}
}
