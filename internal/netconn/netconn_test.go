package netconn_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/godwitbend/godwitbend/internal/netconn"
)

// option returns an integer TCP option of a connection.
func option(g *WithT, conn net.Conn, name int) int {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	value := 0
	g.Expect(raw.Control(func(fd uintptr) {
		value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
	})).To(Succeed())
	g.Expect(err).NotTo(HaveOccurred())
	return value
}

// Guards against idle connections to silent peers that outlast the stated timeout.
func TestKeepAliveGivesUpWithTheTimeoutOfUnacknowledgedBytes(t *testing.T) {
	g := NewWithT(t)
	for _, timeout := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second} {
		listener, err := netconn.Listen("127.0.0.1:0", timeout)
		g.Expect(err).NotTo(HaveOccurred())
		dialled, err := netconn.Dial(context.Background(), listener.Addr().String(), time.Second, timeout)
		g.Expect(err).NotTo(HaveOccurred())
		accepted, err := listener.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		for _, conn := range []net.Conn{dialled, accepted} {
			g.Expect(option(g, conn, unix.TCP_USER_TIMEOUT)).To(BeEquivalentTo(timeout.Milliseconds()))
			seconds := option(g, conn, unix.TCP_KEEPIDLE) + option(g, conn, unix.TCP_KEEPINTVL)*option(g, conn, unix.TCP_KEEPCNT)
			g.Expect(time.Duration(seconds)*time.Second).To(Equal(max(timeout, 2*time.Second)), "time until the last probe is given up")
			g.Expect(conn.Close()).To(Succeed())
		}
		g.Expect(listener.Close()).To(Succeed())
	}
}

// Guards against addresses of upstreams that end a gateway or hold a request up.
func TestDialOfAnAddressThatIsNoneFailsAtOnce(t *testing.T) {
	g := NewWithT(t)
	for _, address := range []string{"", ":", "127.0.0.1", "127.0.0.1:65536", "127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:0", "[::1%none]:80", "\xff:80", "[[[:80"} {
		started := time.Now()
		conn, err := netconn.Dial(t.Context(), address, time.Minute, time.Minute)
		g.Expect(err).To(HaveOccurred(), address)
		g.Expect(conn).To(BeNil(), address)
		g.Expect(time.Since(started)).To(BeNumerically("<", 10*time.Second), address)
	}
}
