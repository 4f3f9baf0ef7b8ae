package node

import (
	"context"
	"net"

	"github.com/uber-go/tally/v4"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/ingress"
	"github.com/godwitbend/godwitbend/internal/settings"
)

// clientBudget is what the clients of the host hold together, at all of its addresses.
type clientBudget struct{ *ingress.Budget }

func newClientBudget(s *settings.Node, scope tally.Scope) *clientBudget {
	return &clientBudget{ingress.NewBudget(ingress.Options{
		Memory: int64(s.MemoryMB * s.Clients.MemoryShare * (1 << 20)), Descriptors: s.Clients.Descriptors,
		StallTime: s.Clients.StallTime.Duration, ReceiveBuffer: s.Clients.ReceiveBuffer, Scope: scope,
	})}
}

// controlNetwork is the network of a control host, whose connections from other hosts count against the budget.
type controlNetwork struct{ clients *clientBudget }

var _ controlnode.Network = controlNetwork{}

// ListenHosts implements controlnode.Network.
func (n controlNetwork) ListenHosts(address string) (net.Listener, error) {
	listener, err := controlnode.TCP.ListenHosts(address)
	if err != nil {
		return nil, err
	}
	return n.clients.Listen(listener, ingress.Hosts, nil), nil
}

// DialHost implements controlnode.Network.
func (controlNetwork) DialHost(ctx context.Context, address string) (net.Conn, error) {
	return controlnode.TCP.DialHost(ctx, address)
}
