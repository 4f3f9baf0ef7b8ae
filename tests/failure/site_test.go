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
	testTimeout = 2 * time.Minute
	hosts       = 4
	// control is the number of hosts with a control replica.
	control = 3
	engines = 4
	// replicas is the number of replicas of the plain service.
	replicas = 2
	// ampleBudgetTokens never runs out in a test.
	ampleBudgetTokens = 100_000_000
	traceSeed         = 3
	// traceSize, failoverTraceSize and faultyTraceSize are the numbers of arrivals in traces.
	traceSize = 400
	// traceRate is the mean arrival rate, in requests per second.
	traceRate = 60
	// traceSpeed replays arrivals in real time.
	traceSpeed        = 1.0
	failoverTraceSize = 600
	faultyTraceSize   = 150
)

// site is a small deployment under test.
type site struct {
	*WithT
	*load.Site
	ctx        context.Context
	deployment *trace.Deployment
}

// newSite starts a small site of the named deployment and kills it when the test ends.
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
		Hosts: hosts, ControlHosts: control, Budget: ampleBudgetTokens,
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

// run replays a generated trace of size arrivals under a failure scenario.
func (s *site) run(size int, scenario load.Scenario) *load.RunResult {
	arrivals := trace.Generate(s.deployment, traceSeed, size, traceRate)
	outcome, err := s.Run(s.ctx, arrivals, traceSpeed, scenario)
	s.Expect(err).NotTo(HaveOccurred())
	return outcome
}

// expectGuaranteesHold checks that no guarantee was violated and every request was served.
func (s *site) expectGuaranteesHold(o *load.RunResult) {
	f := o.Findings
	s.Expect(f.HasViolations()).To(BeFalse(), "%+v", f)
	s.Expect(f.Served).To(Equal(f.Requests), "%+v", f)
}
