package upstreampath

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/tunnel"
	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

const (
	// tunnelTimeout bounds one attempt to open a tunnel, and remoteDialTimeout the connection
	// attempt of the other host in it.
	tunnelTimeout     = 400 * time.Millisecond
	remoteDialTimeout = 250 * time.Millisecond
	// maxTunnelTime bounds the attempts to open a tunnel for one connection.
	maxTunnelTime = time.Second
	// maxHosts is the number of other hosts that are tried for one connection, and maxSilentHosts
	// the number of those that do not answer after which no further one is.
	maxHosts       = 10
	maxSilentHosts = 3
	// minConfirmations is the number of other hosts that must fail to reach an upstream for it to
	// count as unreachable: one may have lost its own links a moment ago.
	minConfirmations = 2
	// avoidTime is the time for which a host is tried last after a tunnel through it failed, and none
	// is tried after maxSilentHosts were silent in a row.
	avoidTime = time.Second
)

// errNoTunnel reports that no other host was of help.
var errNoTunnel = errors.New("no other host has a path to the upstream")

// Options are the dependencies of a Dialer.
type Options struct {
	// Direct connects by the host's own links.
	Direct upstreamhttp.DialFunc
	// Tunnel connects through the host at via.
	Tunnel func(ctx context.Context, via, address string, timeout time.Duration) (io.ReadWriteCloser, error)
	// Hosts returns the addresses of the other gateway hosts.
	Hosts func() []string
	// CutOff is called when the host has lost its links to all upstreams.
	CutOff func()
	Scope  tally.Scope
}

// Dialer connects to upstreams. It is safe for concurrent use.
type Dialer struct {
	options                Options
	tunnels, failedTunnels tally.Counter
	losses                 tally.Counter

	mu    sync.Mutex
	state state
	// avoided holds the times of the latest failures of other hosts.
	avoided map[string]time.Time
	// noTunnelUntil is the end of the time in which no tunnel is tried, as no host answered.
	noTunnelUntil time.Time
}

// NewDialer returns a dialer that uses the host's own links until they fail.
func NewDialer(o Options) *Dialer {
	return &Dialer{
		options: o, state: newState(), avoided: map[string]time.Time{},
		tunnels: o.Scope.Counter("tunnels"), failedTunnels: o.Scope.Counter("tunnels_failed"), losses: o.Scope.Counter("upstream_links_lost"),
	}
}

// Lost reports whether the host has lost its link to an upstream.
func (d *Dialer) Lost(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.isLost(address)
}

// Dial connects to an upstream by the host's own links, or through another host if these are lost.
func (d *Dialer) Dial(ctx context.Context, address string) (io.ReadWriteCloser, error) {
	switch d.route(address) {
	case tunnelled:
		conn, err := d.dialTunnel(ctx, address)
		if err == nil || isUnreachable(err) || ctx.Err() != nil {
			return conn, err
		}
		return d.dialDirect(ctx, address)
	case both:
		return d.dialBoth(ctx, address)
	}
	conn, err := d.dialDirect(ctx, address)
	if err == nil || ctx.Err() != nil || !d.suspicious() {
		return conn, err
	}
	return d.dialTunnel(ctx, address)
}

// Reachable reports whether an upstream accepts connections of this host or of others.
func (d *Dialer) Reachable(ctx context.Context, address string) bool {
	conn, err := d.dialDirect(ctx, address)
	if err != nil {
		conn, err = d.dialTunnel(ctx, address)
	}
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// DialForOther connects by the host's own links for another host. The error wraps
// tunnel.ErrUnavailable if these links may be lost.
func (d *Dialer) DialForOther(ctx context.Context, address string) (io.ReadWriteCloser, error) {
	if d.route(address) == tunnelled {
		return nil, tunnel.ErrUnavailable
	}
	conn, err := d.dialDirect(ctx, address)
	if err != nil && d.suspicious() {
		err = errors.Join(tunnel.ErrUnavailable, err)
	}
	return conn, err
}

func (d *Dialer) route(address string) route {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.route(address, time.Now())
}

func (d *Dialer) suspicious() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.suspicious()
}

// dialDirect connects by the host's own links and records the result.
func (d *Dialer) dialDirect(ctx context.Context, address string) (io.ReadWriteCloser, error) {
	conn, err := d.options.Direct(ctx, address)
	regained := false
	d.mu.Lock()
	switch {
	case err == nil:
		regained = d.state.connected(address, time.Now())
	case !errors.Is(ctx.Err(), context.Canceled):
		d.state.failedAt(address, time.Now())
	}
	d.mu.Unlock()
	if regained {
		klog.InfoS("links to upstreams regained", "upstream_address", address)
	}
	return conn, err
}

type dialResult struct {
	conn io.ReadWriteCloser
	err  error
}

// dialBoth connects by the own links and by a tunnel at once, and uses what connects first.
func (d *Dialer) dialBoth(ctx context.Context, address string) (io.ReadWriteCloser, error) {
	results := make(chan dialResult, 2)
	for _, dial := range []upstreamhttp.DialFunc{d.dialDirect, d.dialTunnel} {
		go func() {
			conn, err := dial(ctx, address)
			results <- dialResult{conn, err}
		}()
	}
	first := <-results
	if first.err != nil {
		second := <-results
		return second.conn, second.err
	}
	go func() {
		if second := <-results; second.err == nil {
			_ = second.conn.Close()
		}
	}()
	return first.conn, nil
}

// dialTunnel connects through other hosts, one after the other. The error is a
// *tunnel.UnreachableError only if enough of them can't reach the upstream.
func (d *Dialer) dialTunnel(parent context.Context, address string) (io.ReadWriteCloser, error) {
	hosts := d.hostsToTry(time.Now())
	if len(hosts) == 0 {
		return nil, errNoTunnel
	}
	ctx, cancel := context.WithTimeout(parent, maxTunnelTime)
	defer cancel()
	confirmations, silent := 0, 0
	lastErr := errNoTunnel
	for _, via := range hosts {
		conn, err := d.tunnelThrough(ctx, via, address)
		if err == nil {
			return conn, nil
		}
		lastErr = err
		var unavailable *tunnel.UnavailableError
		switch {
		case isUnreachable(err):
			confirmations++
		case errors.As(err, &unavailable):
			d.avoid(via, time.Now())
		default:
			silent++
			d.avoid(via, time.Now())
		}
		if ctx.Err() != nil || confirmations >= min(minConfirmations, len(hosts)) || silent >= maxSilentHosts {
			break
		}
	}
	if silent >= min(maxSilentHosts, len(hosts)) && parent.Err() == nil {
		d.mu.Lock()
		d.noTunnelUntil = time.Now().Add(avoidTime)
		d.mu.Unlock()
	}
	d.failedTunnels.Inc(1)
	klog.InfoS("no tunnel to an upstream", "upstream_address", address, "hosts", len(hosts), "unreachable_from", confirmations, "error", lastErr.Error())
	return nil, eris.Wrap(lastErr, "connect through other hosts")
}

func isUnreachable(err error) bool {
	var unreachable *tunnel.UnreachableError
	return errors.As(err, &unreachable)
}

func (d *Dialer) tunnelThrough(ctx context.Context, via, address string) (io.ReadWriteCloser, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	conn, err := d.options.Tunnel(ctx, via, address, remoteDialTimeout)
	if err != nil {
		return nil, err
	}
	d.tunnels.Inc(1)
	d.mu.Lock()
	wasLost, failed := d.state.isLost(address), len(d.state.failedInARow)
	cutOff := d.state.tunnelledTo(address, time.Now())
	lost := !wasLost && d.state.isLost(address)
	d.mu.Unlock()
	switch {
	case cutOff:
		d.losses.Inc(1)
		klog.InfoS("links to all upstreams lost: connecting through other hosts", "upstreams_failed", failed, "via", via)
		d.options.CutOff()
	case lost:
		klog.InfoS("link to an upstream lost: connecting through other hosts", "upstream_address", address, "via", via)
	}
	return conn, nil
}

// hostsToTry returns other hosts in random order, those that were of no help lately last, or none if
// this host seems to be out of reach of the others.
func (d *Dialer) hostsToTry(now time.Time) []string {
	hosts := d.options.Hosts()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.noTunnelUntil) {
		return nil
	}
	var preferred, avoided []string
	for _, h := range hosts {
		if now.Sub(d.avoided[h]) < avoidTime {
			avoided = append(avoided, h)
		} else {
			preferred = append(preferred, h)
		}
	}
	hosts = append(preferred, avoided...)
	return hosts[:min(len(hosts), maxHosts)]
}

func (d *Dialer) avoid(host string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for other, at := range d.avoided {
		if now.Sub(at) >= avoidTime {
			delete(d.avoided, other)
		}
	}
	d.avoided[host] = now
}
