package failure_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/load"
	"github.com/godwitbend/godwitbend/internal/trace"
)

// TestFaultFreeRun replays both deployments without failures.
func TestFaultFreeRun(t *testing.T) {
	for _, name := range []string{trace.Heraut, trace.Carvalho} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, name, nil)
			o := s.run(traceSize, load.NoFailure)
			s.expectGuaranteesHold(o)
			s.Expect(o.Findings.AbortedStreams).To(BeZero())
			s.Expect(s.Stop()).To(Succeed())
		})
	}
}

func TestEntryHostKilledWithStreamsOpen(t *testing.T) {
	s := newSite(t, trace.Carvalho, nil)
	s.expectGuaranteesHold(s.run(traceSize, load.KillEntry))
}

func TestLeaderKilledUnderLoad(t *testing.T) {
	s := newSite(t, trace.Carvalho, nil)
	s.expectGuaranteesHold(s.run(failoverTraceSize, load.KillLeader))
}

func TestEngineAndLeaderKilledTogether(t *testing.T) {
	s := newSite(t, trace.Heraut, nil)
	s.expectGuaranteesHold(s.run(failoverTraceSize, load.KillEngineAndLeader))
}

func TestLeaderFrozenAndResumedUnderLoad(t *testing.T) {
	s := newSite(t, trace.Carvalho, nil)
	s.expectGuaranteesHold(s.run(failoverTraceSize, load.FreezeLeader))
}

func TestRollingRestartAbortsNoStream(t *testing.T) {
	s := newSite(t, trace.Heraut, nil)
	o := s.run(2*failoverTraceSize, load.Drain)
	s.expectGuaranteesHold(o)
	s.Expect(o.Findings.AbortedStreams).To(BeZero())
	s.Expect(s.Stop()).To(Succeed())
}
