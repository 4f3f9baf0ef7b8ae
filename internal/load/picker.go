package load

import (
	"context"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/harness"
	"github.com/godwitbend/godwitbend/internal/timing"
	"github.com/godwitbend/godwitbend/internal/trace"
)

const (
	// probeInterval is the time between two readiness checks of a host.
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// hostPicker selects the entry host of each call. Like the platform's load balancer, it checks the
// readiness of the hosts and selects ready hosts round-robin.
type hostPicker struct {
	site  *Site
	hosts []*harness.Host
	mu    sync.Mutex
	ready []bool
	// last is the index of the host selected last.
	last int
}

// newHostPicker returns a picker that assumes all hosts to be ready until they are checked.
func newHostPicker(s *Site) *hostPicker {
	p := &hostPicker{site: s, hosts: s.Hosts, ready: make([]bool, len(s.Hosts))}
	for i := range p.ready {
		p.ready[i] = true
	}
	return p
}

// next returns the index of a ready host other than previous, or of any host if there is none.
func (p *hostPicker) next(_ *trace.Arrival, previous int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range p.hosts {
		p.last = (p.last + 1) % len(p.hosts)
		if p.ready[p.last] && p.last != previous {
			return p.last
		}
	}
	p.last = (p.last + 1) % len(p.hosts)
	return p.last
}

func (p *hostPicker) setTarget(call *harness.Call, req *inFlightRequest, i int) {
	call.URL = p.hosts[i].CallersURL()
	if req.chat == nil {
		call.Path = "/services/" + req.arrival.Service + call.Path
	}
}

func (p *hostPicker) requestID(a *trace.Arrival) string {
	return controlapi.RequestIDFor(a.Caller(), a.Key)
}

// watch checks the readiness of all hosts until ctx is done.
func (p *hostPicker) watch(ctx context.Context) {
	var pollers sync.WaitGroup
	for i, h := range p.hosts {
		pollers.Go(func() { p.pollReadiness(ctx, i, h) })
	}
	pollers.Wait()
}

func (p *hostPicker) pollReadiness(ctx context.Context, i int, h *harness.Host) {
	for timing.Sleep(ctx, probeInterval) {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		ready := p.site.Ready(probeCtx, h)
		cancel()
		p.mu.Lock()
		p.ready[i] = ready
		p.mu.Unlock()
	}
}
