package controlgroup

import (
	"context"
	"time"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// Heartbeat renews a session's configuration lease. The lease is recorded
// before the configuration is read, so a change that the reply does not carry
// is not accepted while the host may serve without it. The barrier comes after
// the receipt, so a deposed leader gives no lease.
func (s *Server) Heartbeat(ctx context.Context, req *controlapi.Heartbeat) (*HeartbeatReply, error) {
	s.mu.Lock()
	s.leases.renew(req.Session, req.Revision, req.Unmerged, s.o.Now())
	s.mu.Unlock()
	s.hold(ctx, req)
	term, err := s.Replica().Barrier(ctx)
	if err != nil {
		moved, err := s.redirect(err)
		return &HeartbeatReply{redirect: moved}, err
	}
	out := &HeartbeatReply{}
	open := false
	err = s.Replica().LocalRead(ctx, func() { open = s.fillHeartbeat(req, &out.Reply) })
	if err != nil {
		return nil, errkind.New(errkind.ControlUnavailable, "%v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !open {
		s.leases.end(req.Session)
		return nil, errkind.New(errkind.SessionExpired, "session %s is not open", req.Session)
	}
	if !s.leader || s.term != term {
		return &HeartbeatReply{redirect: redirect{NotLeader: true}}, nil
	}
	out.Reply.LeaseMS = s.o.Lease.Milliseconds()
	out.Reply.FencingNumber = term
	out.Reply.Replicas = s.replicaAddresses()
	return out, nil
}

// hold waits until the leader has committed a newer revision than the host's, or the hold is over.
func (s *Server) hold(ctx context.Context, req *controlapi.Heartbeat) {
	hold := min(time.Duration(req.HoldMS)*time.Millisecond, maxHold)
	if hold <= 0 {
		return
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for {
		s.mu.Lock()
		wait := s.leader && s.revision <= req.Revision
		changed := s.configured
		s.mu.Unlock()
		if !wait {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-changed:
		}
	}
}

// setRevision wakes the heartbeats that wait for a newer revision.
func (s *Server) setRevision(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, revision)
	close(s.configured)
	s.configured = make(chan struct{})
}

// fillHeartbeat runs on the control goroutine. It tells whether the session is open.
func (s *Server) fillHeartbeat(req *controlapi.Heartbeat, reply *controlapi.HeartbeatReply) bool {
	machine := s.o.Machine
	reply.HostsVersion = machine.SessionsVersion()
	if reply.HostsVersion != req.HostsVersion {
		reply.Hosts = machine.Sessions()
	}
	reply.Records, reply.Full, reply.Revision = machine.RecordsAfter(req.Revision)
	reply.ActiveSchema = machine.ActiveSchema()
	return machine.SessionOpen(req.Session)
}
