package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/runmove"
	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

// keepableConn records that it is kept open.
type keepableConn struct {
	net.Conn
	kept bool
}

func (c *keepableConn) KeepOpen() { c.kept = true }

// Guards against a run that stops and goes on nowhere, as the answer to the call that stops it is given up while a link holds packets.
func TestOnlyTheCallThatStopsARunWaitsForASilentUpstream(t *testing.T) {
	for _, stops := range []bool{false, true} {
		g := NewWithT(t)
		here, there := net.Pipe()
		go func() {
			defer func() { _ = there.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(there)); err == nil {
				_, _ = io.WriteString(there, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nh")
			}
		}()
		conn := &keepableConn{Conn: here}
		client := upstreamhttp.NewClient(func(context.Context, string) (io.ReadWriteCloser, error) { return conn, nil })
		a := &attempt{
			request: &request{handler: &Handler{Options: Options{Dialect: &testEngines{}}, upstreams: client}, Call: &Call{ID: "call"}, route: &catalog.Route{}},
			target:  &placement.Assignment{Upstream: &placement.Upstream{}},
		}
		m := &runMove{movableRun: &movableRun{attempt: a}, ctx: t.Context()}
		g.Expect(m.call("target", stops, time.Second)).To(Equal(runmove.Answer{Handle: "h"}))
		g.Expect(conn.kept).To(Equal(stops))
	}
}

// Guards against requests that wait for a silent upstream though another one may take them, and against others that do not wait.
func TestOnlyTheLastAttemptWaitsForASilentUpstream(t *testing.T) {
	for name, test := range map[string]struct {
		route    catalog.Route
		attempts int
		want     bool
	}{
		"may run once":                 {catalog.Route{Kind: catalog.NonIdempotent, MaxAttempts: 2}, 0, true},
		"stream that can't be resumed": {catalog.Route{Kind: catalog.Streaming, MaxAttempts: 2}, 0, true},
		"first attempt of two":         {catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2}, 0, false},
		"second attempt of two":        {catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2}, 1, true},
		"stream that may be resumed":   {catalog.Route{Kind: catalog.Streaming, Resumable: true, MaxAttempts: 2}, 0, false},
		"resumed for the last time":    {catalog.Route{Kind: catalog.Streaming, Resumable: true, MaxAttempts: 2}, 1, true},
		"route without a limit":        {catalog.Route{Kind: catalog.Idempotent}, 0, true},
		"more attempts than the limit": {catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 1}, 3, true},
		"one attempt":                  {catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 1}, 0, true},
	} {
		a := &attempt{request: &request{route: &test.route, attempts: test.attempts}}
		NewWithT(t).Expect(a.isLast()).To(Equal(test.want), name)
	}
}
