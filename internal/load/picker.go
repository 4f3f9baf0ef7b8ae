package load

import (
	"context"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/harness"
)

const (
	// probeInterval is the time between the readiness checks of a host, as a balancer makes them.
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// picker chooses hosts in turn among those that are ready, as the platform's balancer does.
type picker struct {
	hosts []*harness.Host
	mu    sync.Mutex
	ready []bool
	last  int
}

func newPicker(hosts []*harness.Host) *picker {
	p := &picker{hosts: hosts, ready: make([]bool, len(hosts))}
	for i := range p.ready {
		p.ready[i] = true
	}
	return p
}

// next returns the number of a ready host other than before, or of any if none is ready.
func (p *picker) next(before int) int {
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

// watch checks the hosts until ctx ends.
func (p *picker) watch(ctx context.Context, s *Site) {
	var probes sync.WaitGroup
	for i, h := range p.hosts {
		probes.Go(func() { p.watchHost(ctx, s, i, h) })
	}
	probes.Wait()
}

func (p *picker) watchHost(ctx context.Context, s *Site, i int, h *harness.Host) {
	for sleepUntil(ctx, time.Now().Add(probeInterval)) {
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		ready := s.Ready(probe, h)
		cancel()
		p.mu.Lock()
		p.ready[i] = ready
		p.mu.Unlock()
	}
}
