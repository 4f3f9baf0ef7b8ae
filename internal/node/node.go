// Package node runs one host of a gateway fleet: a gateway, which serves
// callers, or a control host.
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
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/gateway"
	"github.com/godwitbend/godwitbend/internal/netconn"
	"github.com/godwitbend/godwitbend/internal/settings"
	"github.com/godwitbend/godwitbend/internal/telemetry"
)

const (
	// memoryPart is the part of the memory limit that the Go runtime aims at.
	memoryPart = 0.7
	// gcPercent is the growth of the heap at which the garbage collector runs. Half of
	// the runtime's own took a sixth of the peak memory off for a quarter more processor
	// time; the users price the memory at six times the processor.
	gcPercent = 50
	// callerSilence is how long bytes sent to a caller may stay unacknowledged.
	callerSilence = 5 * time.Second
	// stopMargin is the time before the end of the stop timeout at which the process exits.
	stopMargin = 300 * time.Millisecond
)

// Adapter is how the host talks to callers, operators and upstreams.
type Adapter struct {
	Dialect        gateway.Dialect
	DecodeDocument func(content []byte) (*catalog.Document, error)
	// Ready returns the handler of the balancer's readiness check.
	Ready func(ready func() error) http.Handler
	// Control returns the handler for operators and the reports of upstreams.
	Control func(n *controlnode.Node) http.Handler
}

// Run runs the host until ctx ends and its requests are answered.
func Run(ctx context.Context, path string, s *settings.Node, adapter Adapter) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryPart * (1 << 20)))
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return err
	}
	defer func() { _ = metrics.Close() }()
	watched := newWatched(path, s)
	go watched.run(ctx)
	klog.InfoS("host starting", "role", string(s.Role), "zone", s.Zone, "seeds", s.Seeds, "bootstrap", s.Bootstrap)
	switch s.Role {
	case settings.NodeGateway:
		err = runGateway(ctx, watched, adapter, metrics)
	case settings.NodeControl:
		err = runControl(ctx, watched, adapter, metrics)
	}
	klog.InfoS("host stopped")
	return err
}

// hostAddresses gives seeds the port at which hosts reach each other.
func hostAddresses(s *settings.Node) []string {
	own, err := netip.ParseAddrPort(s.Listen.Hosts)
	if err != nil {
		return nil // the settings were checked
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

// bootClock returns the time since the machine's start, suspended time included, in ns.
func bootClock() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // Linux has had this clock since 2.6.39
	}
	return ts.Nano()
}

// serve runs an HTTP server until it is shut down.
func serve(address string, srv *http.Server) error {
	listener, err := netconn.Listen(address, callerSilence)
	if err != nil {
		return err
	}
	go func() {
		if err := srv.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "HTTP server ended", "address", address)
		}
	}()
	return nil
}

// serveMetrics serves metrics and health if the settings name an address.
func serveMetrics(s *settings.Node, metrics *telemetry.Metrics, ready func() error) error {
	if s.Listen.Metrics == "" {
		return nil
	}
	mux := http.NewServeMux()
	telemetry.Register(mux, metrics.Handler, ready)
	return eris.Wrap(serve(s.Listen.Metrics, &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}), "serve metrics")
}
