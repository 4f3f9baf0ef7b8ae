package upstreamhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against small answers that wait for memory which large ones hold, as their header arrived in two parts.
func TestSmallAnswerWhoseHeaderArrivesInPartsDoesNotWait(t *testing.T) {
	softLimit := debug.SetMemoryLimit(60 << 20)
	defer debug.SetMemoryLimit(softLimit)
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), heldTimeout)
	defer cancel()
	large := serveBytes(t, "HTTP/1.1 200 OK\r\n", strings.Repeat("a:\n", (60<<10)/3), "\r\n")
	client := newClient()
	for range 12 { // they hold or await all memory until their end
		go func() {
			if answer, err := client.Do(ctx, large, request); err == nil {
				<-ctx.Done()
				answer.Close()
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	answer, err := client.Do(ctx, serveParts(t, "HTTP/1.1 200 OK\r\nContent-Length: 8192\r\n", "\r\n"+strings.Repeat("x", 8192)), request)
	g.Expect(err).NotTo(HaveOccurred())
	defer answer.Close()
	_, err = answer.ReadBody(1 << 20)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(time.Since(began)).To(BeNumerically("<", heldTimeout/2))
}

// serveParts answers a request on each connection with parts that arrive apart.
func serveParts(t *testing.T, parts ...string) (address string) {
	t.Helper()
	return serveConnections(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		for _, part := range parts {
			_, _ = io.WriteString(conn, part)
			time.Sleep(50 * time.Millisecond)
		}
	})
}
