package daemon

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/godwitbend/godwitbend/internal/admission"
	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlgroup"
	"github.com/godwitbend/godwitbend/internal/entry"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/hosttls"
	"github.com/godwitbend/godwitbend/internal/ingress"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
	"github.com/godwitbend/godwitbend/internal/registry"
	"github.com/godwitbend/godwitbend/internal/routing"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/session"
	"github.com/godwitbend/godwitbend/internal/settings"
	"github.com/godwitbend/godwitbend/internal/telemetry"
)

const (
	// readHeaderTimeout bounds the reading of a request's header.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout bounds the time for which a client keeps a connection without a request.
	idleTimeout = 2 * time.Minute
)

// start opens the listeners and starts the roles of the host.
func (d *Daemon) start(ctx context.Context) error {
	var err error
	if d.metrics, err = telemetry.NewMetrics(); err != nil {
		return err
	}
	d.clients = newClientBudget(d.settings, ingress.Options{Scope: d.metrics.Scope})
	d.rpc = rpc.NewClient(d.network.DialHost)
	d.upstreamHTTP = d.network.UpstreamClient()
	d.registry = registry.New(d.settings.UpstreamTimeout.Duration)
	d.router = routing.New(routing.Settings{
		Zone:            d.settings.Zone,
		UpstreamTimeout: d.settings.UpstreamTimeout.Duration,
		Hosts:           d.hostCount,
	})
	hostsListener, err := d.network.ListenHosts(d.settings.Listen.Hosts)
	if err != nil {
		return err
	}
	return d.startRoles(ctx, hostsListener)
}

func (d *Daemon) startRoles(ctx context.Context, hostsListener net.Listener) error {
	srv := rpc.NewServer()
	if d.settings.HasRole(settings.RoleControl) {
		if err := d.prepareControl(srv); err != nil {
			return err
		}
	}
	d.prepareSession()
	if err := d.startStandby(ctx, srv); err != nil {
		return err
	}
	d.runSession(ctx)
	announcements := d.announcementHandler(ctx)
	handler := d.callerHandler()
	d.handler = handler
	d.registerHostMethods(srv, announcements, handler)
	d.clients.CountAsUsed(handler.AnswerMemory)
	d.clients.CountAsUsed(srv.MemoryInUse)
	d.goRun(func() { _ = srv.Serve(ctx, d.clients.Listen(hostsListener, ingress.Hosts, nil)) })
	d.goRun(func() { d.maintain(ctx) })
	if err := d.startHTTP(handler, announcements); err != nil {
		return err
	}
	if d.replica == nil {
		return nil
	}
	return d.startControl(ctx)
}

func (d *Daemon) prepareControl(srv *rpc.Server) error {
	if _, err := prepareDirectory(d.settings.DataDir); err != nil {
		return err
	}
	seen, err := controlgroup.OpenSeenReplicas(d.settings.DataDir)
	if err != nil {
		return err
	}
	d.replica = &controlReplica{
		server: controlgroup.NewServer(),
		seen:   seen,
		failed: make(chan error, 1),
	}
	d.replica.server.Register(srv)
	seen.Register(srv)
	controlgroup.RegisterDeliver(srv, d.replica.deliver)
	return nil
}

func (d *Daemon) startControl(ctx context.Context) error {
	if err := startReplica(ctx, d.settings, d.rpc, d.replica); err != nil {
		return err
	}
	d.goRun(func() { d.replica.server.ExpireSessions(ctx) })
	d.goRun(func() { d.replica.watchHealth(ctx) })
	d.startOrders(ctx)
	return nil
}

func (d *Daemon) prepareSession() {
	d.group = controlgroup.NewClient(controlgroup.ClientOptions{
		RPC:      d.rpc,
		Replicas: d.replicaList,
		Relays:   d.relayList,
	})
	d.session = session.New(session.Options{
		ControlGroup: d.group,
		Host:         d.settings.Host,
		Zone:         d.settings.Zone,
		Address:      d.settings.Listen.Hosts,
		SchemaMin:    config.MinSchema,
		SchemaMax:    d.settings.SchemaMax,
		Lease:        d.settings.ConfigLease.Duration,
		HasUnmerged:  func() bool { return d.standby.HasUnmerged() },
		Traits:       d.traits,
	})
}

// runSession opens the session and maintains it until stopSession is called.
func (d *Daemon) runSession(ctx context.Context) {
	ctx, d.stopSession = context.WithCancel(ctx)
	d.sessionDone = make(chan struct{})
	go func() {
		defer close(d.sessionDone)
		d.session.Run(ctx)
	}()
}

// replicaList returns the addresses of the control replicas: first those received in the
// last heartbeat, then the others of the settings.
func (d *Daemon) replicaList() []string {
	out := slices.Clone(d.session.Replicas())
	for _, r := range d.settings.Replicas {
		if !slices.Contains(out, r.Address) {
			out = append(out, r.Address)
		}
	}
	return out
}

// relayList returns the addresses of the other entry hosts.
func (d *Daemon) relayList() []string {
	var out []string
	for _, host := range d.session.Hosts() {
		if host.Address != d.settings.Listen.Hosts {
			out = append(out, host.Address)
		}
	}
	return out
}

// hostCount returns the number of entry hosts with a live session, at least one.
func (d *Daemon) hostCount() int { return max(len(d.session.Hosts()), 1) }

// announcementHandler returns the handler that receives upstreams' announcements.
func (d *Daemon) announcementHandler(ctx context.Context) *registry.Handler {
	d.forward = newForwarder(ctx, d.settings.Listen.Hosts, d.rpc, d.session.Hosts)
	d.goRun(func() { d.forward.watchDirect(ctx) })
	return &registry.Handler{
		Registry: d.registry,
		OnDirect: d.forward.direct.recordReceived,
		Forward:  d.forward.forward,
		Observe:  d.router.Observe,
	}
}

func (d *Daemon) callerHandler() *entry.Handler {
	return entry.New(entry.Options{
		Control:     d.standby,
		Session:     d.session.ID,
		LeaseValid:  d.session.LeaseValid,
		Draining:    d.draining.Load,
		View:        d.session.View,
		Registry:    d.registry,
		Admission:   admission.NewGate(admission.Settings{}, admission.NewCapacity(d.registry, d.hostCount, nil).Slots, nil),
		Router:      d.router,
		Metrics:     d.metrics.Scope,
		OwnerServes: d.ownerServes,
		Traits:      d.traits,
		HTTPClient:  d.upstreamHTTP,
		Limits: entry.Limits{
			BodyBytes:        d.settings.Limits.BodyBytes,
			KeyBytes:         d.settings.Limits.IdempotencyKeyBytes,
			HeaderBytes:      d.settings.Limits.HeaderBytes,
			CallerConcurrent: d.settings.Limits.CallerConcurrency,
		},
	})
}

// registerHostMethods adds the methods that entry hosts call on each other.
func (d *Daemon) registerHostMethods(srv *rpc.Server, announcements *registry.Handler, handler *entry.Handler) {
	d.forward.register(srv, func(a announce.Announcement) { announcements.Apply(a, false) })
	controlgroup.RegisterRelay(srv, controlgroup.NewClient(controlgroup.ClientOptions{
		RPC:      d.rpc,
		Replicas: d.replicaList,
	}))
	rpc.Handle(srv, methodServes, func(_ context.Context, req *servesRequest) (*servesReply, error) {
		serves := req.Session == d.session.ID() && handler.Serving(req.RequestID)
		return &servesReply{Serves: serves}, nil
	})
}

// startHTTP starts the HTTP servers for callers, upstreams and operators.
func (d *Daemon) startHTTP(handler http.Handler, announcements http.Handler) error {
	bounded, err := d.listenHTTP(d.settings.Listen.Operators, ingress.Operators)
	if err != nil {
		return err
	}
	operators, err := hosttls.WrapOperatorListener(bounded, d.settings.TLS)
	if err != nil {
		return err
	}
	if operators != net.Listener(bounded) {
		bounded.Opaque()
	}
	mux := http.NewServeMux()
	telemetry.Register(mux, d.metrics.Handler, d.ready)
	mux.Handle("/", operatorapi.New(operatorapi.Options{
		Host:          d.settings.Host,
		Control:       d.group,
		Ready:         d.ready,
		KeyHashes:     d.settings.OperatorKeyHashes,
		Upstreams:     d.upstreams,
		ChangeReplica: d.group.ChangeReplica,
		SendOrder:     d.order,
		OnRefusal:     func(kind errkind.Kind) { telemetry.Refusal(d.metrics.Scope, kind).Inc(1) },
	}))
	d.operators = d.serveHTTP(bounded, operators, mux)
	if !d.settings.HasRole(settings.RoleEntry) {
		return nil
	}
	callers, err := d.listenHTTP(d.settings.Listen.Callers, ingress.Callers)
	if err != nil {
		return err
	}
	callerMux := http.NewServeMux()
	callerMux.Handle(announce.PathAnnounce, announcements)
	callerMux.HandleFunc("GET "+telemetry.PathReady, telemetry.ReadyHandler(d.ready))
	callerMux.Handle("/", handler)
	d.callers = d.serveHTTP(callers, callers, callerMux)
	return nil
}

// listenHTTP listens for a class of clients.
func (d *Daemon) listenHTTP(address string, class ingress.Class) (*ingress.Listener, error) {
	listener, err := d.network.Listen(address)
	if err != nil {
		return nil, err
	}
	limits := ingress.Limits{HeaderBytes: int64(d.settings.Limits.HeaderBytes), HeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	return d.clients.Listen(listener, class, func() ingress.Limits { return limits }), nil
}

// ready returns nil, or the reason why the host refuses new requests.
func (d *Daemon) ready() error {
	switch {
	case d.leaving.Load():
		return errkind.New(errkind.Draining, "the host is draining")
	case !d.session.LeaseValid():
		return errkind.New(errkind.LeaseLapsed, "the host holds no configuration lease")
	}
	return nil
}

// upstreams returns the state of each known upstream, sorted by id.
func (d *Daemon) upstreams() []operatorapi.Upstream {
	return operatorapi.ListUpstreams(d.registry.Snapshot(), time.Now(), d.settings.UpstreamTimeout.Duration)
}
