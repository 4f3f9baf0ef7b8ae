package gateway

import (
	"context"
	"io"

	"github.com/godwitbend/godwitbend/internal/tunnel"
	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

// indirectConn is a connection to an upstream through another host.
type indirectConn interface {
	// Via returns the address of that host.
	Via() string
}

// StoppingCarrier is a connection through another host that says when it is killed.
type StoppingCarrier interface {
	// CarrierKill returns when that host is killed; nil unless it has said so.
	CarrierKill() *tunnel.KillTimes
}

type (
	viaKey     struct{}
	carrierKey struct{}
)

// withCarrier returns a context with which recordingVia stores the connection in carrier if it is through another host.
func withCarrier(ctx context.Context, carrier *StoppingCarrier) context.Context {
	return context.WithValue(ctx, carrierKey{}, carrier)
}

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
		if carrier, ok := ctx.Value(carrierKey{}).(*StoppingCarrier); ok {
			*carrier, _ = conn.(StoppingCarrier)
		}
		return conn, err
	}
}
