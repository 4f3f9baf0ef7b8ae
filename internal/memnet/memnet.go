// Package memnet is an in-memory network for tests of several hosts in one
// process. Links between nodes can be cut silently and healed.
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

// acceptQueue bounds the connections that wait to be accepted by one listener.
const acceptQueue = 256

// Net is a network of nodes.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[link]bool
	conns     map[*conn]struct{}
	written   map[link]int64
	// changed is closed and replaced at each heal.
	changed chan struct{}
}

// link is an unordered pair of nodes.
type link struct{ a, b string }

func newLink(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

// New returns a network without nodes.
func New() *Net {
	return &Net{
		listeners: make(map[string]*listener),
		cut:       make(map[link]bool),
		conns:     make(map[*conn]struct{}),
		written:   make(map[link]int64),
		changed:   make(chan struct{}),
	}
}

// Cut silently drops all traffic between the nodes a and b: writes block, and
// connections hang until their context ends.
func (n *Net) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[newLink(a, b)] = true
}

// Heal ends the cut between a and b.
func (n *Net) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, newLink(a, b))
	close(n.changed)
	n.changed = make(chan struct{})
}

// Partition cuts every link between one group of nodes and another.
func (n *Net) Partition(left, right []string) {
	for _, a := range left {
		for _, b := range right {
			n.Cut(a, b)
		}
	}
}

// HealAll ends every cut.
func (n *Net) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	close(n.changed)
	n.changed = make(chan struct{})
}

// Written returns the bytes that were written, in both directions, over the
// links between nodes for which both ends match.
func (n *Net) Written(match func(node string) bool) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var sum int64
	for l, bytes := range n.written {
		if match(l.a) && match(l.b) {
			sum += bytes
		}
	}
	return sum
}

func (n *Net) count(l link, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.written[l] += int64(bytes)
}

// Reset closes all connections of a node, as the death of its process does.
func (n *Net) Reset(node string) {
	n.mu.Lock()
	var doomed []*conn
	for c := range n.conns {
		if c.link.a == node || c.link.b == node {
			doomed = append(doomed, c)
		}
	}
	n.mu.Unlock()
	for _, c := range doomed {
		_ = c.Close()
	}
}

// Node returns the network as the node of this name sees it.
func (n *Net) Node(name string) *Node {
	return &Node{net: n, name: name}
}

// state returns whether l is cut, and a channel that closes at the next heal.
func (n *Net) state(l link) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[l], n.changed
}

// Node is one node of a Net.
type Node struct {
	net  *Net
	name string
}

// Listen listens on an address, which must be free.
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
		queue:   make(chan net.Conn, acceptQueue),
		closed:  make(chan struct{}),
	}
	d.net.listeners[address] = l
	return l, nil
}

// ListenHosts listens for other hosts.
func (d *Node) ListenHosts(address string) (net.Listener, error) { return d.Listen(address) }

// DialHost connects to the listener of an address.
func (d *Node) DialHost(ctx context.Context, address string) (net.Conn, error) {
	for {
		d.net.mu.Lock()
		l, ok := d.net.listeners[address]
		changed := d.net.changed
		cut := ok && d.net.cut[newLink(d.name, l.node)]
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
		case <-changed:
		}
	}
}

func (d *Node) connect(ctx context.Context, l *listener) (net.Conn, error) {
	near, far := net.Pipe()
	between := newLink(d.name, l.node)
	client := d.net.track(near, between)
	server := d.net.track(far, between)
	select {
	case l.queue <- server:
		return client, nil
	case <-l.closed:
		_ = client.Close()
		return nil, eris.Wrapf(syscall.ECONNREFUSED, "connect to %s", l.address)
	case <-ctx.Done():
		_ = client.Close()
		return nil, ctx.Err()
	}
}

// Client returns an HTTP client whose connections start at this node.
func (d *Node) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return d.DialHost(ctx, address)
		},
		DisableCompression: true,
	}}
}

// UpstreamClient returns an HTTP client whose connections start at this node.
func (d *Node) UpstreamClient() *http.Client { return d.Client() }

func (n *Net) track(c net.Conn, l link) *conn {
	wrapped := &conn{Conn: c, net: n, link: l, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[wrapped] = struct{}{}
	return wrapped
}

// conn is one end of a connection over a link.
type conn struct {
	net.Conn
	net    *Net
	link   link
	once   sync.Once
	closed chan struct{}
}

// Write implements net.Conn. It blocks while the link is cut.
func (c *conn) Write(p []byte) (int, error) {
	for {
		cut, changed := c.net.state(c.link)
		if !cut {
			written, err := c.Conn.Write(p)
			c.net.count(c.link, written)
			return written, err
		}
		select {
		case <-changed:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

// Close implements net.Conn. Over a cut link the far end learns of it only after the heal.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.net.mu.Lock()
		delete(c.net.conns, c)
		c.net.mu.Unlock()
		if cut, _ := c.net.state(c.link); !cut {
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
		cut, changed := c.net.state(c.link)
		if !cut {
			_ = c.Conn.Close()
			return
		}
		<-changed
	}
}

// listener accepts the connections to one address.
type listener struct {
	net     *Net
	node    string
	address string
	queue   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
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
