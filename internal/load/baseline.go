package load

import (
	"context"
	"sync/atomic"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/harness"
	"github.com/godwitbend/godwitbend/internal/trace"
)

// baselineTargets selects targets for the baseline: calls go directly to the upstreams,
// round-robin. Nothing is billed, queued by class, or run at most once.
type baselineTargets struct {
	engines  []string
	replicas []string
	calls    atomic.Int64
}

// newBaselineTargets returns the upstreams of s, of which the last is the plain service.
func newBaselineTargets(s *Site) *baselineTargets {
	b := &baselineTargets{}
	last := len(s.Upstreams) - 1
	for _, u := range s.Upstreams[:last] {
		b.engines = append(b.engines, u.Addresses...)
	}
	b.replicas = s.Upstreams[last].Addresses
	return b
}

// addresses returns the addresses of the upstreams that serve a.
func (b *baselineTargets) addresses(a *trace.Arrival) []string {
	if a.Method == "" {
		return b.engines
	}
	return b.replicas
}

func (b *baselineTargets) next(a *trace.Arrival, _ int) int {
	return int(b.calls.Add(1)) % len(b.addresses(a))
}

func (b *baselineTargets) setTarget(call *harness.Call, req *inFlightRequest, i int) {
	call.URL = "http://" + b.addresses(req.arrival)[i]
	call.RequestID = req.id
}

func (b *baselineTargets) requestID(a *trace.Arrival) string {
	return controlapi.RequestIDFor("naive "+a.Caller(), a.Key)
}

func (b *baselineTargets) watch(context.Context) {}
