// Package daemon wires the parts of one host together and runs them.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/controlgroup"
	"github.com/godwitbend/godwitbend/internal/entry"
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
	// drainTimeout bounds the wait for requests in flight at a shutdown.
	drainTimeout = 10 * time.Minute
	// recordsInterval is the time between two looks for records that are not closed yet.
	recordsInterval = 10 * time.Millisecond
	// closeTimeout bounds each of the last steps of a shutdown.
	closeTimeout = 5 * time.Second
)

// Daemon is one running host.
type Daemon struct {
	settings *settings.Settings
	network  Network
	metrics  *telemetry.Metrics
	rpc      *rpc.Client
	group    *controlgroup.Client
	session  *session.Session
	standby  *standby.Client
	journals []*standby.Journals
	registry *registry.Registry
	router   *routing.Router
	replica  *controlReplica
	forward  *forwarder
	handler  *entry.Handler
	// leaving fails the readiness check; draining refuses new work.
	leaving  atomic.Bool
	draining atomic.Bool
	// callers and operators are the HTTP servers; callers is nil without the entry role.
	callers   *http.Server
	operators *http.Server
	// stopSession ends the session's heartbeats; sessionDone closes when they have ended.
	stopSession context.CancelFunc
	// stopStandby ends the maintenance of the standby grants.
	stopStandby func()
	sessionDone chan struct{}
	// upstreamHTTP speaks to upstreams.
	upstreamHTTP *http.Client
	wg           sync.WaitGroup
}

// New returns a host that is not started yet.
func New(s *settings.Settings, network Network) *Daemon {
	return &Daemon{settings: s, network: network}
}

// Run serves until ctx ends, then drains: no request in flight is cut off.
func (d *Daemon) Run(ctx context.Context) error {
	s := d.settings
	background, stop := context.WithCancel(context.Background())
	defer stop()
	waiting := context.AfterFunc(ctx, stop)
	if err := d.start(background); err != nil {
		d.abort(stop)
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	if !waiting() {
		return d.shutdown(stop)
	}
	klog.InfoS("host started", "zone", s.Zone)
	select {
	case <-ctx.Done():
	case err := <-d.failed():
		klog.ErrorS(err, "host stops")
		return errors.Join(err, d.shutdown(stop))
	}
	return d.shutdown(stop)
}

// failed reports the failure of the control replica's storage; without a
// replica it never does.
func (d *Daemon) failed() <-chan error {
	if d.replica == nil {
		return nil
	}
	return d.replica.failed
}

// goRun runs fn on a goroutine that shutdown waits for.
func (d *Daemon) goRun(fn func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		fn()
	}()
}

// shutdown first fails the readiness check, so that the balancer moves callers
// away, then refuses new work, waits for the requests in flight, ends the
// session and leaves the control group.
func (d *Daemon) shutdown(stop context.CancelFunc) error {
	klog.InfoS("draining")
	d.leaving.Store(true)
	if d.callers != nil {
		d.callers.SetKeepAlivesEnabled(false)
		time.Sleep(d.settings.DrainDelay.Duration)
	}
	d.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err := shutdownServer(ctx, d.callers)
	err = errors.Join(err, d.awaitRecords(ctx))
	d.endSession()
	err = errors.Join(err, shutdownServer(ctx, d.operators))
	if d.replica != nil {
		d.replica.stop()
	}
	err = errors.Join(err, d.release(stop))
	klog.InfoS("host stopped")
	return err
}

// shutdownServer waits for the requests in flight of srv, which may be nil.
func shutdownServer(ctx context.Context, srv *http.Server) error {
	if srv == nil {
		return nil
	}
	return eris.Wrap(srv.Shutdown(ctx), "drain requests in flight")
}

// awaitRecords waits until the records of the requests that were answered are closed.
func (d *Daemon) awaitRecords(ctx context.Context) error {
	for d.handler.InFlightRequests() > 0 {
		if !timing.Sleep(ctx, recordsInterval) {
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
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := d.session.Close(ctx); err != nil {
		klog.InfoS("session not ended", "error", err.Error())
	}
}

// serveHTTP serves handler on listener until the shutdown.
func (d *Daemon) serveHTTP(listener net.Listener, handler http.Handler) *http.Server {
	srv := &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    d.settings.Limits.HeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	d.goRun(func() {
		if err := srv.Serve(listener); err != http.ErrServerClosed {
			klog.ErrorS(err, "HTTP server ended", "address", listener.Addr().String())
		}
	})
	return srv
}
