package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/memnet"
)

// network holds the servers and clients of a test on an in-memory network. Each
// process is a node named by its address.
type network struct {
	*memnet.Network
	listeners map[string]net.Listener
	servers   []*http.Server
	clients   []*http.Client
	// callerClient is the HTTP client of the callers.
	callerClient *http.Client
}

func newNetwork() *network {
	n := &network{Network: memnet.New(), listeners: map[string]net.Listener{}}
	n.callerClient = n.newClient("callers")
	return n
}

func (n *network) newClient(node string) *http.Client {
	c := n.Node(node).Client()
	n.clients = append(n.clients, c)
	return c
}

// newKillableClient returns a client whose dials fail once terminated is set.
func (n *network) newKillableClient(node string, terminated *atomic.Bool) *http.Client {
	c := n.newClient(node)
	transport := c.Transport.(*http.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if terminated.Load() {
			return nil, eris.New("the process is terminated")
		}
		return dial(ctx, network, address)
	}
	return c
}

// serve starts an HTTP server with handler at address.
func (n *network) serve(address string, handler http.Handler) {
	l, err := n.Node(address).Listen(address)
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	n.listeners[address] = l
	n.servers = append(n.servers, server)
	go func() { _ = server.Serve(l) }()
}

// kill terminates the server at address: its connections are reset and new ones refused.
func (n *network) kill(address string) {
	_ = n.listeners[address].Close()
	n.Reset(address)
}

func (n *network) close() {
	for _, c := range n.clients {
		c.CloseIdleConnections()
	}
	for _, s := range n.servers {
		_ = s.Close()
	}
}
