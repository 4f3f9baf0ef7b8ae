package linkadmission

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// stepInterval is the time between two decisions.
	stepInterval = 20 * time.Millisecond
	// acceptQueueTime is the time for which connections are still accepted before the socket is
	// closed, which resets those in its queue.
	acceptQueueTime = 2 * time.Millisecond
)

// Options are the settings and dependencies of a Listener.
type Options struct {
	// MaxDelay is the queueing delay of the link above which connections are refused.
	MaxDelay time.Duration
	// Listen opens the socket.
	Listen func() (net.Listener, error)
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
	socket   net.Listener
	reopened chan struct{}
	ended    bool
	address  net.Addr
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
	socket := l.socket
	l.mu.Unlock()
	if queue, ok := socket.(interface{ SetDeadline(t time.Time) error }); ok && queue.SetDeadline(time.Now().Add(acceptQueueTime)) == nil {
		time.Sleep(acceptQueueTime)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.socket, l.reopened = nil, make(chan struct{})
	if err := socket.Close(); err != nil {
		klog.ErrorS(err, "socket for callers not closed")
	}
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
		l.mu.Lock()
		socket, reopened, ended := l.socket, l.reopened, l.ended
		l.mu.Unlock()
		switch {
		case ended:
			return nil, net.ErrClosed
		case socket == nil:
			<-reopened
			continue
		}
		conn, err := socket.Accept()
		var netErr net.Error
		timedOut := errors.As(err, &netErr) && netErr.Timeout()
		switch {
		case timedOut:
			time.Sleep(acceptQueueTime) // the socket is about to be closed
		case err == nil || !errors.Is(err, net.ErrClosed):
			return conn, err
		}
	}
}

// Close implements net.Listener.
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
	return l.socket.Close()
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.address }
