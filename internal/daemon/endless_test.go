package daemon

import (
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/fake"
)

const (
	// answersMemory is half of the memory of a small host, in bytes, and manyOrders the number of orders sent at once.
	answersMemory = 112 << 20 / 2
	manyOrders    = 60
	// replyBytes is how much of a reply is read, and endlessTimeout how long it may take.
	replyBytes     = 4 << 10
	endlessTimeout = 20 * time.Second
)

// Guards against a control host that runs out of memory by the replies of upstreams to orders.
func TestEndlessRepliesToOrdersAreGivenUp(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(50))
	for name, test := range map[string]struct{ first, repeated string }{
		"header field":    {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header fields":   {"HTTP/1.1 200 OK\r\n", "X:\r\n"},
		"interim answers": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"body":            {"HTTP/1.1 200 OK\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = l.Close() }()
			block := []byte(strings.Repeat(test.repeated, 1+4096/len(test.repeated)))
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer func() { _ = conn.Close() }()
						_, err := io.WriteString(conn, test.first)
						for err == nil {
							_, err = conn.Write(block)
						}
					}()
				}
			}()
			client := tcpNetwork{}.UpstreamClient()
			client.Timeout = endlessTimeout
			started := time.Now()
			peak := fake.PeakHeap(func() {
				var orders sync.WaitGroup
				for range manyOrders {
					orders.Go(func() {
						resp, err := client.Post("http://"+l.Addr().String()+announce.PathOrders, "application/json", http.NoBody)
						if err == nil {
							_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, replyBytes))
							_ = resp.Body.Close()
						}
					})
				}
				orders.Wait()
			})
			t.Logf("peak heap %d MB, %v", peak>>20, time.Since(started))
			g.Expect(peak).To(BeNumerically("<", answersMemory))
			g.Expect(time.Since(started)).To(BeNumerically("<", endlessTimeout), "they are given up before the deadline")
		})
	}
}
