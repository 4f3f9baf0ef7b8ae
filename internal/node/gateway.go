package node

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/gateway"
	"github.com/godwitbend/godwitbend/internal/hostsync"
	"github.com/godwitbend/godwitbend/internal/netconn"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/retrylimit"
	"github.com/godwitbend/godwitbend/internal/telemetry"
)

const (
	// callerIdleTimeout is longer than any idle time that a configuration allows
	// callers, so that none sends a request on a connection that is being closed.
	callerIdleTimeout = 2 * time.Minute
	// callerHeaderTimeout and callerHeaderBytes bound a request's header.
	callerHeaderTimeout = 15 * time.Second
	callerHeaderBytes   = 64 << 10
	// drainDelay is the time for which a stopping host still takes requests, while
	// the balancer finds it not ready and sends new connections elsewhere.
	drainDelay = 2500 * time.Millisecond
)

// runGateway serves callers until ctx ends.
func runGateway(ctx context.Context, s *watched, adapter Adapter, metrics *telemetry.Metrics) error {
	pool := placement.NewPool(s.Zone)
	client := hostsync.New(hostsync.Options{
		Host: s.Host, Address: s.Listen.Hosts, Seeds: s.hostSeeds, Decode: adapter.DecodeDocument, Pool: pool, Clock: bootClock,
	})
	limit := retrylimit.Settings{Ratio: s.Retries.Ratio, Slack: s.Retries.Slack, Window: s.Retries.Window.Duration}
	handler := gateway.NewHandler(gateway.Options{
		Dialect: adapter.Dialect, Sync: client, Pool: pool, Retries: retrylimit.New(limit, time.Now()),
		Scope: metrics.Scope, Clock: bootClock,
	})
	ready := func() error {
		if err := ctx.Err(); err != nil {
			return err
		}
		return handler.Ready()
	}
	callers := &http.Server{
		Handler: handler, IdleTimeout: callerIdleTimeout,
		ReadHeaderTimeout: callerHeaderTimeout, MaxHeaderBytes: callerHeaderBytes,
	}
	readiness := &http.Server{Handler: adapter.Ready(ready), ReadHeaderTimeout: time.Second}
	if err := serveMetrics(s.Node, metrics, ready); err != nil {
		return err
	}
	if err := serve(s.Listen.Readiness, readiness); err != nil {
		return err
	}
	if err := serve(s.Listen.Callers, callers); err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	hosts, err := netconn.Listen(s.Listen.Hosts, callerSilence)
	if err != nil {
		return err
	}
	go func() {
		if err := client.NewServer().Serve(background, hosts); err != nil {
			klog.ErrorS(err, "server for hosts ended")
		}
	}()
	go func() {
		if err := client.Gossip(background); err != nil {
			klog.ErrorS(err, "loads are not exchanged with other hosts")
		}
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		client.Run(background)
	}()
	klog.InfoS("host started")
	var failure error
	select {
	case <-ctx.Done():
	case <-client.SessionLost():
		failure = eris.New("another process has opened a session in the name of this host")
	}
	stopGateway(s, handler, callers)
	stop()
	<-done
	if err := client.Close(); err != nil {
		klog.InfoS("session not closed", "error", err.Error())
	}
	return failure
}

// stopGateway first lets the balancer move callers away, then refuses new
// requests and waits for those in flight.
func stopGateway(s *watched, handler *gateway.Handler, callers *http.Server) {
	stopBy := time.Now().Add(s.StopTimeout.Duration - stopMargin - sessionCloseTime)
	klog.InfoS("draining")
	time.Sleep(min(drainDelay, s.StopTimeout.Duration/3))
	handler.Close()
	ctx, cancel := context.WithDeadline(context.Background(), stopBy)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		klog.InfoS("requests in flight at the end of the stop timeout", "error", err.Error())
	}
}

// sessionCloseTime is the time kept for the last report to the control group.
const sessionCloseTime = 500 * time.Millisecond
