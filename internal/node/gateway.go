package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/gateway"
	"github.com/godwitbend/godwitbend/internal/hostsync"
	"github.com/godwitbend/godwitbend/internal/ingress"
	"github.com/godwitbend/godwitbend/internal/linkadmission"
	"github.com/godwitbend/godwitbend/internal/netconn"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/retrylimit"
	"github.com/godwitbend/godwitbend/internal/settings"
	"github.com/godwitbend/godwitbend/internal/telemetry"
	"github.com/godwitbend/godwitbend/internal/timing"
	"github.com/godwitbend/godwitbend/internal/tunnel"
	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
	"github.com/godwitbend/godwitbend/internal/upstreampath"
)

const (
	// callerIdleTimeout bounds the time for which a caller keeps a connection, and callerHeaderTimeout and callerHeaderBytes the
	// reading of a request's header, where the configuration sets no limit.
	callerIdleTimeout   = 2 * time.Minute
	callerHeaderTimeout = 15 * time.Second
	callerHeaderBytes   = 64 << 10
	// callerUnackedTimeout is how long bytes sent to a caller may stay unacknowledged, or wait for room at a caller
	// that reads slowly. It exceeds the time of most requests.
	callerUnackedTimeout = time.Minute
	// hostsUnackedTimeout is how long bytes sent to another gateway may stay unacknowledged. It exceeds the time of most streams
	// that are carried for that host.
	hostsUnackedTimeout = time.Minute
)

// errSessionLost means that this process has to stop, as its successor has started.
var errSessionLost = eris.New("another process has opened a session for this host")

// runGateway serves callers until ctx ends.
func runGateway(ctx context.Context, s *watchedSettings, adapter Adapter, metrics *telemetry.Metrics, stalls *stallDetector, clients *clientBudget) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go stalls.run(background)
	defer context.AfterFunc(ctx, stalls.noteSignal)()
	pool := placement.NewPool(s.Zone)
	pool.SetWarmUpOptions(placement.WarmUpOptions{Burst: s.WarmUp.Burst, Observe: gateway.WarmUpObserver(metrics.Scope)})
	orderByValue := s.Admission.Order == settings.OrderByValue
	if orderByValue {
		pool.OrderByValue()
	}
	limit := retrylimit.Settings{Ratio: s.Retries.Ratio, Slack: s.Retries.Slack, Window: s.Retries.Window.Duration}
	retries := retrylimit.New(limit, time.Now())
	client := hostsync.New(hostsync.Options{
		Host: s.Host, Address: s.Listen.Hosts, Zone: s.Zone, Seeds: s.hostSeeds, Decode: adapter.DecodeDocument, Pool: pool,
		Retries: retries, Clock: bootTime, Boot: bootID(),
	})
	meter := &linkadmission.Meter{}
	paths := upstreampath.NewDialer(upstreampath.Options{
		Direct: upstreamhttp.NewDialer(measuringDialer(adapter.Dial, meter)).Dial, Tunnel: tunnelDialer(metrics.Scope), Hosts: client.OtherHosts, CutOff: pool.ForgiveFailures,
		Scope: metrics.Scope,
	})
	handler := gateway.NewHandler(gateway.Options{
		Dialect: adapter.Dialect, Sync: client, Pool: pool, Retries: retries,
		Paths: paths, Scope: metrics.Scope, Clock: bootTime,
		OrderByValue: orderByValue,
	})
	clients.CountAsUsed(handler.AnswerMemory)
	ready := func() error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-client.SessionLost():
			return errSessionLost
		default:
			return handler.Ready()
		}
	}
	callers := newCallerServer(handler)
	callers.Handler = countPanics(handler, metrics.Scope)
	readiness := &http.Server{Handler: adapter.Ready(ready)}
	if err := clients.serveMetrics(s.Node, metrics, ready, nil); err != nil {
		return err
	}
	if err := clients.serve(s.Listen.Readiness, ingress.Probes, probeLimits, readiness); err != nil {
		return err
	}
	if err := serveCallers(background, s, callers, meter, metrics.Scope, clients, func() ingress.Limits { return callerLimits(client.View()) }); err != nil {
		return err
	}
	hosts, err := netconn.Listen(s.Listen.Hosts, hostsUnackedTimeout)
	if err != nil {
		return err
	}
	tunnels := &tunnel.Server{Dial: paths.DialForOther, Serves: pool.ServesAt, Scope: metrics.Scope}
	go func() {
		srv := client.NewServer()
		tunnels.Register(srv)
		clients.CountAsUsed(srv.MemoryInUse)
		if err := srv.Serve(background, clients.Listen(hosts, ingress.Hosts, nil)); err != nil {
			klog.ErrorS(err, "RPC server for hosts failed")
		}
	}()
	go func() {
		if err := client.Gossip(background); err != nil {
			klog.ErrorS(err, "exchange of upstream loads with other hosts failed")
		}
	}()
	go updateGatewayGauges(background, metrics.Scope, pool)
	go timing.Every(background, gaugeInterval, clients.UpdateGauges)
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
		failure = errSessionLost
		klog.InfoS("session lost: stopping as in a planned stop", "reason", failure.Error())
	}
	retries.StopLending()
	closeBy, exitBy := callers.stop(s.StopTimeout.Duration, stalls, tunnels, client)
	stop()
	<-done
	if err := client.Close(closeBy); err != nil {
		klog.InfoS("session not closed", "error", err.Error())
	}
	callers.endConnections(exitBy)
	return failure
}

// measuringDialer returns dial, whose connections are recorded by meter and carry one exchange each.
func measuringDialer(dial upstreamhttp.TimedDialFunc, meter *linkadmission.Meter) upstreamhttp.TimedDialFunc {
	return func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
		started := time.Now()
		conn, err := dial(ctx, address, timeout)
		if err != nil {
			return nil, err
		}
		meter.Connected(time.Since(started), time.Now())
		return netconn.ForExchange(conn), nil
	}
}

// serveCallers starts the server for callers. If the settings say so, it refuses their connections
// while the link of this host is congested.
func serveCallers(ctx context.Context, s *watchedSettings, callers *callerServer, meter *linkadmission.Meter, scope tally.Scope, clients *clientBudget, limits func() ingress.Limits) error {
	listener, err := linkadmission.NewListener(linkadmission.Options{
		MaxDelay: s.Link.MaxDelay.Duration, Meter: meter, Scope: scope,
		Listen: func() (*netconn.Listener, error) {
			socket, err := netconn.Listen(s.Listen.Callers, callerUnackedTimeout)
			if err == nil {
				ingress.BoundReceiveBuffer(socket)
			}
			return socket, err
		},
	})
	if err != nil {
		return err
	}
	bounded := clients.Listen(listener, ingress.Callers, limits)
	if s.Link.MaxDelay.Duration == 0 {
		bounded.Instrument(callers.Server)
		callers.serve(bounded)
		return nil
	}
	go listener.Run(ctx)
	handler := callers.Handler
	callers.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if listener.Refuses() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	bounded.Instrument(callers.Server)
	callers.serve(bounded)
	return nil
}

// callerLimits returns the limits of the configuration, which may be nil, and the defaults for those that it does not set.
func callerLimits(view *hostsync.View) ingress.Limits {
	limits := ingress.Limits{HeaderBytes: callerHeaderBytes, HeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout}
	if view == nil {
		return limits
	}
	document := view.Index.Document
	if document.Limits.HeaderBytes > 0 {
		limits.HeaderBytes = document.Limits.HeaderBytes
	}
	if document.Limits.HeaderTimeout > 0 {
		limits.HeaderTimeout = document.Limits.HeaderTimeout
	}
	if document.Limits.IdleTimeout > 0 {
		limits.IdleTimeout = document.Limits.IdleTimeout
	}
	return limits
}
