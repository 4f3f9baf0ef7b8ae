// Package session keeps an entry host's session with the control group: the
// heartbeats, the configuration lease and the configuration view.
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
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// openRetryDelay is the time between two tries to open a session.
	openRetryDelay = 100 * time.Millisecond
	// heartbeatsPerLease is the number of heartbeats in the length of a lease.
	heartbeatsPerLease = 10
	// maxHeartbeatInterval bounds the time between two heartbeats.
	// connectedAllowance is the time by which a heartbeat's answer may be late.
	connectedAllowance   = time.Second
	maxHeartbeatInterval = 500 * time.Millisecond
)

// Group is the part of the control group that a session needs.
type Group interface {
	controlapi.Client
	Heartbeat(ctx context.Context, req *controlapi.Heartbeat) (*controlapi.HeartbeatReply, error)
}

// Options configure a Session.
type Options struct {
	Group Group
	// Host, Zone and Address describe this host to the others.
	Host    string
	Zone    string
	Address string
	// SchemaMin and SchemaMax bound the schema versions that this host can serve under.
	SchemaMin int
	SchemaMax int
	// Lease is the expected length of the configuration lease; it sets the pace of heartbeats.
	Lease time.Duration
	// Unmerged tells whether the host has served from standby grants what the
	// control group does not know yet.
	Unmerged func() bool
}

// state is what traffic goroutines read.
type state struct {
	id      string
	expires time.Time
	view    *config.View
	hosts   []controlapi.HostInfo
	// hostsVersion is that of hosts.
	hostsVersion uint64
	fencing      uint64
	// replicas are the addresses of the control replicas, as of the last heartbeat.
	replicas []string
	// answered is the time of the last heartbeat's answer.
	answered time.Time
}

// Session is a host's session. Its goroutine owns the changes; any goroutine may read.
type Session struct {
	o     Options
	state atomic.Pointer[state]
	mu    sync.Mutex
}

// New returns a session that is not open yet.
func New(o Options) *Session {
	s := &Session{o: o}
	s.state.Store(&state{view: config.NewView(nil, 0)})
	return s
}

// ID returns the id of the session; empty while none is open.
func (s *Session) ID() string { return s.state.Load().id }

// View returns the configuration that the host serves under.
func (s *Session) View() *config.View { return s.state.Load().view }

// Hosts returns the entry hosts with a live session, as of the last heartbeat.
func (s *Session) Hosts() []controlapi.HostInfo { return s.state.Load().hosts }

// Replicas returns the addresses of the control replicas; empty before the first heartbeat.
func (s *Session) Replicas() []string { return s.state.Load().replicas }

// FencingNumber returns the term of the leader that answered last.
func (s *Session) FencingNumber() uint64 { return s.state.Load().fencing }

// LeaseValid tells whether the host may serve under its view now.
func (s *Session) LeaseValid() bool { return time.Now().Before(s.state.Load().expires) }

// Connected tells whether the control group answered a heartbeat lately.
func (s *Session) Connected() bool {
	return time.Since(s.state.Load().answered) < s.interval()+connectedAllowance
}

// Run opens the session and keeps it until ctx ends.
func (s *Session) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if s.ID() == "" {
			s.open(ctx)
			continue
		}
		if !s.heartbeat(ctx) {
			timing.Sleep(ctx, openRetryDelay)
		}
	}
}

// interval returns the time for which the leader may hold a heartbeat.
func (s *Session) interval() time.Duration {
	return min(s.o.Lease/heartbeatsPerLease, maxHeartbeatInterval)
}

func (s *Session) open(ctx context.Context) {
	id := s.o.Host + "-" + uuid.NewString()
	cmd := &controlapi.Command{OpenSession: &controlapi.OpenSession{
		Session:   id,
		Host:      s.o.Host,
		Zone:      s.o.Zone,
		Address:   s.o.Address,
		SchemaMin: s.o.SchemaMin,
		SchemaMax: s.o.SchemaMax,
	}}
	result, err := s.o.Group.Execute(ctx, cmd)
	if err == nil && result.Err != nil {
		err = result.Err
	}
	if err != nil {
		klog.InfoS("session not opened", "error", err.Error())
		timing.Sleep(ctx, openRetryDelay)
		return
	}
	s.update(func(next *state) { next.id = id })
	klog.InfoS("session opened", "session", id)
}

// heartbeat renews the lease, and tells whether the control group answered. The
// leader holds the answer for the interval unless the configuration changes.
// The view is replaced before the new lease counts.
func (s *Session) heartbeat(ctx context.Context) bool {
	sent := time.Now()
	before := s.state.Load()
	req := &controlapi.Heartbeat{
		Session:      before.id,
		Revision:     before.view.Revision(),
		HoldMS:       s.interval().Milliseconds(),
		HostsVersion: before.hostsVersion,
		Unmerged:     !s.Connected() || s.o.Unmerged(),
	}
	reply, err := s.o.Group.Heartbeat(ctx, req)
	if errkind.Is(err, errkind.SessionExpired) {
		klog.InfoS("session ended by the control group", "session", before.id)
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
		next.fencing = reply.FencingNumber
		next.replicas = reply.Replicas
		next.answered = time.Now()
		next.expires = sent.Add(time.Duration(reply.LeaseMS) * time.Millisecond)
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
		next.expires = time.Time{}
	})
	cmd := &controlapi.Command{EndSession: &controlapi.EndSession{Session: id, Drained: true}}
	result, err := s.o.Group.Execute(ctx, cmd)
	if err == nil && result.Err != nil {
		err = result.Err
	}
	return err
}
