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
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/replica"
	"github.com/godwitbend/godwitbend/internal/rpc"
)

const (
	// expiryInterval is the time between two looks for lapsed sessions.
	expiryInterval = 200 * time.Millisecond
	// maxHold bounds the time for which a heartbeat is held.
	maxHold = time.Second
	// inForceWait bounds the time that a configuration change is held until it is in force everywhere.
	// It is shorter than callTimeout, so that the host that asks is told "not yet".
	inForceWait = time.Second
	// expiryTimeout bounds the proposal that ends a lapsed session.
	expiryTimeout = 2 * time.Second
)

// ServerOptions configure a Server.
type ServerOptions struct {
	Machine *control.Machine
	// Addresses maps the id of each replica to its address for hosts.
	Addresses func(id uint64) string
	// Lease is the length of a configuration lease.
	Lease time.Duration
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// Server serves the control group's methods on one replica. Until Bind it
// refuses every call with ControlUnavailable.
type Server struct {
	o       ServerOptions
	replica atomic.Pointer[replica.Replica]
	mu      sync.Mutex
	// leader and term are set between the start and the end of this replica's leadership.
	leader bool
	term   uint64
	// since is the time at which the leadership began.
	since  time.Time
	leases *leaseTable
	// revision is the newest configuration revision that this leader has
	// committed; configured is closed and replaced when it rises.
	revision   uint64
	configured chan struct{}
	// awaited is the latest look at the standby grants.
	awaited awaited
}

// NewServer returns a server that is not bound to a replica yet.
func NewServer() *Server {
	return &Server{leases: newLeaseTable(0), configured: make(chan struct{})}
}

// Configure sets the options. It is called before the replica starts.
func (s *Server) Configure(o ServerOptions) {
	if o.Now == nil {
		o.Now = time.Now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.o = o
	s.leases = newLeaseTable(o.Lease)
}

// Bind starts serving from r, which reports its leadership to OnLeadership.
func (s *Server) Bind(r *replica.Replica) {
	s.replica.Store(r)
}

// Replica returns the bound replica, or nil before Bind.
func (s *Server) Replica() *replica.Replica {
	return s.replica.Load()
}

func (s *Server) bound() (*replica.Replica, error) {
	r := s.replica.Load()
	if r == nil {
		return nil, errkind.New(errkind.ControlUnavailable, "the replica has not started")
	}
	return r, nil
}

// Register adds the server's methods to srv.
func (s *Server) Register(srv *rpc.Server) {
	rpc.Handle(srv, MethodExecute, guarded(s, s.Execute))
	rpc.Handle(srv, MethodQuery, guarded(s, s.Query))
	rpc.Handle(srv, MethodHeartbeat, guarded(s, s.Heartbeat))
	rpc.Handle(srv, MethodChangeReplica, guarded(s, s.ChangeReplica))
}

// guarded refuses calls before Bind.
func guarded[Req, Resp any](s *Server, fn func(context.Context, *Req) (*Resp, error)) func(context.Context, *Req) (*Resp, error) {
	return func(ctx context.Context, req *Req) (*Resp, error) {
		if _, err := s.bound(); err != nil {
			return nil, err
		}
		return fn(ctx, req)
	}
}

// OnLeadership is called on the control goroutine when this replica's
// leadership starts or ends.
func (s *Server) OnLeadership(leader bool, term uint64) {
	sessions := s.o.Machine.Sessions()
	ids := make([]string, 0, len(sessions))
	for _, host := range sessions {
		ids = append(ids, host.Session)
	}
	_, _, revision := s.o.Machine.RecordsAfter(math.MaxUint64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = leader
	s.term = term
	s.since = s.o.Now()
	s.revision = revision
	s.leases.reset(ids, s.o.Now())
	close(s.configured)
	s.configured = make(chan struct{})
	klog.InfoS("leadership changed", "leader", leader, "term", term)
}

// Execute commits a command and returns its result.
func (s *Server) Execute(ctx context.Context, req *ExecuteRequest) (*ExecuteReply, error) {
	cmd := req.Command
	result, moved, err := s.propose(ctx, &cmd)
	if err != nil || moved.NotLeader {
		return &ExecuteReply{redirect: moved}, err
	}
	s.afterCommit(ctx, &cmd, result)
	return &ExecuteReply{Result: *result}, nil
}

func (s *Server) propose(ctx context.Context, cmd *controlapi.Command) (*controlapi.Result, redirect, error) {
	cmd.TimeMS = s.o.Now().UnixMilli()
	data, err := codec.Marshal(cmd)
	if err != nil {
		return nil, redirect{}, err
	}
	value, err := s.Replica().Propose(ctx, data)
	if err != nil {
		moved, err := s.redirect(err)
		return nil, moved, err
	}
	result, ok := value.(*controlapi.Result)
	if !ok {
		return nil, redirect{}, errkind.New(errkind.Internal, "state machine returned %T", value)
	}
	return result, redirect{}, nil
}

// redirect turns a NotLeaderError into a redirect, and any other error into ControlUnavailable.
func (s *Server) redirect(err error) (redirect, error) {
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) {
		return redirect{NotLeader: true, Leader: s.address(notLeader.Leader)}, nil
	}
	return redirect{}, errkind.New(errkind.ControlUnavailable, "%v", err)
}

// afterCommit keeps the leases in step with a committed command.
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
		s.leases.open(cmd.OpenSession.Session, s.o.Now())
		s.mu.Unlock()
	case cmd.EndSession != nil:
		s.mu.Lock()
		s.leases.end(cmd.EndSession.Session)
		s.mu.Unlock()
	case cmd.Configure != nil && result.Configure != nil:
		s.setRevision(result.Configure.Revision)
		reply := *result.Configure
		reply.Accepted = s.waitInForce(ctx, reply.Revision)
		result.Configure = &reply
	}
}

// waitInForce waits until revision is in force on every host that may serve,
// at most inForceWait, and tells whether it is.
func (s *Server) waitInForce(ctx context.Context, revision uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, inForceWait)
	defer cancel()
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		inForce := s.leader && s.leases.inForce(revision, s.o.Now())
		changed := s.leases.changed
		s.mu.Unlock()
		if inForce {
			return s.confirmed(ctx)
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		case <-ticker.C:
		}
	}
}

// confirmed tells whether this replica still leads, so that its leases are all there are.
func (s *Server) confirmed(ctx context.Context) bool {
	_, err := s.Replica().Barrier(ctx)
	return err == nil
}

// Query answers from the state machine of the confirmed leader.
func (s *Server) Query(ctx context.Context, req *controlapi.QueryRequest) (*QueryReply, error) {
	out := &QueryReply{}
	err := s.Replica().Read(ctx, func() { out.Reply = *s.o.Machine.Query(req) })
	if err != nil {
		moved, err := s.redirect(err)
		return &QueryReply{redirect: moved}, err
	}
	if req.Request != "" {
		out.Reply.JournalsAwaited = s.journalsAwaited(ctx, "")
	}
	if req.Replicas {
		s.replicas(&out.Reply)
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

// HandOver passes leadership to the replica that is furthest, if this one leads.
func (s *Server) HandOver(ctx context.Context) error {
	r, err := s.bound()
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
