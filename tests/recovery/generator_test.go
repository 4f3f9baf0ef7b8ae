package recovery_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const generatedSeeds = 500

func TestSchedulesAreDeterministic(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newSchedule(1, soakLength)).To(Equal(newSchedule(1, soakLength)))
	g.Expect(newSchedule(1, soakLength)).NotTo(Equal(newSchedule(2, soakLength)))
	s := newSchedule(3, soakLength)
	g.Expect(s.String()).To(Equal(s.String()))
}

func TestSchedulesStayWithinTheirBounds(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(generatedSeeds) {
		s := newSchedule(seed, soakLength)
		g.Expect(s.Control).To(BeElementOf(3, 5))
		g.Expect(s.Gateways).To(BeNumerically("~", 2.5, 0.5))
		g.Expect(s.length()).To(BeNumerically(">=", soakLength))
		g.Expect(s.length()).To(BeNumerically("<", 2*soakLength))
		g.Expect(s.End.Down).To(And(BeNumerically(">=", minPowerOff), BeNumerically("<=", maxPowerOff)))
		for _, step := range s.Steps {
			g.Expect(step.Gap).To(And(BeNumerically(">=", 0), BeNumerically("<=", maxLargeGap)), "%s", step)
			g.Expect(step.Down).To(And(BeNumerically(">=", 0), BeNumerically("<=", maxFreeze)), "%s", step)
			g.Expect(step.Target == "").To(Equal(step.Kind == restartAll || step.Kind == split || !step.Kind.losesControlHost()), "%s", step)
			if step.Kind == restartAll {
				g.Expect(step.Down).To(BeNumerically("<", time.Second), "%s", step)
			}
			g.Expect(step.Fault.Kind == "" || step.Kind == replaceKilled || step.Kind == loseDisk).To(BeTrue(), "%s", step)
		}
	}
}

// TestSchedulesLeaveLittleTimeBetweenLosses requires the sequences for which the soak exists to be frequent.
func TestSchedulesLeaveLittleTimeBetweenLosses(t *testing.T) {
	g := NewWithT(t)
	kinds := map[stepKind]int{}
	leadersInARow, leaderLostAfterReplacement, replacedAtTheEnd := 0, 0, 0
	for seed := range uint64(generatedSeeds) {
		s := newSchedule(seed, soakLength)
		var before step
		tightPair, tightFault := false, false
		for _, step := range s.Steps {
			kinds[step.Kind]++
			if !step.Kind.losesControlHost() {
				continue
			}
			tight := before.Kind.replaces() && step.Target == targetLeader && step.Gap <= maxSmallGap
			tightPair = tightPair || tight && before.Target == targetLeader && step.Kind.replaces()
			tightFault = tightFault || tight && !step.Kind.replaces()
			before = step
		}
		leadersInARow += count(tightPair)
		leaderLostAfterReplacement += count(tightFault)
		replacedAtTheEnd += count(before.Kind.replaces() && s.End.Gap <= maxSmallGap)
	}
	for _, kind := range []stepKind{
		replaceKilled, replacePlanned, restartKilled, restartTerminated, freeze, cutOff, split, loseDisk, restartAll, changeSeeds, killGateway, freezeGateway,
	} {
		g.Expect(kinds[kind]).To(BeNumerically(">", generatedSeeds/10), string(kind))
	}
	g.Expect(leadersInARow).To(BeNumerically(">", generatedSeeds/10))
	g.Expect(leaderLostAfterReplacement).To(BeNumerically(">", generatedSeeds/3))
	g.Expect(replacedAtTheEnd).To(BeNumerically(">", generatedSeeds/3))
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
