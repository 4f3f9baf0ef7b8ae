package gateway

import (
	"context"
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

type connThrough struct {
	io.ReadWriteCloser
	host string
}

func (c connThrough) Via() string { return c.host }

func TestHostThroughWhichAnUpstreamIsReachedIsRecordedForTheLatestConnection(t *testing.T) {
	g := NewWithT(t)
	own, _ := net.Pipe()
	var conn io.ReadWriteCloser = connThrough{own, "10.0.0.1:7100"}
	dial := recordingVia(func(context.Context, string) (io.ReadWriteCloser, error) { return conn, nil })
	var via string
	_, err := dial(withVia(t.Context(), &via), "upstream")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(via).To(Equal("10.0.0.1:7100"))
	conn = own
	_, err = dial(withVia(t.Context(), &via), "upstream")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(via).To(BeEmpty())
	_, err = dial(t.Context(), "upstream")
	g.Expect(err).NotTo(HaveOccurred())
}
