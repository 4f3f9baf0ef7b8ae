// Package memnet provides an in-memory network for tests that run several hosts in one
// process. Links between nodes can be cut, which drops traffic without an error, and healed.
package memnet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// acceptBacklog bounds the connections that wait to be accepted by one listener.
const acceptBacklog = 256

// Network is a simulated network of named nodes.
type Network struct {
	mu           sync.Mutex
	listeners    map[string]*listener
	cut          map[link]bool
	conns        map[*conn]struct{}
	bytesWritten map[link]int64
	// healed is closed and replaced at each heal.
	healed chan struct{}
}

// link is an unordered pair of nodes.
type link struct{ a, b string }

func linkBetween(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

// New returns a network without nodes.
func New() *Network {
	return &Network{
		listeners:    make(map[string]*listener),
		cut:          make(map[link]bool),
		conns:        make(map[*conn]struct{}),
		bytesWritten: make(map[link]int64),
		healed:       make(chan struct{}),
	}
}

// Cut drops all traffic between the nodes a and b without an error: writes block, and
// dials hang until their context ends or the link is healed.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[linkBetween(a, b)] = true
}

// Heal restores the link between a and b.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, linkBetween(a, b))
	close(n.healed)
	n.healed = make(chan struct{})
}

// Partition cuts every link between the two groups of nodes.
func (n *Network) Partition(left, right []string) {
	for _, a := range left {
		for _, b := range right {
			n.Cut(a, b)
		}
	}
}

// HealAll restores all links.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	close(n.healed)
	n.healed = make(chan struct{})
}

// BytesWritten returns the number of bytes written, in both directions, over the links
// whose two nodes both match.
func (n *Network) BytesWritten(match func(node string) bool) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var sum int64
	for l, bytes := range n.bytesWritten {
		if match(l.a) && match(l.b) {
			sum += bytes
		}
	}
	return sum
}

func (n *Network) countBytes(l link, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytesWritten[l] += int64(bytes)
}

// Reset closes all connections of a node, as the termination of its process does.
func (n *Network) Reset(node string) {
	n.mu.Lock()
	var conns []*conn
	for c := range n.conns {
		if c.link.a == node || c.link.b == node {
			conns = append(conns, c)
		}
	}
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Node returns the endpoint of the network for the named node.
func (n *Network) Node(name string) *Node {
	return &Node{net: n, name: name}
}

// linkState reports whether l is cut, and returns a channel that is closed at the next heal.
func (n *Network) linkState(l link) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[l], n.healed
}

// Node is one node of a Network. It listens and dials under its name.
type Node struct {
	net  *Network
	name string
}

// Listen listens on an address, which must not be in use.
func (d *Node) Listen(address string) (net.Listener, error) {
	d.net.mu.Lock()
	defer d.net.mu.Unlock()
	if _, taken := d.net.listeners[address]; taken {
		return nil, eris.Wrapf(syscall.EADDRINUSE, "listen on %s", address)
	}
	l := &listener{
		net:     d.net,
		node:    d.name,
		address: address,
		backlog: make(chan net.Conn, acceptBacklog),
		closed:  make(chan struct{}),
	}
	d.net.listeners[address] = l
	return l, nil
}

// ListenHosts listens for connections of other hosts.
func (d *Node) ListenHosts(address string) (net.Listener, error) { return d.Listen(address) }

// DialHost connects to the listener of an address. While the link is cut, it waits.
func (d *Node) DialHost(ctx context.Context, address string) (net.Conn, error) {
	for {
		d.net.mu.Lock()
		l, ok := d.net.listeners[address]
		healed := d.net.healed
		cut := ok && d.net.cut[linkBetween(d.name, l.node)]
		d.net.mu.Unlock()
		if !ok {
			return nil, eris.Wrapf(syscall.ECONNREFUSED, "connect to %s", address)
		}
		if !cut {
			return d.connect(ctx, l)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-healed:
		}
	}
}

func (d *Node) connect(ctx context.Context, l *listener) (net.Conn, error) {
	clientPipe, serverPipe := net.Pipe()
	path := linkBetween(d.name, l.node)
	client := d.net.newConn(clientPipe, path)
	server := d.net.newConn(serverPipe, path)
	select {
	case l.backlog <- server:
		return client, nil
	case <-l.closed:
		_ = client.Close()
		return nil, eris.Wrapf(syscall.ECONNREFUSED, "connect to %s", l.address)
	case <-ctx.Done():
		_ = client.Close()
		return nil, ctx.Err()
	}
}

// Client returns an HTTP client that dials from this node.
func (d *Node) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return d.DialHost(ctx, address)
		},
		DisableCompression: true,
	}}
}

// UpstreamClient returns an HTTP client that dials upstreams from this node, for each request anew.
func (d *Node) UpstreamClient() *http.Client {
	c := d.Client()
	c.Transport.(*http.Transport).DisableKeepAlives = true
	return c
}

func (n *Network) newConn(c net.Conn, l link) *conn {
	wrapped := &conn{Conn: c, net: n, link: l, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[wrapped] = struct{}{}
	return wrapped
}

// conn is one end of a connection over a link.
type conn struct {
	net.Conn
	net    *Network
	link   link
	once   sync.Once
	closed chan struct{}
}

// Write implements net.Conn. It blocks while the link is cut.
func (c *conn) Write(p []byte) (int, error) {
	for {
		cut, healed := c.net.linkState(c.link)
		if !cut {
			written, err := c.Conn.Write(p)
			c.net.countBytes(c.link, written)
			return written, err
		}
		select {
		case <-healed:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

// Close implements net.Conn. Over a cut link, the peer observes the close only after
// the heal.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.net.mu.Lock()
		delete(c.net.conns, c)
		c.net.mu.Unlock()
		if cut, _ := c.net.linkState(c.link); !cut {
			_ = c.Conn.Close()
			return
		}
		_ = c.SetDeadline(time.Unix(1, 0))
		go c.closeAfterHeal()
	})
	return nil
}

func (c *conn) closeAfterHeal() {
	for {
		cut, healed := c.net.linkState(c.link)
		if !cut {
			_ = c.Conn.Close()
			return
		}
		<-healed
	}
}

// listener accepts connections to one address.
type listener struct {
	net     *Network
	node    string
	address string
	backlog chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		delete(l.net.listeners, l.address)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

// addr is the address of a listener.
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "tcp" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }
