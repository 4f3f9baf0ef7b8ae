package controlnode

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/replica"
)

const (
	// catchUpTime is the time after its start, or after its successor's, for which a host that was lost still
	// counts as lost (catch_up_s in the users' settings). One host may be lost at a time.
	catchUpTime = 4 * time.Second
	// recoveryTime is the time after a power loss within which the group must have a leader (recover_s).
	recoveryTime = 12 * time.Second
)

// simSupervisor is the part of Node.supervise that decides on the membership.
type simSupervisor struct {
	tracker *memberTracker
	reports replicaReports
}

func newSimSupervisor(now time.Duration) *simSupervisor {
	return &simSupervisor{newMemberTracker(time.Unix(0, 0).Add(now)), newReplicaReports()}
}

func (s *simSupervisor) hear(id uint64) { s.reports.heard[id] = true }

func (s *simSupervisor) hearStop(id uint64) { s.reports.stopped[id] = true }

func (s *simSupervisor) update(st replica.Status, now time.Duration) {
	s.tracker.update(st, s.reports, time.Unix(0, 0).Add(now))
	s.reports = newReplicaReports()
}

func (s *simSupervisor) next() (memberChange, memberState) {
	return nextMemberChange(s.tracker.states())
}

// target returns a running host: the leader, the one with the oldest disk, or any.
func (g *simGroup) target() *simHost {
	running := g.running()
	switch leader := g.leader(); {
	case leader != nil && g.random.IntN(2) == 0:
		return leader
	case g.random.IntN(2) == 0:
		return running[0]
	default:
		return running[g.random.IntN(len(running))]
	}
}

// pause returns a time that is often 0 or short.
func (g *simGroup) pause(longest time.Duration) time.Duration {
	switch g.random.IntN(3) {
	case 0:
		return 0
	case 1:
		return g.upTo(longest / 8)
	default:
		return g.upTo(longest)
	}
}

func (g *simGroup) upTo(longest time.Duration) time.Duration {
	return time.Duration(g.random.Int64N(int64(longest/simStep)+1)) * simStep
}

// loseOne makes the group lose one host for a while or for good, and returns once the host counts no longer as lost.
func (g *simGroup) loseOne() {
	h := g.target()
	switch kind := g.random.IntN(8); kind {
	case 0, 1, 2:
		g.logf("%s (%d) is gone for good", h.address, h.id)
		g.kill(h)
		h.removed = true
		g.advance(g.pause(2 * time.Second))
		g.start(g.newHost())
	case 3, 4:
		g.logf("%s (%d) will be replaced", h.address, h.id)
		g.start(g.newHost())
		g.advance(2 * time.Second)
		g.logf("%s (%d) is stopped for good", h.address, h.id)
		g.terminate(h)
		h.removed = true
		g.advance(catchUpTime / 2)
		return
	case 5:
		g.logf("%s (%d) restarts", h.address, h.id)
		g.kill(h)
		g.advance(g.upTo(3 * time.Second))
		g.start(h)
	case 6:
		g.logf("%s (%d) is suspended", h.address, h.id)
		h.frozen = true
		g.advance(g.upTo(9 * time.Second))
		h.frozen = false
	case 7:
		g.logf("%s (%d) loses its disk", h.address, h.id)
		g.kill(h)
		g.advance(g.upTo(3 * time.Second))
		h.wipe()
		g.start(h)
	}
	g.advance(catchUpTime)
}

// split cuts the group in two halves for some seconds.
func (g *simGroup) split() {
	running := g.running()
	g.random.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	for _, h := range running[:len(running)/2] {
		h.cut = true
	}
	g.logf("split: %d from %d", len(running)/2, len(running)-len(running)/2)
	g.advance(g.upTo(5 * time.Second))
	for _, h := range running {
		h.cut = false
	}
	g.logf("split ends")
	g.advance(g.pause(catchUpTime))
}

// losePower ends all processes at once, erases one disk, and starts all again.
func (g *simGroup) losePower() {
	running := g.running()
	lost := g.target()
	g.logf("all lose power; %s (%d) loses its disk", lost.address, lost.id)
	for _, h := range running {
		g.kill(h)
	}
	g.advance(time.Second + g.upTo(2*time.Second))
	lost.wipe()
	for _, h := range running {
		g.start(h)
	}
	g.leaderlessSince, g.longest = g.now, 0
}

// envNumber returns the environment variable's value, or otherwise if it is not a number.
func envNumber(variable string, otherwise uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(variable), 10, 64); err == nil {
		return n
	}
	return otherwise
}

// Guards against a group of live hosts that elects no leader after a power loss in which one disk is lost.
func TestGroupElectsLeaderAfterReplacementsAndPowerLoss(t *testing.T) {
	t.Parallel()
	first, count := envNumber("SEED", 0), envNumber("SCHEDULES", 500)
	failed, longest := 0, time.Duration(0)
	for seed := first; seed < first+count; seed++ {
		g := newSimGroup(seed, []int{5, 3, 5}[seed%3])
		g.advance(10 * time.Second)
		g.longest = 0
		for range 1 + g.random.IntN(6) {
			if g.random.IntN(6) == 0 {
				g.split()
			}
			g.loseOne()
			g.advance(g.pause(6 * time.Second))
		}
		longest = max(longest, g.longest)
		before := g.describe()
		g.losePower()
		g.advance(recoveryTime)
		if !g.leads() {
			failed++
			if failed <= 3 {
				t.Errorf("seed %d: no leader %s after the power loss; before: %s\n%s", seed, recoveryTime, before, strings.Join(g.trace, "\n"))
			}
		}
	}
	t.Logf("%d of %d schedules without a leader at the end; longest time without one before: %s", failed, count, longest)
	NewWithT(t).Expect(failed).To(BeZero())
}
