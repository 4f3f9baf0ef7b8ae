package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/godwitbend/godwitbend/internal/entry"
	"github.com/godwitbend/godwitbend/internal/hosttls"
	"github.com/godwitbend/godwitbend/internal/settings"
)

// upstreamDialTimeout bounds the time to connect to an upstream.
const upstreamDialTimeout = time.Second

// Network opens a host's listeners and connections.
type Network interface {
	// ListenHosts listens for other hosts.
	ListenHosts(address string) (net.Listener, error)
	// DialHost connects to the hosts listener of another host.
	DialHost(ctx context.Context, address string) (net.Conn, error)
	// Listen listens for callers, upstreams and operators.
	Listen(address string) (net.Listener, error)
	// UpstreamClient returns the client for upstreams, which uses a new connection for each request: on a kept
	// one an upstream may write the answer to an earlier request once more.
	UpstreamClient() *http.Client
}

// tcpNetwork implements Network with TCP sockets.
type tcpNetwork struct {
	*hosttls.Network
}

// NewTCP returns a TCP network; connections between hosts use TLS as s.TLS specifies.
func NewTCP(s *settings.Settings) (Network, error) {
	hosts, err := hosttls.New(s.TLS)
	if err != nil {
		return nil, err
	}
	return tcpNetwork{hosts}, nil
}

// ListenHosts implements Network.
func (n tcpNetwork) ListenHosts(address string) (net.Listener, error) {
	return n.Network.Listen(address)
}

// DialHost implements Network.
func (n tcpNetwork) DialHost(ctx context.Context, address string) (net.Conn, error) {
	return n.Dial(ctx, address)
}

// Listen implements Network.
func (tcpNetwork) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// UpstreamClient implements Network. The transport never retries a request by itself,
// because an upstream request has no GetBody and is marked as not idempotent.
func (tcpNetwork) UpstreamClient() *http.Client {
	dialer := &net.Dialer{Timeout: upstreamDialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:        dialer.DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,

		MaxResponseHeaderBytes: entry.MaxAnswerHeadBytes,
	}}
}
