package netconn

import (
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a reset that looks like an end in order while the write that it breaks has not returned yet.
func TestResetCountsBeforeTheWriteReturns(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(peer *net.TCPConn)
		want error
	}{
		"reset":        {func(peer *net.TCPConn) { _ = peer.SetLinger(0); _ = peer.Close() }, syscall.ECONNRESET},
		"end in order": {func(peer *net.TCPConn) { _ = peer.CloseWrite() }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = listener.Close() }()
			conn, err := net.Dial("tcp4", listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			peer, err := listener.Accept()
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = peer.Close() }()
			test.end(peer.(*net.TCPConn))
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			_, err = conn.Read(make([]byte, 1))
			g.Expect(err).To(HaveOccurred())
			c := ForExchange(conn).(*exchangeConn)
			unfinished := &write{done: make(chan struct{})}
			if test.want == nil {
				g.Expect(c.breakage(unfinished)).To(Succeed())
			} else {
				g.Expect(c.breakage(unfinished)).To(MatchError(test.want))
			}
		})
	}
}
