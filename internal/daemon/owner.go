package daemon

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/godwitbend/godwitbend/internal/rpc"
)

const (
	methodServes = "hosts/serves"
	// ownerTimeout bounds the call to the host that owns a request.
	ownerTimeout = time.Second
)

type servesRequest struct {
	Session   string `cbor:"1,keyasint"`
	RequestID string `cbor:"2,keyasint"`
}

type servesReply struct {
	Serves bool `cbor:"1,keyasint"`
}

// ownerServes asks the host that owns session whether it still serves a request. A host
// that refuses the connection runs no process, so it serves no request.
func (d *Daemon) ownerServes(ctx context.Context, session, requestID string) (serves, known bool) {
	address, ok := d.sessionAddress(session)
	if !ok {
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	req := &servesRequest{Session: session, RequestID: requestID}
	reply, err := rpc.Call[servesRequest, servesReply](ctx, d.rpc, address, methodServes, req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false, true
	}
	if err != nil {
		return false, false
	}
	return reply.Serves, true
}

func (d *Daemon) sessionAddress(session string) (string, bool) {
	for _, host := range d.session.Hosts() {
		if host.Session == session {
			return host.Address, true
		}
	}
	return "", false
}
