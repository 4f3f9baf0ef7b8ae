package controlgroup

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/control"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/crashcause"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/replica"
	"github.com/godwitbend/godwitbend/internal/rpc"
)

const (
	// leaseCheckInterval is the time between two checks for expired leases.
	leaseCheckInterval = 200 * time.Millisecond
	// maxHeartbeatHold bounds the time for which the reply to a heartbeat is delayed
	// until there is a newer revision.
	maxHeartbeatHold = time.Second
	// inForceTimeout bounds the wait for a configuration change to be in force on all
	// hosts. It is shorter than perTryTimeout, so that the calling host receives the
	// reply that the change is still pending.
	inForceTimeout = time.Second
	// endSessionTimeout bounds the proposal that ends a session whose lease expired.
	endSessionTimeout = 2 * time.Second
)

// ServerOptions configure a Server.
type ServerOptions struct {
	Machine *control.Machine
	// ReplicaAddress returns the configured address at which hosts reach a replica.
	ReplicaAddress func(id uint64) string
	// Lease is the length of a configuration lease.
	Lease time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Server serves the control group's methods on one replica. Before Bind it refuses
// every call with ControlUnavailable.
type Server struct {
	options ServerOptions
	replica atomic.Pointer[replica.Replica]
	mu      sync.Mutex
	// leader is true while this replica is the leader of term, from its first applied
	// entry until it loses leadership.
	leader bool
	term   uint64
	// leaderSince is the time at which the leadership began.
	leaderSince time.Time
	leases      *leaseTable
	// revision is the newest configuration revision that this leader has committed;
	// revisionChanged is closed and replaced when it increases.
	revision        uint64
	revisionChanged chan struct{}
	// crashes finds what the requests that crash upstreams have in common.
	crashes crashcause.Tracker
	// grantCache is the last query of the standby grants.
	grantCache grantCache
}

// NewServer returns a server that is not yet bound to a replica.
func NewServer() *Server {
	return &Server{leases: newLeaseTable(0), revisionChanged: make(chan struct{})}
}

// Configure sets the options. It must be called before the replica starts.
func (s *Server) Configure(o ServerOptions) {
	if o.Now == nil {
		o.Now = time.Now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options = o
	s.leases = newLeaseTable(o.Lease)
}

// Bind starts serving from r, whose Options.OnLeadership must be s.OnLeadership.
func (s *Server) Bind(r *replica.Replica) {
	s.replica.Store(r)
}

// Replica returns the bound replica, or nil before Bind.
func (s *Server) Replica() *replica.Replica {
	return s.replica.Load()
}

func (s *Server) boundReplica() (*replica.Replica, error) {
	r := s.replica.Load()
	if r == nil {
		return nil, errkind.New(errkind.ControlUnavailable, "the replica has not started")
	}
	return r, nil
}

// Register adds the server's methods to srv.
func (s *Server) Register(srv *rpc.Server) {
	rpc.Handle(srv, MethodExecute, requireBound(s, s.Execute))
	rpc.Handle(srv, MethodQuery, requireBound(s, s.Query))
	rpc.Handle(srv, MethodHeartbeat, requireBound(s, s.Heartbeat))
	rpc.Handle(srv, MethodChangeReplica, requireBound(s, s.ChangeReplica))
}

// requireBound wraps a handler to refuse calls before Bind.
func requireBound[Req, Resp any](s *Server, fn func(context.Context, *Req) (*Resp, error)) func(context.Context, *Req) (*Resp, error) {
	return func(ctx context.Context, req *Req) (*Resp, error) {
		if _, err := s.boundReplica(); err != nil {
			return nil, err
		}
		return fn(ctx, req)
	}
}

// OnLeadership is called on the replica's event loop when the replica becomes leader
// or loses leadership.
func (s *Server) OnLeadership(leader bool, term uint64) {
	sessions := s.options.Machine.Sessions()
	ids := make([]string, 0, len(sessions))
	for _, host := range sessions {
		ids = append(ids, host.Session)
	}
	_, _, revision := s.options.Machine.RecordsAfter(math.MaxUint64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = leader
	s.term = term
	s.leaderSince = s.options.Now()
	s.revision = revision
	s.leases.reset(ids, s.options.Now())
	close(s.revisionChanged)
	s.revisionChanged = make(chan struct{})
	klog.InfoS("leadership changed", "leader", leader, "term", term)
}

// Execute commits a command and returns its result.
func (s *Server) Execute(ctx context.Context, req *ExecuteRequest) (*ExecuteReply, error) {
	cmd := req.Command
	result, redirection, err := s.propose(ctx, &cmd)
	if err != nil || redirection.NotLeader {
		return &ExecuteReply{redirect: redirection}, err
	}
	s.afterCommit(ctx, &cmd, result)
	return &ExecuteReply{Result: *result}, nil
}

func (s *Server) propose(ctx context.Context, cmd *controlapi.Command) (*controlapi.Result, redirect, error) {
	cmd.TimeMS = s.options.Now().UnixMilli()
	data, err := codec.Marshal(cmd)
	if err != nil {
		return nil, redirect{}, err
	}
	value, err := s.Replica().Propose(ctx, data)
	if err != nil {
		redirection, err := s.redirect(err)
		return nil, redirection, err
	}
	result, ok := value.(*controlapi.Result)
	if !ok {
		return nil, redirect{}, errkind.New(errkind.Internal, "state machine returned %T", value)
	}
	return result, redirect{}, nil
}

// redirect converts a NotLeaderError into a redirect, and any other error into
// ControlUnavailable.
func (s *Server) redirect(err error) (redirect, error) {
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) {
		return redirect{NotLeader: true, Leader: s.address(notLeader.Leader)}, nil
	}
	return redirect{}, errkind.New(errkind.ControlUnavailable, "%v", err)
}

// afterCommit updates the leases after a committed command, and completes the results
// that depend on the leases.
func (s *Server) afterCommit(ctx context.Context, cmd *controlapi.Command, result *controlapi.Result) {
	if cmd.Begin != nil && !cmd.Begin.Unkeyed && cmd.Begin.Repeatable {
		result.JournalsAwaited = s.journalsAwaited(ctx, cmd.Begin.Session)
	}
	if result.Err != nil {
		return
	}
	switch {
	case cmd.OpenSession != nil:
		s.mu.Lock()
		s.leases.open(cmd.OpenSession.Session, s.options.Now())
		s.mu.Unlock()
	case cmd.EndSession != nil:
		s.mu.Lock()
		s.leases.end(cmd.EndSession.Session)
		s.mu.Unlock()
	case cmd.Configure != nil && result.Configure != nil:
		s.setRevision(result.Configure.Revision)
		reply := *result.Configure
		reply.Accepted = s.waitUntilInForce(ctx, reply.Revision)
		result.Configure = &reply
	}
}

// waitUntilInForce waits at most inForceTimeout until revision is in force on every
// host that may serve, and reports whether it is.
func (s *Server) waitUntilInForce(ctx context.Context, revision uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		inForce := s.leader && s.leases.inForce(revision, s.options.Now())
		changed := s.leases.changed
		s.mu.Unlock()
		if inForce {
			return s.confirmLeadership(ctx)
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		case <-ticker.C:
		}
	}
}

// confirmLeadership reports whether this replica is still the leader, so that no other
// leader can have granted leases that are missing from its table.
func (s *Server) confirmLeadership(ctx context.Context) bool {
	_, err := s.Replica().Barrier(ctx)
	return err == nil
}

// Query is a linearizable read of the state machine.
func (s *Server) Query(ctx context.Context, req *controlapi.QueryRequest) (*QueryReply, error) {
	out := &QueryReply{}
	err := s.Replica().Read(ctx, func() { out.Reply = *s.options.Machine.Query(req) })
	if err != nil {
		redirection, err := s.redirect(err)
		return &QueryReply{redirect: redirection}, err
	}
	if req.Request != "" {
		out.Reply.JournalsAwaited = s.journalsAwaited(ctx, "")
	}
	if req.Replicas {
		s.fillReplicas(&out.Reply)
	}
	s.fillRevisions(out.Reply.Hosts)
	return out, nil
}

func (s *Server) fillRevisions(hosts []controlapi.HostInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range hosts {
		hosts[i].Revision = s.leases.revision(hosts[i].Session)
	}
}

// TransferLeadership transfers leadership to the most up-to-date voter, if this replica
// is the leader.
func (s *Server) TransferLeadership(ctx context.Context) error {
	r, err := s.boundReplica()
	if err != nil {
		return err
	}
	status := r.Status()
	if status.Leader != status.ID {
		return nil
	}
	var target uint64
	var match uint64
	for _, p := range status.Peers {
		if p.ID != status.ID && !p.Learner && p.Match >= match {
			target, match = p.ID, p.Match
		}
	}
	if target == 0 {
		return nil
	}
	return r.TransferLeadership(ctx, target)
}
