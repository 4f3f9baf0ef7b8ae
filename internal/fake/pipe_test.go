package fake_test

import (
	"context"
	"net"
	"net/http"
	"testing"
)

// pipeListener accepts the in-memory connections that its dial method creates.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// serve runs an HTTP server for h in the synctest bubble of the test and returns a client
// connected to it.
func serve(t *testing.T, h http.Handler) *http.Client {
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	transport := &http.Transport{DialContext: l.dial}
	t.Cleanup(func() {
		close(l.closed)
		transport.CloseIdleConnections()
		_ = server.Close()
	})
	return &http.Client{Transport: transport}
}
