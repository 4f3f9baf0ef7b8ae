package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/godwitbend/godwitbend/internal/hosttls"
	"github.com/godwitbend/godwitbend/internal/settings"
)

const (
	// upstreamDialTimeout bounds the connecting to an upstream.
	upstreamDialTimeout = time.Second
	// upstreamIdleConns bounds the idle connections to one upstream.
	upstreamIdleConns = 64
)

// Network opens a host's listeners and connections.
type Network interface {
	// ListenHosts listens for other hosts.
	ListenHosts(address string) (net.Listener, error)
	// DialHost connects to the hosts listener of another host.
	DialHost(ctx context.Context, address string) (net.Conn, error)
	// Listen listens for callers, upstreams and operators.
	Listen(address string) (net.Listener, error)
	// UpstreamClient returns the client for upstreams.
	UpstreamClient() *http.Client
}

// tcp is the network of a running program.
type tcp struct {
	*hosttls.Network
}

// NewTCP returns the network that the settings describe.
func NewTCP(s *settings.Settings) (Network, error) {
	hosts, err := hosttls.New(s.TLS)
	if err != nil {
		return nil, err
	}
	return tcp{hosts}, nil
}

// ListenHosts implements Network.
func (n tcp) ListenHosts(address string) (net.Listener, error) { return n.Network.Listen(address) }

// DialHost implements Network.
func (n tcp) DialHost(ctx context.Context, address string) (net.Conn, error) {
	return n.Dial(ctx, address)
}

// Listen implements Network.
func (tcp) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// UpstreamClient implements Network. Requests are never sent again by the
// transport itself: an upstream request has no GetBody and is marked as not idempotent.
func (tcp) UpstreamClient() *http.Client {
	dialer := &net.Dialer{Timeout: upstreamDialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: upstreamIdleConns,
		DisableCompression:  true,
	}}
}
