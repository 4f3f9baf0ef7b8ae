package netconn_test

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/harness"
	"github.com/godwitbend/godwitbend/internal/netconn"
)

// heldPair returns a connection, and its peer to which a link holds all packets until release is called.
func heldPair(t *testing.T, unackedTimeout time.Duration) (conn net.Conn, peer *net.TCPConn, release func() error) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	conn, err = netconn.Dial(t.Context(), listener.Addr().String(), time.Second, unackedTimeout)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	accepted, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = accepted.Close() })
	peer = accepted.(*net.TCPConn)
	release, err = harness.HoldSegments(peer)
	g.Expect(err).NotTo(HaveOccurred())
	return conn, peer, release
}

// Guards against logs that do not tell a peer that is silent from a link that holds its packets.
func TestSilentPeerIsToldFromALinkThatHoldsPackets(t *testing.T) {
	g := NewWithT(t)
	conn, _, release := heldPair(t, 20*time.Second)
	time.Sleep(2500 * time.Millisecond)
	g.Expect(netconn.Unacknowledged(conn)).To(BeNumerically("~", 2500*time.Millisecond, 400*time.Millisecond))
	g.Expect(release()).To(Succeed())
	time.Sleep(2500 * time.Millisecond)
	g.Expect(netconn.Unacknowledged(conn)).To(BeNumerically("<", 1500*time.Millisecond), "probes each second")
}

// Guards against connections that end while a link holds packets, of bytes or of probes.
func TestConnectionThatIsKeptOpenOutlivesALinkThatHoldsPackets(t *testing.T) {
	for name, request := range map[string]int{"probes": 0, "bytes": 10} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			conn, peer, release := heldPair(t, time.Second)
			netconn.KeepOpen(conn)
			_, err := conn.Write(make([]byte, request))
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(4 * time.Second)
			g.Expect(release()).To(Succeed())
			_, err = io.WriteString(peer, "late")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(peer.CloseWrite()).To(Succeed())
			received, err := io.ReadAll(conn)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(received)).To(Equal("late"))
		})
	}
}
