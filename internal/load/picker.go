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
	// probeInterval is the time between the readiness checks of a host, as a balancer makes them.
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// picker sends calls to entry hosts; it chooses hosts in turn among those that are ready, as the platform's balancer does.
type picker struct {
	site  *Site
	hosts []*harness.Host
	mu    sync.Mutex
	ready []bool
	last  int
}

func newPicker(s *Site) *picker {
	p := &picker{site: s, hosts: s.Hosts, ready: make([]bool, len(s.Hosts))}
	for i := range p.ready {
		p.ready[i] = true
	}
	return p
}

// next returns the number of a ready host other than before, or of any if none is ready.
func (p *picker) next(_ *trace.Arrival, before int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range p.hosts {
		p.last = (p.last + 1) % len(p.hosts)
		if p.ready[p.last] && p.last != before {
			return p.last
		}
	}
	p.last = (p.last + 1) % len(p.hosts)
	return p.last
}

func (p *picker) address(call *harness.Call, o *order, i int) {
	call.URL = p.hosts[i].CallersURL()
	if o.chat == nil {
		call.Path = "/services/" + o.arrival.Service + call.Path
	}
}

func (p *picker) requestID(a *trace.Arrival) string {
	return controlapi.RequestIDFor(a.Caller(), a.Key)
}

// watch checks the hosts until ctx ends.
func (p *picker) watch(ctx context.Context) {
	var probes sync.WaitGroup
	for i, h := range p.hosts {
		probes.Go(func() { p.watchHost(ctx, i, h) })
	}
	probes.Wait()
}

func (p *picker) watchHost(ctx context.Context, i int, h *harness.Host) {
	for timing.Sleep(ctx, probeInterval) {
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		ready := p.site.Ready(probe, h)
		cancel()
		p.mu.Lock()
		p.ready[i] = ready
		p.mu.Unlock()
	}
}
