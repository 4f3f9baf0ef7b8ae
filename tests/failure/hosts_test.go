package failure_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/load"
	"github.com/godwitbend/godwitbend/internal/trace"
)

func TestCalm(t *testing.T) {
	for _, name := range []string{trace.Heraut, trace.Carvalho} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, name, nil)
			o := s.run(traceSize, load.NoFailure)
			s.expectPromisesKept(o)
			s.Expect(o.Findings.AbortedStreams).To(BeZero())
			s.Expect(s.Stop()).To(Succeed())
		})
	}
}

func TestEntryHostKilledWithStreamsOpen(t *testing.T) {
	s := newSite(t, trace.Carvalho, nil)
	s.expectPromisesKept(s.run(traceSize, load.KillEntry))
}

func TestLeaderKilledUnderLoad(t *testing.T) {
	s := newSite(t, trace.Carvalho, nil)
	s.expectPromisesKept(s.run(failoverSize, load.KillLeader))
}

func TestEngineAndLeaderKilledTogether(t *testing.T) {
	s := newSite(t, trace.Heraut, nil)
	s.expectPromisesKept(s.run(failoverSize, load.KillEngineAndLeader))
}

func TestLeaderFrozenAndWokenUnderLoad(t *testing.T) {
	s := newSite(t, trace.Carvalho, nil)
	s.expectPromisesKept(s.run(failoverSize, load.FreezeLeader))
}

func TestRollingRestartCutsOffNothing(t *testing.T) {
	s := newSite(t, trace.Heraut, nil)
	o := s.run(2*failoverSize, load.Drain)
	s.expectPromisesKept(o)
	s.Expect(o.Findings.AbortedStreams).To(BeZero())
	s.Expect(s.Stop()).To(Succeed())
}
