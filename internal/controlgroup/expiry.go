package controlgroup

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/timing"
)

// ExpireSessions ends sessions whose lease has expired whenever this replica is the
// leader, until ctx ends.
func (s *Server) ExpireSessions(ctx context.Context) {
	timing.Every(ctx, leaseCheckInterval, func() { s.endExpiredSessions(ctx) })
}

func (s *Server) endExpiredSessions(ctx context.Context) {
	s.mu.Lock()
	var expired []string
	if s.leader {
		expired = s.leases.expired(s.options.Now())
	}
	s.mu.Unlock()
	for _, session := range expired {
		ctx, cancel := context.WithTimeout(ctx, endSessionTimeout)
		req := &ExecuteRequest{Command: controlapi.Command{EndSession: &controlapi.EndSession{Session: session}}}
		_, err := s.Execute(ctx, req)
		cancel()
		if err != nil {
			klog.InfoS("failed to end session", "session", session, "error", err.Error())
			return
		}
		klog.InfoS("session ended", "session", session, "reason", "lease lapsed")
	}
}
