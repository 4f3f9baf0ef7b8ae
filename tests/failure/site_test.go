package failure_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/load"
	"github.com/godwitbend/godwitbend/internal/trace"
)

const (
	testTimeout  = 2 * time.Minute
	hosts        = 4
	control      = 3
	engines      = 4
	replicas     = 2
	amplyPaidIn  = 100_000_000
	traceSeed    = 3
	traceSize    = 400
	traceRate    = 60
	unhurried    = 1.0
	failoverSize = 600
	faultySize   = 150
)

// site is a small deployment under test.
type site struct {
	*WithT
	*load.Site
	ctx        context.Context
	deployment *trace.Deployment
}

// newSite starts a small site of a deployment; it is stopped at the end of the test.
func newSite(t *testing.T, name string, adjust func(*load.SiteOptions)) *site {
	t.Helper()
	skipIfShort(t)
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	d := trace.Find(name)
	d.Engines = engines
	d.Replicas = replicas
	opts := load.SiteOptions{
		Deployment: d, Bin: bin, Dir: t.TempDir(), Subnet: subnet(),
		Hosts: hosts, ControlHosts: control, Budget: amplyPaidIn,
	}
	if adjust != nil {
		adjust(&opts)
	}
	started, err := load.Start(ctx, opts)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		cancel()
		started.Kill()
	})
	return &site{g, started, ctx, d}
}

// run sends a generated trace under a scenario.
func (s *site) run(size int, scenario load.Scenario) *load.RunResult {
	arrivals := trace.Generate(s.deployment, traceSeed, size, traceRate)
	outcome, err := s.Run(s.ctx, arrivals, unhurried, scenario)
	s.Expect(err).NotTo(HaveOccurred())
	return outcome
}

// expectPromisesKept checks that no promise was broken and each request was served.
func (s *site) expectPromisesKept(o *load.RunResult) {
	f := o.Findings
	s.Expect(f.HasViolations()).To(BeFalse(), "%+v", f)
	s.Expect(f.Served).To(Equal(f.Requests), "%+v", f)
}
