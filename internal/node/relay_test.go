package node

import (
	"context"
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/tunnel"
)

// Guards against requests of other hosts that break when a stopping host which carries them ends.
func TestStoppingHostCarriesNoNewConnectionsOfOtherHosts(t *testing.T) {
	g := NewWithT(t)
	stopping := false
	r := &relay{stopping: func() bool { return stopping }, dial: func(context.Context, string) (io.ReadWriteCloser, error) {
		conn, _ := net.Pipe()
		return conn, nil
	}}
	conn, err := r.Dial(t.Context(), "a:1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Open()).To(Equal(int64(1)))
	stopping = true
	_, err = r.Dial(t.Context(), "a:1")
	g.Expect(err).To(MatchError(tunnel.ErrUnavailable))
	g.Expect(conn.Close()).To(Succeed())
	g.Expect(conn.Close()).To(Succeed())
	g.Expect(r.Open()).To(BeZero())
}
