package node

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/godwitbend/godwitbend/internal/harness"
	"github.com/godwitbend/godwitbend/internal/netconn"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/tunnel"
)

// recordingListener passes on the connections that it accepts.
type recordingListener struct {
	net.Listener
	accepted chan *net.TCPConn
}

func (l *recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok {
		l.accepted <- tcp
	}
	return conn, err
}

// Guards against tunnels that end while the link between two hosts holds packets, though no other may be opened for the request.
func TestTunnelThatIsKeptOpenOutlivesALinkThatHoldsPackets(t *testing.T) {
	g := NewWithT(t)
	upstream, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = upstream.Close() })
	answer := make(chan struct{})
	go func() {
		conn, err := upstream.Accept()
		if err != nil {
			return
		}
		<-answer
		_, _ = io.WriteString(conn, "late")
		_ = conn.Close()
	}()
	carrier := &tunnel.Server{
		Dial: func(ctx context.Context, address string) (io.ReadWriteCloser, error) {
			return netconn.Dial(ctx, address, time.Second, time.Second)
		},
		Serves: func(string) bool { return true }, Scope: tally.NoopScope,
	}
	srv := rpc.NewServer()
	carrier.Register(srv)
	socket, err := netconn.Listen("127.0.0.1:0", hostsUnackedTimeout)
	g.Expect(err).NotTo(HaveOccurred())
	hosts := &recordingListener{Listener: socket, accepted: make(chan *net.TCPConn, 1)}
	go func() { _ = srv.Serve(t.Context(), hosts) }()

	conn, err := tunnelDialer(tally.NoopScope)(t.Context(), hosts.Addr().String(), upstream.Addr().String(), time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	conn.(*tunnelConn).KeepOpen()
	release, err := harness.HoldSegments(<-hosts.accepted)
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(2 * tunnelUnackedTimeout)
	g.Expect(release()).To(Succeed())
	close(answer)
	received, err := io.ReadAll(conn)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(received)).To(Equal("late"))
}
