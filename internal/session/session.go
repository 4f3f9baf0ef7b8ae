// Package session maintains an entry host's session with the control group: its
// heartbeats, its configuration lease and its view of the configuration.
package session

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/crashcause"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// retryDelay is the delay before opening a session or sending a failed heartbeat is
	// retried.
	retryDelay = 100 * time.Millisecond
	// heartbeatsPerLease is the number of heartbeats per lease duration.
	heartbeatsPerLease = 10
	// heartbeatGrace is the time by which the reply to a heartbeat may be late before the
	// host counts as disconnected.
	heartbeatGrace = time.Second
	// maxHeartbeatInterval bounds the time between two heartbeats.
	maxHeartbeatInterval = 500 * time.Millisecond
)

// ControlGroup is the part of the control group's API that a session uses.
type ControlGroup interface {
	controlapi.Client
	Heartbeat(ctx context.Context, req *controlapi.Heartbeat) (*controlapi.HeartbeatReply, error)
}

// Options configures a Session.
type Options struct {
	ControlGroup ControlGroup
	// Host, Zone and Address describe this host to the other hosts.
	Host    string
	Zone    string
	Address string
	// SchemaMin and SchemaMax bound the schema versions that this host supports.
	SchemaMin int
	SchemaMax int
	// Lease is the expected duration of the configuration lease. The heartbeat interval is
	// derived from it.
	Lease time.Duration
	// HasUnmerged reports whether the host has served requests from standby grants that are not
	// merged yet.
	HasUnmerged func() bool
	// Traits receives the leader's decisions on the requests that crash upstreams, and is
	// reported to the leader; nil means that there are none.
	Traits *crashcause.Host
}

// state is an immutable snapshot that request goroutines read.
type state struct {
	id           string
	leaseExpires time.Time
	view         *config.View
	hosts        []controlapi.HostInfo
	// hostsVersion is the version of hosts.
	hostsVersion  uint64
	fencingNumber uint64
	// replicas holds the addresses of the control replicas as of the last heartbeat.
	replicas []string
	// lastReply is the time of the last heartbeat reply.
	lastReply time.Time
}

// Session is a host's session. Only its own goroutine changes it while Run is active; any
// goroutine may read it.
type Session struct {
	options Options
	state   atomic.Pointer[state]
	mu      sync.Mutex
}

// New returns a session that is not open yet.
func New(o Options) *Session {
	if o.Traits == nil {
		o.Traits = crashcause.NewHost()
	}
	s := &Session{options: o}
	s.state.Store(&state{view: config.NewView(nil, 0)})
	return s
}

// ID returns the ID of the session; empty while none is open.
func (s *Session) ID() string { return s.state.Load().id }

// View returns the configuration under which the host serves.
func (s *Session) View() *config.View { return s.state.Load().view }

// Hosts returns the entry hosts with a live session, as of the last heartbeat.
func (s *Session) Hosts() []controlapi.HostInfo { return s.state.Load().hosts }

// Replicas returns the addresses of the control replicas; empty before the first heartbeat.
func (s *Session) Replicas() []string { return s.state.Load().replicas }

// FencingNumber returns the term of the leader that replied last.
func (s *Session) FencingNumber() uint64 { return s.state.Load().fencingNumber }

// LeaseValid reports whether the configuration lease has not expired, so that the host
// may serve under its view.
func (s *Session) LeaseValid() bool { return time.Now().Before(s.state.Load().leaseExpires) }

// Connected reports whether the control group replied to a heartbeat within the last
// heartbeat interval plus heartbeatGrace.
func (s *Session) Connected() bool {
	return time.Since(s.state.Load().lastReply) < s.heartbeatInterval()+heartbeatGrace
}

// Run opens the session and renews it until ctx ends.
func (s *Session) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if s.ID() == "" {
			s.open(ctx)
			continue
		}
		if !s.heartbeat(ctx) {
			timing.Sleep(ctx, retryDelay)
		}
	}
}

// heartbeatInterval returns the time for which the leader may delay the reply to a
// heartbeat, and thus the time between two heartbeats.
func (s *Session) heartbeatInterval() time.Duration {
	return min(s.options.Lease/heartbeatsPerLease, maxHeartbeatInterval)
}

func (s *Session) open(ctx context.Context) {
	id := s.options.Host + "-" + uuid.NewString()
	cmd := &controlapi.Command{OpenSession: &controlapi.OpenSession{
		Session:   id,
		Host:      s.options.Host,
		Zone:      s.options.Zone,
		Address:   s.options.Address,
		SchemaMin: s.options.SchemaMin,
		SchemaMax: s.options.SchemaMax,
	}}
	result, err := s.options.ControlGroup.Execute(ctx, cmd)
	if err == nil && result.Err != nil {
		err = result.Err
	}
	if err != nil {
		klog.InfoS("failed to open session", "error", err.Error())
		timing.Sleep(ctx, retryDelay)
		return
	}
	s.update(func(next *state) { next.id = id })
	klog.InfoS("session opened", "session", id)
}

// heartbeat renews the lease and reports whether the control group replied. The leader
// delays the reply by heartbeatInterval unless the configuration changes. The view is replaced
// before the new lease takes effect.
func (s *Session) heartbeat(ctx context.Context) bool {
	sent := time.Now()
	before := s.state.Load()
	req := &controlapi.Heartbeat{
		Session:      before.id,
		Revision:     before.view.Revision(),
		HoldMS:       s.heartbeatInterval().Milliseconds(),
		HostsVersion: before.hostsVersion,
		Unmerged:     !s.Connected() || s.options.HasUnmerged(),
		Crashes:      s.options.Traits.Report(sent),
	}
	reply, err := s.options.ControlGroup.Heartbeat(ctx, req)
	if errkind.Is(err, errkind.SessionExpired) {
		klog.InfoS("session expired in the control group", "session", before.id)
		s.update(func(next *state) { next.id = "" })
		return true
	}
	if err != nil {
		klog.InfoS("heartbeat failed", "error", err.Error())
		return false
	}
	s.apply(reply, sent)
	return true
}

func (s *Session) apply(reply *controlapi.HeartbeatReply, sent time.Time) {
	s.options.Traits.Acknowledge()
	s.options.Traits.Apply(reply.FencingNumber, reply.Crashes, time.Now())
	view := s.View()
	if reply.Revision > view.Revision() {
		view = nextView(view, reply)
	}
	s.update(func(next *state) {
		next.view = view
		if reply.HostsVersion != next.hostsVersion {
			next.hosts = reply.Hosts
			next.hostsVersion = reply.HostsVersion
		}
		next.fencingNumber = reply.FencingNumber
		next.replicas = reply.Replicas
		next.lastReply = time.Now()
		next.leaseExpires = sent.Add(time.Duration(reply.LeaseMS) * time.Millisecond)
	})
}

func nextView(view *config.View, reply *controlapi.HeartbeatReply) *config.View {
	if reply.Full {
		view = config.NewView(nil, 0)
	}
	return view.With(reply.Records, reply.Revision)
}

func (s *Session) update(change func(next *state)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.state.Load()
	change(&next)
	s.state.Store(&next)
}

// Close ends the session after the host's last request. Run must have returned.
func (s *Session) Close(ctx context.Context) error {
	id := s.ID()
	if id == "" {
		return nil
	}
	s.update(func(next *state) {
		next.id = ""
		next.leaseExpires = time.Time{}
	})
	cmd := &controlapi.Command{EndSession: &controlapi.EndSession{Session: id, Drained: true}}
	result, err := s.options.ControlGroup.Execute(ctx, cmd)
	if err == nil && result.Err != nil {
		err = result.Err
	}
	return err
}
