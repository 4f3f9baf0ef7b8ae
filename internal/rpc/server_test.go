package rpc_test

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/rpc"
)

type empty struct{}

func TestCallOfAMethodThatTheServerLacksIsRecognised(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = rpc.NewServer().Serve(t.Context(), listener) }()
	client := rpc.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	})
	_, err = rpc.Call[empty, empty](t.Context(), client, listener.Addr().String(), "/test/Missing", &empty{})
	g.Expect(rpc.IsUnregistered(err)).To(BeTrue(), "%v", err)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = rpc.Call[empty, empty](cancelled, client, listener.Addr().String(), "/test/Missing", &empty{})
	g.Expect(err).To(HaveOccurred())
	g.Expect(rpc.IsUnregistered(err)).To(BeFalse())
	g.Expect(rpc.IsUnregistered(nil)).To(BeFalse())
}
