package gateway

import (
	"context"
	"io"

	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

// indirectConn is a connection to an upstream through another host.
type indirectConn interface {
	// Via returns the address of that host.
	Via() string
}

type viaKey struct{}

// withVia returns a context with which recordingVia stores in via through which host it has connected.
func withVia(ctx context.Context, via *string) context.Context {
	return context.WithValue(ctx, viaKey{}, via)
}

// recordingVia returns dial, which stores the other host of the connection where withVia says, or "" if there is none.
func recordingVia(dial upstreamhttp.DialFunc) upstreamhttp.DialFunc {
	return func(ctx context.Context, address string) (io.ReadWriteCloser, error) {
		conn, err := dial(ctx, address)
		if via, ok := ctx.Value(viaKey{}).(*string); ok {
			*via = ""
			if indirect, ok := conn.(indirectConn); ok {
				*via = indirect.Via()
			}
		}
		return conn, err
	}
}
