package rpc_test

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/rpc"
)

type empty struct{}

// serve starts srv and returns its address and a client.
func serve(t *testing.T, srv *rpc.Server) (address string, client *rpc.Client) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	go func() { _ = srv.Serve(t.Context(), listener) }()
	return listener.Addr().String(), rpc.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	})
}

func TestCallOfAMethodThatTheServerLacksIsRecognised(t *testing.T) {
	g := NewWithT(t)
	address, client := serve(t, rpc.NewServer())
	_, err := rpc.Call[empty, empty](t.Context(), client, address, "/test/Missing", &empty{})
	g.Expect(rpc.IsUnregistered(err)).To(BeTrue(), "%v", err)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = rpc.Call[empty, empty](cancelled, client, address, "/test/Missing", &empty{})
	g.Expect(err).To(HaveOccurred())
	g.Expect(rpc.IsUnregistered(err)).To(BeFalse())
	g.Expect(rpc.IsUnregistered(nil)).To(BeFalse())
}

// Guards against a process that ends because another host's answer is empty.
func TestAnswerWithoutAValueIsAnError(t *testing.T) {
	g := NewWithT(t)
	srv := rpc.NewServer()
	rpc.Handle(srv, "/test/Empty", func(context.Context, *empty) (*empty, error) { return nil, nil })
	address, client := serve(t, srv)
	reply, err := rpc.Call[empty, empty](t.Context(), client, address, "/test/Empty", &empty{})
	g.Expect(reply != nil || err != nil).To(BeTrue())
}
