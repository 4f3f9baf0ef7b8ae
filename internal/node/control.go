package node

import (
	"context"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/ingress"
	"github.com/godwitbend/godwitbend/internal/telemetry"
	"github.com/godwitbend/godwitbend/internal/timing"
)

// controlShutdownTimeout bounds the wait for calls of operators and upstreams in flight.
const controlShutdownTimeout = time.Second

// runControl runs a control host until ctx ends. Calls in flight are then answered before it leaves the control
// group, as what it acknowledges has to reach the others.
func runControl(ctx context.Context, s *watchedSettings, adapter Adapter, metrics *telemetry.Metrics, clients *clientBudget) error {
	control := controlnode.New(controlnode.Options{
		Host: s.Host, Address: s.Listen.Hosts, ListenAddress: s.Listen.HostsBind, Zone: s.Zone, Directory: s.DataDir, Bootstrap: s.Bootstrap, BootClocks: s.BootClocks, ClockAgreement: s.ClockAgreement,
		Seeds: s.hostSeeds, Network: controlNetwork{clients},
		Decode: adapter.DecodeDocument, Scope: metrics.Scope, Boot: bootID(),
	})
	ready := func() error {
		if _, running := control.Status(); !running {
			return errkind.New(errkind.ControlUnavailable, "the host has not joined the control group")
		}
		return ctx.Err()
	}
	more := map[string]http.Handler{"GET " + pathEvacuations: evacuationsHandler(control)}
	if err := clients.serveMetrics(s.Node, metrics, ready, more); err != nil {
		return err
	}
	failed := make(chan error, 1)
	done := make(chan struct{})
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go func() {
		defer close(done)
		failed <- control.Run(runCtx)
	}()
	go updateControlGauges(runCtx, metrics.Scope, control)
	go timing.Every(runCtx, gaugeInterval, clients.UpdateGauges)
	callers := &http.Server{Handler: adapter.Control(control), ReadTimeout: callReadTimeout}
	limits := ingress.Limits{HeaderBytes: callHeaderBytes, HeaderTimeout: callerHeaderTimeout, IdleTimeout: callIdleTimeout}
	if err := clients.serve(s.Listen.Control, ingress.Operators, limits, callers); err != nil {
		return err
	}
	klog.InfoS("host started")
	select {
	case <-ctx.Done():
	case <-done:
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), controlShutdownTimeout)
	defer cancel()
	if err := callers.Shutdown(shutdownCtx); err != nil {
		klog.InfoS("shutdown timed out with calls in flight", "error", err.Error())
		_ = callers.Close() // so that nothing is acknowledged from now on
	}
	stop()
	<-done
	return <-failed
}

// updateControlGauges updates the gauges of a control host until ctx ends.
func updateControlGauges(ctx context.Context, scope tally.Scope, control *controlnode.Node) {
	zones, voters, silent := scope.Gauge("evacuated_zones"), scope.Gauge("control_voters"), scope.Gauge("control_voters_silent")
	timing.Every(ctx, gaugeInterval, func() {
		zones.Update(float64(len(control.Evacuations().Zones)))
		total, unheard := control.VoterCounts()
		voters.Update(float64(total))
		silent.Update(float64(unheard))
	})
}
