package netconn_test

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/netconn"
)

// Guards against a connection that is cut because its peer leaves a request unread that came in several writes, as
// through a tunnel, the last of them short.
func TestPeerThatAnswersMayLeaveARequestOfSeveralWritesUnread(t *testing.T) {
	const unackedTimeout, parts, pause = time.Second, 30, 100 * time.Millisecond
	g := NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	go func() {
		peer, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = peer.Close() }()
		_ = peer.(*net.TCPConn).SetReadBuffer(4 << 10)
		time.Sleep(pause) // both writes are over
		for range parts {
			_, _ = io.WriteString(peer, "x")
			time.Sleep(pause)
		}
		_ = peer.(*net.TCPConn).CloseWrite()
		time.Sleep(pause)
	}()
	dialled, err := netconn.Dial(t.Context(), listener.Addr().String(), time.Second, unackedTimeout)
	g.Expect(err).NotTo(HaveOccurred())
	conn := netconn.ForExchange(dialled)
	defer func() { _ = conn.Close() }()
	for _, size := range []int{256 << 10, 1 << 10} {
		_, err := conn.Write(make([]byte, size))
		g.Expect(err).NotTo(HaveOccurred())
	}
	received, err := io.ReadAll(conn)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received).To(HaveLen(parts))
}
