package load

import (
	"context"
	"sync/atomic"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/harness"
	"github.com/godwitbend/godwitbend/internal/trace"
)

// naive is the baseline: callers go to the upstreams in turn, with no router
// between them. Nothing is billed, queued by class, or run at most once.
type naive struct {
	engines  []string
	replicas []string
	turn     atomic.Int64
}

func newNaive(s *Site) *naive {
	n := &naive{}
	last := len(s.Upstreams) - 1
	for _, u := range s.Upstreams[:last] {
		n.engines = append(n.engines, u.Addresses...)
	}
	n.replicas = s.Upstreams[last].Addresses
	return n
}

func (n *naive) addresses(a *trace.Arrival) []string {
	if a.Method == "" {
		return n.engines
	}
	return n.replicas
}

func (n *naive) next(a *trace.Arrival, _ int) int {
	return int(n.turn.Add(1)) % len(n.addresses(a))
}

func (n *naive) address(call *harness.Call, o *order, i int) {
	call.URL = "http://" + n.addresses(o.arrival)[i]
	call.RequestID = o.id
}

func (n *naive) requestID(a *trace.Arrival) string {
	return controlapi.RequestIDFor("naive "+a.Caller(), a.Key)
}

func (n *naive) watch(context.Context) {}
