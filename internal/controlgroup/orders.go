package controlgroup

import (
	"context"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/ordersender"
)

var _ ordersender.Leader = (*Server)(nil)

// Leadership implements ordersender.Leader.
func (s *Server) Leadership() (ordersender.Leadership, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ordersender.Leadership{Term: s.term, Since: s.leaderSince}, s.leader
}

// Confirm implements ordersender.Leader.
func (s *Server) Confirm(ctx context.Context) (uint64, error) {
	r, err := s.boundReplica()
	if err != nil {
		return 0, err
	}
	point, err := r.Barrier(ctx)
	return point.Term, err
}

// Orders implements ordersender.Leader.
func (s *Server) Orders(ctx context.Context) ([]*controlapi.OrderStatus, error) {
	r, err := s.boundReplica()
	if err != nil {
		return nil, err
	}
	var list []controlapi.OrderStatus
	err = r.LocalRead(ctx, func() { list = s.options.Machine.Query(&controlapi.QueryRequest{Orders: true}).Orders })
	out := make([]*controlapi.OrderStatus, 0, len(list))
	for i := range list {
		out = append(out, &list[i])
	}
	return out, err
}
