package controlgroup

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/timing"
)

// ExpireSessions ends sessions whose lease has lapsed, while this replica leads, until ctx ends.
func (s *Server) ExpireSessions(ctx context.Context) {
	timing.Every(ctx, expiryInterval, func() { s.expireLapsed(ctx) })
}

func (s *Server) expireLapsed(ctx context.Context) {
	s.mu.Lock()
	var lapsed []string
	if s.leader {
		lapsed = s.leases.lapsed(s.o.Now())
	}
	s.mu.Unlock()
	for _, session := range lapsed {
		ctx, cancel := context.WithTimeout(ctx, expiryTimeout)
		req := &ExecuteRequest{Command: controlapi.Command{EndSession: &controlapi.EndSession{Session: session}}}
		_, err := s.Execute(ctx, req)
		cancel()
		if err != nil {
			klog.InfoS("session not ended", "session", session, "error", err.Error())
			return
		}
		klog.InfoS("session ended", "session", session, "reason", "lease lapsed")
	}
}
