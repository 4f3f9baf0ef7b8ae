// Package daemon assembles the components of one host and runs them.
package daemon

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/controlgroup"
	"github.com/godwitbend/godwitbend/internal/crashcause"
	"github.com/godwitbend/godwitbend/internal/entry"
	"github.com/godwitbend/godwitbend/internal/ingress"
	"github.com/godwitbend/godwitbend/internal/registry"
	"github.com/godwitbend/godwitbend/internal/routing"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/session"
	"github.com/godwitbend/godwitbend/internal/settings"
	"github.com/godwitbend/godwitbend/internal/standby"
	"github.com/godwitbend/godwitbend/internal/telemetry"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// drainTimeout bounds the wait for requests in flight during a shutdown.
	drainTimeout = 10 * time.Minute
	// lastAnswersTime is the part of drainTimeout in which the requests that are still in flight are answered
	// without their upstreams.
	lastAnswersTime = 10 * time.Second
	// recordsPollInterval is the interval at which a shutdown checks for open records of requests.
	recordsPollInterval = 10 * time.Millisecond
	// shutdownStepTimeout bounds each of the final steps of a shutdown.
	shutdownStepTimeout = 5 * time.Second
)

// Daemon is one running host.
type Daemon struct {
	settings *settings.Settings
	network  Network
	metrics  *telemetry.Metrics
	// clients is what clients hold together.
	clients  *ingress.Budget
	rpc      *rpc.Client
	group    *controlgroup.Client
	session  *session.Session
	traits   *crashcause.Host
	standby  *standby.Client
	journals []*standby.Journals
	registry *registry.Registry
	router   *routing.Router
	replica  *controlReplica
	forward  *forwarder
	handler  *entry.Handler
	// While leaving is set the readiness check fails; while draining is set new requests
	// are refused.
	leaving  atomic.Bool
	draining atomic.Bool
	// callers and operators are HTTP servers; callers is nil without the entry role.
	callers   *httpServer
	operators *httpServer
	// stopSession stops the session's heartbeats; sessionDone is closed when they have stopped.
	stopSession context.CancelFunc
	// stopStandby stops the maintenance of the standby grants and waits for its end.
	stopStandby func()
	sessionDone chan struct{}
	// upstreamHTTP is the client for upstreams.
	upstreamHTTP *http.Client
	wg           sync.WaitGroup
}

// New returns a host that is not started.
func New(s *settings.Settings, network Network) *Daemon {
	return &Daemon{settings: s, network: network, traits: crashcause.NewHost()}
}

// Run serves until ctx ends, then drains the host: requests in flight are completed.
func (d *Daemon) Run(ctx context.Context) error {
	s := d.settings
	background, stop := context.WithCancel(context.Background())
	defer stop()
	detach := context.AfterFunc(ctx, stop)
	if err := d.start(background); err != nil {
		d.abort(stop)
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	if !detach() {
		return d.shutdown(stop)
	}
	klog.InfoS("host started", "zone", s.Zone)
	select {
	case <-ctx.Done():
	case err := <-d.storageFailure():
		klog.ErrorS(err, "host failed, shutting down")
		return errors.Join(err, d.shutdown(stop))
	}
	return d.shutdown(stop)
}

// storageFailure returns a channel that receives the failure of the control replica's
// storage. It is nil if the host has no replica.
func (d *Daemon) storageFailure() <-chan error {
	if d.replica == nil {
		return nil
	}
	return d.replica.failed
}

// goRun runs fn on a goroutine for whose end the shutdown waits.
func (d *Daemon) goRun(fn func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		fn()
	}()
}

// shutdown first fails the readiness check, so that the load balancer directs callers
// to other hosts. It then refuses new requests, waits for those in flight, closes the
// session and stops the control replica.
func (d *Daemon) shutdown(stop context.CancelFunc) error {
	klog.InfoS("draining")
	d.leaving.Store(true)
	if d.callers != nil {
		time.Sleep(d.settings.DrainDelay.Duration)
	}
	d.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	lastAnswers := time.AfterFunc(drainTimeout-lastAnswersTime, d.handler.EndRequests)
	defer lastAnswers.Stop()
	var err error
	if d.callers != nil {
		err = d.callers.drain(ctx)
	}
	err = errors.Join(err, d.awaitRecords(ctx))
	d.endSession()
	err = errors.Join(err, d.operators.drain(ctx))
	if d.replica != nil {
		d.replica.stop()
	}
	err = errors.Join(err, d.release(stop))
	klog.InfoS("host stopped")
	return err
}

// awaitRecords waits until the records of all answered requests are closed.
func (d *Daemon) awaitRecords(ctx context.Context) error {
	for d.handler.InFlightRequests() > 0 {
		if !timing.Sleep(ctx, recordsPollInterval) {
			return eris.Wrap(ctx.Err(), "close the records of requests")
		}
	}
	return nil
}

func (d *Daemon) endSession() {
	if d.stopStandby != nil {
		d.stopStandby()
		d.standby.Close(context.Background())
	}
	d.stopSession()
	<-d.sessionDone
	ctx, cancel := context.WithTimeout(context.Background(), shutdownStepTimeout)
	defer cancel()
	if err := d.session.Close(ctx); err != nil {
		klog.InfoS("session not closed", "error", err.Error())
	}
}
