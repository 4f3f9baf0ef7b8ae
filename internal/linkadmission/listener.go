package linkadmission

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/netconn"
	"github.com/godwitbend/godwitbend/internal/timing"
)

// stepInterval is the time between two decisions.
const stepInterval = 20 * time.Millisecond

// Options are the settings and dependencies of a Listener.
type Options struct {
	// MaxDelay is the queueing delay of the link above which Run refuses connections.
	MaxDelay time.Duration
	// Listen opens the socket.
	Listen func() (*netconn.Listener, error)
	Meter  *Meter
	Scope  tally.Scope
}

// Listener is a net.Listener whose socket is closed while the link is congested, so that callers'
// connections are refused at once and cost the link little. It is safe for concurrent use.
type Listener struct {
	options  Options
	refusals tally.Counter
	delay    tally.Gauge

	mu sync.Mutex
	// socket is nil while connections are refused; reopened is closed when that ends.
	socket   *netconn.Listener
	reopened chan struct{}
	ended    bool
	// queued holds the connections that were in the queue of a socket as it was closed.
	queued  []net.Conn
	address net.Addr
}

// NewListener opens the socket. Connections are accepted until Run finds the link congested.
func NewListener(o Options) (*Listener, error) {
	socket, err := o.Listen()
	if err != nil {
		return nil, err
	}
	return &Listener{
		options: o, socket: socket, address: socket.Addr(),
		refusals: o.Scope.Counter("link_refusal_periods"), delay: o.Scope.Gauge("link_delay_seconds"),
	}, nil
}

// Run opens and closes the socket by the delay of the link until ctx ends.
func (l *Listener) Run(ctx context.Context) {
	g := gate{maxDelay: l.options.MaxDelay, since: time.Now()}
	timing.Every(ctx, stepInterval, func() {
		now := time.Now()
		delay, wasClosed, since := l.options.Meter.Delay(now), g.closed, g.since
		l.delay.Update(delay.Seconds())
		switch closed := g.step(delay, now); {
		case closed && !wasClosed:
			klog.InfoS("connections of callers refused: the link is congested", "delay_ms", delay.Milliseconds())
			l.refusals.Inc(1)
			l.closeSocket()
		case !closed && wasClosed:
			klog.InfoS("connections of callers accepted again", "delay_ms", delay.Milliseconds(), "refused_ms", now.Sub(since).Milliseconds())
			g.closed = !l.openSocket()
		}
	})
}

// Refuses reports whether connections are refused now.
func (l *Listener) Refuses() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.socket == nil
}

func (l *Listener) closeSocket() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	if err := l.closeAccepted(); err != nil {
		klog.ErrorS(err, "socket for callers not closed")
	}
	l.socket, l.reopened = nil, make(chan struct{})
}

// closeAccepted closes the socket once the connections in its queue are accepted. The caller holds mu.
func (l *Listener) closeAccepted() error {
	queued, err := l.socket.AcceptQueued()
	if err != nil {
		klog.ErrorS(err, "connections of callers are reset")
	}
	l.queued = append(l.queued, queued...)
	return l.socket.Close()
}

// openSocket opens the socket and reports whether it could.
func (l *Listener) openSocket() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return true
	}
	socket, err := l.options.Listen()
	if err != nil {
		klog.ErrorS(err, "socket for callers not opened")
		return false
	}
	l.socket = socket
	close(l.reopened)
	return true
}

// Accept implements net.Listener. While connections are refused it waits.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, socket, reopened := l.next()
		switch {
		case conn != nil:
			return conn, nil
		case socket == nil && reopened == nil:
			return nil, net.ErrClosed
		case socket == nil:
			<-reopened
			continue
		}
		conn, err := socket.Accept()
		if err == nil || !errors.Is(err, net.ErrClosed) {
			return conn, err
		}
	}
}

// next returns a queued connection, or the socket that has the next one, or what to wait for; nothing if the listener is closed.
func (l *Listener) next() (queued net.Conn, socket *netconn.Listener, reopened chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queued) > 0 {
		queued, l.queued = l.queued[0], l.queued[1:]
		return queued, nil, nil
	}
	if l.ended {
		return nil, nil, nil
	}
	return nil, l.socket, l.reopened
}

// Close implements net.Listener. Accept still returns the connections that were queued.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return nil
	}
	l.ended = true
	if l.socket == nil {
		close(l.reopened)
		return nil
	}
	return l.closeAccepted()
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.address }
