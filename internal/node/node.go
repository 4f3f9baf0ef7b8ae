// Package node runs one host of a fleet: either a gateway, which serves callers, or
// a control host.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/gateway"
	"github.com/godwitbend/godwitbend/internal/ingress"
	"github.com/godwitbend/godwitbend/internal/netconn"
	"github.com/godwitbend/godwitbend/internal/settings"
	"github.com/godwitbend/godwitbend/internal/telemetry"
	"github.com/godwitbend/godwitbend/internal/timing"
	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

const (
	// memoryLimitFraction is the fraction of the host's memory limit that is set as the soft
	// memory limit of the Go runtime.
	memoryLimitFraction = 0.7
	// gcPercent is the growth of the heap at which the garbage collector runs. Half of
	// the runtime's default reduces peak memory by a sixth and increases processor time
	// by a quarter; the users' cost of memory is six times that of the processor.
	gcPercent = 50
	// unackedTimeout is how long bytes sent on a connection may stay unacknowledged.
	unackedTimeout = 5 * time.Second
	// callHeaderBytes and callReadTimeout bound the header of a call by an operator, an upstream or the load balancer, and
	// the time in which a call to a control host must arrive.
	callHeaderBytes = 16 << 10
	callReadTimeout = 15 * time.Second
	// probeHeaderTimeout and callIdleTimeout bound the time for which a probe sends its head, and for which it or a call keeps a
	// connection.
	probeHeaderTimeout = time.Second
	callIdleTimeout    = 2 * time.Minute
	// exitMargin is the part of the stop timeout that is left when a host has ended its last requests.
	exitMargin = 300 * time.Millisecond
)

// probeLimits bounds what reads readiness and metrics.
var probeLimits = ingress.Limits{HeaderBytes: callHeaderBytes, HeaderTimeout: probeHeaderTimeout, IdleTimeout: callIdleTimeout}

// Adapter implements the protocols towards callers, operators and upstreams.
type Adapter struct {
	Dialect        gateway.Dialect
	DecodeDocument func(content []byte) (*catalog.Document, error)
	// Ready returns the handler of the load balancer's readiness check.
	Ready func(ready func() error) http.Handler
	// Dial connects to upstreams.
	Dial upstreamhttp.TimedDialFunc
	// Control returns the handler for operators and the reports of upstreams.
	Control func(n *controlnode.Node) http.Handler
}

// Run runs the host until ctx ends and the requests in flight are answered or the stop
// timeout has passed.
func Run(ctx context.Context, path string, s *settings.Node, adapter Adapter) error {
	stalls := newStallDetector() // a signal may come from now on
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(s.MemoryMB * memoryLimitFraction * (1 << 20)))
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return err
	}
	defer func() { _ = metrics.Close() }()
	watched := newWatchedSettings(path, s)
	go watched.watch(ctx)
	clients := newClientBudget(s, metrics.Scope)
	klog.InfoS("host starting", "role", string(s.Role), "zone", s.Zone, "seeds", s.Seeds, "bootstrap", s.Bootstrap)
	switch s.Role {
	case settings.NodeGateway:
		err = runGateway(ctx, watched, adapter, metrics, stalls, clients)
	case settings.NodeControl:
		err = runControl(ctx, watched, adapter, metrics, clients)
	}
	klog.InfoS("host stopped")
	return err
}

// seedAddresses returns the seeds' addresses with the port on which hosts listen for
// each other.
func seedAddresses(s *settings.Node) []string {
	own, err := netip.ParseAddrPort(s.Listen.Hosts)
	if err != nil {
		return nil // cannot happen: the settings are validated when loaded
	}
	var addresses []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil {
			addresses = append(addresses, net.JoinHostPort(host, strconv.Itoa(int(own.Port()))))
		}
	}
	return addresses
}

// bootTime returns the time since boot in nanoseconds, including suspended time.
func bootTime() int64 { return int64(timing.BootTime()) }

// bootID returns timing.BootID, or 0 if it is not known.
func bootID() uint64 {
	id, err := timing.BootID()
	if err != nil {
		klog.ErrorS(err, "the boot of the machine is not known: if this process is killed, more is charged and origins of streams are lost")
	}
	return id
}

// serve starts srv on address for a class of clients; it runs until it is shut down.
func (b *clientBudget) serve(address string, class ingress.Class, limits ingress.Limits, srv *http.Server) error {
	listener, err := netconn.Listen(address, unackedTimeout)
	if err != nil {
		return err
	}
	bounded := b.Listen(listener, class, func() ingress.Limits { return limits })
	bounded.Instrument(srv)
	serveOn(bounded, srv)
	return nil
}

// serveOn starts srv on listener; it accepts connections until it is shut down or the listener is closed.
func serveOn(listener net.Listener, srv *http.Server) {
	go func() {
		if err := srv.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			klog.ErrorS(err, "HTTP server failed", "address", listener.Addr().String())
		}
	}()
}

// serveMetrics serves the metrics and health endpoints and additional ones, by pattern, if the
// settings have an address for them.
func (b *clientBudget) serveMetrics(s *settings.Node, metrics *telemetry.Metrics, ready func() error, more map[string]http.Handler) error {
	if s.Listen.Metrics == "" {
		return nil
	}
	mux := http.NewServeMux()
	telemetry.Register(mux, metrics.Handler, ready)
	for pattern, handler := range more {
		mux.Handle(pattern, handler)
	}
	return eris.Wrap(b.serve(s.Listen.Metrics, ingress.Probes, probeLimits, &http.Server{Handler: mux}), "serve metrics")
}
