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

// network is the servers and clients of a test; each process is a node named by its address.
type network struct {
	*memnet.Net
	listeners map[string]net.Listener
	servers   []*http.Server
	clients   []*http.Client
	// client is the callers' way in.
	client *http.Client
}

func newNetwork() *network {
	n := &network{Net: memnet.New(), listeners: map[string]net.Listener{}}
	n.client = n.newClient("callers")
	return n
}

func (n *network) newClient(node string) *http.Client {
	c := n.Node(node).Client()
	n.clients = append(n.clients, c)
	return c
}

// newMortalClient returns a client whose connections are refused once lost is set.
func (n *network) newMortalClient(node string, lost *atomic.Bool) *http.Client {
	c := n.newClient(node)
	transport := c.Transport.(*http.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if lost.Load() {
			return nil, eris.New("the process is lost")
		}
		return dial(ctx, network, address)
	}
	return c
}

// serve serves handler at address.
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

// kill ends the server at address: its connections break and new ones are refused.
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
