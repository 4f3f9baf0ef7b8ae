package controlgroup

import (
	"context"
	"time"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// Heartbeat renews a session's configuration lease. The lease is recorded before the
// configuration is read, so a change missing from the reply is not accepted while
// the host may serve without it. The barrier follows the receipt of the heartbeat,
// so a deposed leader grants no lease.
func (s *Server) Heartbeat(ctx context.Context, req *controlapi.Heartbeat) (*HeartbeatReply, error) {
	s.mu.Lock()
	s.leases.renew(req.Session, req.Revision, req.Unmerged, s.options.Now())
	s.mu.Unlock()
	s.waitForNewerRevision(ctx, req)
	confirmed, err := s.Replica().Barrier(ctx)
	if err != nil {
		redirection, err := s.redirect(err)
		return &HeartbeatReply{redirect: redirection}, err
	}
	out := &HeartbeatReply{}
	open := false
	err = s.Replica().LocalRead(ctx, func() { open = s.fillHeartbeatReply(req, &out.Reply) })
	if err != nil {
		return nil, errkind.New(errkind.ControlUnavailable, "%v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !open {
		s.leases.end(req.Session)
		return nil, errkind.New(errkind.SessionExpired, "session %s is not open", req.Session)
	}
	if !s.leader || s.term != confirmed.Term {
		return &HeartbeatReply{redirect: redirect{NotLeader: true}}, nil
	}
	now := s.options.Now()
	s.crashes.Apply(&req.Crashes, now)
	out.Reply.Crashes = s.crashes.Decide(now)
	out.Reply.LeaseMS = s.options.Lease.Milliseconds()
	out.Reply.FencingNumber = confirmed.Term
	out.Reply.Replicas = s.replicaAddresses()
	return out, nil
}

// waitForNewerRevision waits until the leader has committed a newer revision than the
// host's, but no longer than the heartbeat asks for and maxHeartbeatHold.
func (s *Server) waitForNewerRevision(ctx context.Context, req *controlapi.Heartbeat) {
	hold := min(time.Duration(req.HoldMS)*time.Millisecond, maxHeartbeatHold)
	if hold <= 0 {
		return
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for {
		s.mu.Lock()
		wait := s.leader && s.revision <= req.Revision
		changed := s.revisionChanged
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

// setRevision records a committed revision and wakes the heartbeats that wait for it.
func (s *Server) setRevision(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, revision)
	close(s.revisionChanged)
	s.revisionChanged = make(chan struct{})
}

// fillHeartbeatReply fills in the reply and reports whether the session is open. It
// runs on the replica's event loop.
func (s *Server) fillHeartbeatReply(req *controlapi.Heartbeat, reply *controlapi.HeartbeatReply) bool {
	machine := s.options.Machine
	reply.HostsVersion = machine.SessionsVersion()
	if reply.HostsVersion != req.HostsVersion {
		reply.Hosts = machine.Sessions()
	}
	reply.Records, reply.Full, reply.Revision = machine.RecordsAfter(req.Revision)
	reply.ActiveSchema = machine.ActiveSchema()
	return machine.SessionOpen(req.Session)
}
