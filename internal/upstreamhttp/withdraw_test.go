package upstreamhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

// serveRequest accepts one connection, reads a request from it and passes the connection to respond,
// which must close it.
func serveRequest(t *testing.T, respond func(conn *net.TCPConn, requestRead chan<- struct{})) (address string, requestRead <-chan struct{}) {
	t.Helper()
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	read := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			_ = conn.Close()
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		respond(conn.(*net.TCPConn), read)
	}()
	return l.Addr().String(), read
}

// Guards against charging a prompt that no upstream had begun to answer, and against not charging
// one whose answer had begun.
func TestWithdrawnRequestTellsWhetherTheAnswerHadBegun(t *testing.T) {
	awaitClose := func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }
	for name, test := range map[string]struct {
		respond  func(conn *net.TCPConn, requestRead chan<- struct{})
		notBegun bool
	}{
		"closes when the request is withdrawn": {func(conn *net.TCPConn, read chan<- struct{}) {
			close(read)
			awaitClose(conn)
			_ = conn.Close()
		}, true},
		"resets when the request is withdrawn": {func(conn *net.TCPConn, read chan<- struct{}) {
			close(read)
			awaitClose(conn)
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}, true},
		"has sent a part of the header": {func(conn *net.TCPConn, read chan<- struct{}) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200")
			close(read)
			awaitClose(conn)
			_ = conn.Close()
		}, false},
		"sends the answer that was under way": {func(conn *net.TCPConn, read chan<- struct{}) {
			close(read)
			awaitClose(conn)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			_ = conn.Close()
		}, false},
		"goes on": {func(conn *net.TCPConn, read chan<- struct{}) {
			close(read)
			awaitClose(conn)
			time.Sleep(time.Second)
			_ = conn.Close()
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address, read := serveRequest(t, test.respond)
			ctx, cancel := context.WithCancel(t.Context())
			withdrawnAt := make(chan time.Time, 1)
			go func() {
				<-read
				time.Sleep(20 * time.Millisecond) // what was sent before arrives
				withdrawnAt <- time.Now()
				cancel()
			}()
			prepare := func() *upstreamhttp.Request {
				r := request()
				r.ReportsWithdrawal = true
				return r
			}
			_, err := upstreamhttp.NewClient(upstreamhttp.NewDialer(upstreamhttp.DialTCP).Dial).Do(ctx, address, prepare)
			g.Expect(err).To(MatchError(upstreamhttp.ErrNoAnswer))
			if test.notBegun {
				g.Expect(err).To(MatchError(upstreamhttp.ErrNotBegun))
			} else {
				g.Expect(err).NotTo(MatchError(upstreamhttp.ErrNotBegun))
			}
			g.Expect(time.Since(<-withdrawnAt)).To(BeNumerically("<", 500*time.Millisecond), "the upstream is freed")
		})
	}
}

// Guards against taking a crash of the upstream for a withdrawal.
func TestConnectionThatEndsByItselfIsNoWithdrawal(t *testing.T) {
	g := NewWithT(t)
	address, _ := serveRequest(t, func(conn *net.TCPConn, _ chan<- struct{}) { _ = conn.Close() })
	_, err := do(t, address)
	g.Expect(err).To(MatchError(upstreamhttp.ErrNoAnswer))
	g.Expect(err).NotTo(MatchError(upstreamhttp.ErrNotBegun))
}
