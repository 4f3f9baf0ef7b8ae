package controlnode

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/replication"
)

const (
	// settleTime is the time without disturbances after which every host votes and nobody else does.
	settleTime = 30 * time.Second
	// calmTime is the time without disturbances after which the group has a leader.
	calmTime = 3 * time.Second
)

// simChecker checks the safety of a simulated group.
type simChecker struct {
	leaders   map[uint64]uint64 // by term
	applied   map[uint64]uint64 // terms of the applied entries, by index
	violation string
}

func newSimChecker(g *simGroup) *simChecker {
	c := &simChecker{leaders: map[uint64]uint64{}, applied: map[uint64]uint64{}}
	g.observe = func(h *simHost, rd replication.Ready) {
		for _, e := range rd.Committed {
			if term, known := c.applied[e.Index]; known && term != e.Term {
				c.fail("entry %d was applied with terms %d and %d", e.Index, term, e.Term)
			}
			c.applied[e.Index] = e.Term
		}
		s := h.node.Status()
		if s.Role != replication.Leader {
			return
		}
		if leader, known := c.leaders[s.Term]; known && leader != s.ID {
			c.fail("replicas %d and %d lead in term %d", leader, s.ID, s.Term)
		} else if !known {
			c.leaders[s.Term] = s.ID
			c.checkLog(h, s.Term)
		}
	}
	return c
}

func (c *simChecker) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

// checkLog checks that a new leader has all entries that were applied before.
func (c *simChecker) checkLog(h *simHost, term uint64) {
	has := map[uint64]uint64{}
	for _, e := range h.entries {
		has[e.Index] = e.Term
	}
	for index, t := range c.applied {
		if index > h.snap.Index && has[index] != t {
			c.fail("the leader of term %d lacks entry %d of term %d", term, index, t)
		}
	}
}

// faultKinds are the losses of a host that overlap with others.
const faultKinds = 6

// lose makes the group lose h and returns after how long it, or its successor, is back.
func (g *simGroup) lose(h *simHost) time.Duration {
	switch kind := g.random.IntN(faultKinds); kind {
	case 0, 1:
		g.logf("%s (%d) is gone for good", h.address, h.id)
		g.kill(h)
		h.removed = true
		back := g.pause(2 * time.Second)
		successor := g.newHost()
		successor.started = -1
		g.after(back, func() { g.start(successor) })
		return back
	case 2:
		g.logf("%s (%d) loses its disk", h.address, h.id)
		g.kill(h)
		h.wipe()
		back := g.upTo(3 * time.Second)
		g.after(back, func() { g.start(h) })
		return back
	case 3:
		g.logf("%s (%d) restarts", h.address, h.id)
		g.kill(h)
		back := g.upTo(3 * time.Second)
		g.after(back, func() { g.start(h) })
		return back
	case 4:
		g.logf("%s (%d) is suspended", h.address, h.id)
		h.frozen = true
		back := g.upTo(9 * time.Second)
		g.after(back, func() { h.frozen = false })
		return back
	default:
		every := 2 + g.random.IntN(60)
		g.logf("%s (%d) runs every %d ms", h.address, h.id, every*10)
		h.every = every
		back := g.upTo(6 * time.Second)
		g.after(back, func() { h.every = 0 })
		return back
	}
}

// disturbAll kills all hosts or splits them in two halves, which happens whatever is tolerated, and returns
// after how long it ends.
func (g *simGroup) disturbAll() time.Duration {
	hosts := g.running()
	if g.random.IntN(2) == 0 {
		g.logf("all are killed")
		for _, h := range hosts {
			g.kill(h)
			g.after(g.upTo(time.Second), func() { g.start(h) })
		}
		return time.Second
	}
	g.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	g.logf("split: %d from %d", len(hosts)/2, len(hosts)-len(hosts)/2)
	for _, h := range hosts[:len(hosts)/2] {
		h.cut = true
	}
	d := g.upTo(5 * time.Second)
	g.after(d, func() {
		for _, h := range g.hosts {
			h.cut = false
		}
	})
	return d
}

// loseMany loses hosts for a time, never more than tolerated at once, and returns once none counts as lost.
func (g *simGroup) loseMany(tolerated int, d time.Duration) {
	var lostUntil []time.Duration
	for end := g.now + d; g.now < end || len(lostUntil) > 0; {
		lostUntil = slices.DeleteFunc(lostUntil, func(t time.Duration) bool { return t <= g.now })
		if g.now < end && g.random.IntN(40) == 0 {
			lostUntil = append(lostUntil, g.now+g.disturbAll()+catchUpTime)
			continue
		}
		if g.now < end && len(lostUntil) < tolerated && len(g.running()) > 0 && g.random.IntN(4) == 0 {
			if h := g.target(); h.every == 0 {
				lostUntil = append(lostUntil, g.now+g.lose(h)+catchUpTime)
			}
			continue
		}
		g.advance(g.upTo(500 * time.Millisecond))
	}
}

// loseAllPower ends all processes at once, erases some disks, and starts all again.
func (g *simGroup) loseAllPower(disks int) {
	running := g.running()
	lost := map[*simHost]bool{}
	for len(lost) < min(disks, len(running)) {
		lost[g.target()] = true
	}
	for _, h := range running {
		g.kill(h)
	}
	g.advance(time.Second + g.upTo(2*time.Second))
	for _, h := range running {
		if lost[h] {
			g.logf("%s (%d) loses its disk with the power", h.address, h.id)
			h.wipe()
		}
		g.start(h)
	}
}

// expectAllVote returns what is wrong if not exactly the hosts that run vote.
func (g *simGroup) expectAllVote() string {
	leader := g.leader()
	if leader == nil || !g.leads() {
		return "no leader"
	}
	runs := map[uint64]bool{}
	for _, h := range g.running() {
		runs[h.id] = true
	}
	voters := 0
	for _, p := range leader.node.Status().Peers {
		if p.Learner || !runs[p.ID] {
			return fmt.Sprintf("%d is a learner or gone: %s", p.ID, g.describe())
		}
		voters++
	}
	if voters != len(runs) {
		return fmt.Sprintf("%d hosts, %s", len(runs), g.describe())
	}
	return ""
}

// Guards against groups that lose their quorum where two hosts may be lost at a time.
func TestLargeGroupElectsLeaderAfterTwoDisksAreLost(t *testing.T) {
	t.Parallel()
	first, count := envNumber("SEED", 0), envNumber("SCHEDULES", 16)
	failed := 0
	for seed := first; seed < first+count; seed++ {
		g := newSimGroup(seed, []int{9, 7}[seed%2])
		checker := newSimChecker(g)
		g.advance(5 * time.Second)
		g.loseMany(2, 20*time.Second)
		before := g.describe()
		g.loseAllPower(2)
		g.advance(recoveryTime)
		problem := ""
		if !g.leads() {
			problem = "no leader"
		}
		g.advance(settleTime)
		if problem == "" {
			problem = g.expectAllVote()
		}
		if checker.violation != "" {
			problem = checker.violation
		}
		if problem != "" {
			failed++
			if failed <= 3 {
				t.Errorf("seed %d: %s; before: %s\n%s", seed, problem, before, strings.Join(g.trace, "\n"))
			}
		}
	}
	NewWithT(t).Expect(failed).To(BeZero())
}

// Guards against groups of few hosts that lose their quorum when losses overlap splits and restarts of all hosts.
func TestGroupElectsLeaderAfterLossesOfManyKinds(t *testing.T) {
	t.Parallel()
	first, count := envNumber("SEED", 0), envNumber("SCHEDULES", 60)
	failed := 0
	for seed := first; seed < first+count; seed++ {
		g := newSimGroup(seed, []int{5, 3, 4, 6}[seed%4])
		checker := newSimChecker(g)
		g.advance(5 * time.Second)
		g.loseMany(1, 20*time.Second)
		before := g.describe()
		g.loseAllPower(1)
		g.advance(recoveryTime)
		problem := ""
		if !g.leads() {
			problem = "no leader"
		}
		g.advance(settleTime)
		if problem == "" {
			problem = g.expectAllVote()
		}
		if checker.violation != "" {
			problem = checker.violation
		}
		if problem != "" {
			failed++
			if failed <= 3 {
				t.Errorf("seed %d: %s; before: %s\n%s", seed, problem, before, strings.Join(g.trace, "\n"))
			}
		}
	}
	NewWithT(t).Expect(failed).To(BeZero())
}

// disturb disturbs links and hosts without any loss of a disk, and returns what ends the disturbance.
func (g *simGroup) disturb() (end func()) {
	hosts := g.running()
	g.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	some := hosts[:1+g.random.IntN(max(len(hosts)/2, 1))]
	switch g.random.IntN(6) {
	case 0:
		g.logf("cut %d from %d", len(some), len(hosts)-len(some))
		for _, h := range some {
			h.cut = true
		}
		return func() {
			for _, h := range some {
				h.cut = false
			}
		}
	case 1:
		from := hosts[0]
		if leader := g.leader(); leader != nil && g.random.IntN(2) == 0 {
			from = leader
		}
		inbound := g.random.IntN(2) == 0
		g.logf("one-way cut of %s (%d), inbound %t, %d links", from.address, from.id, inbound, len(some))
		for _, h := range some {
			link := [2]*simHost{from, h}
			if inbound {
				link = [2]*simHost{h, from}
			}
			g.blocked[link] = true
		}
		return func() { clear(g.blocked) }
	case 2:
		g.logf("%d hosts are suspended", len(some))
		for _, h := range some {
			h.frozen = true
		}
		return func() {
			for _, h := range some {
				h.frozen = false
			}
		}
	case 3:
		longest := g.upTo(3 * time.Second)
		g.logf("exchanges are up to %s late, one message in three up to 0.3 s", longest)
		g.delay = func(_, _ *simHost, exchange bool) time.Duration {
			switch {
			case exchange:
				return g.upTo(longest)
			case g.random.IntN(3) == 0:
				return g.upTo(300 * time.Millisecond)
			}
			return 0
		}
		return func() { g.delay = nil }
	case 4:
		every := 2 + g.random.IntN(80)
		g.logf("%d hosts run every %d ms", len(some), every*10)
		for _, h := range some {
			h.every = every
		}
		return func() {
			for _, h := range some {
				h.every = 0
			}
		}
	default:
		g.logf("all restart")
		for _, h := range hosts {
			g.kill(h)
		}
		return func() {
			for _, h := range hosts {
				g.start(h)
			}
		}
	}
}

// Guards against groups that do not recover, shrink for good or lose entries under disturbances of links and hosts.
func TestMembershipSettlesAfterDisturbances(t *testing.T) {
	t.Parallel()
	first, count := envNumber("SEED", 0), envNumber("SCHEDULES", 60)
	failed, fewest := 0, 9
	for seed := first; seed < first+count; seed++ {
		g := newSimGroup(seed, []int{5, 3, 4, 6, 7}[seed%5])
		checker := newSimChecker(g)
		g.advance(5 * time.Second)
		problem := ""
		for range 6 {
			if g.random.IntN(3) == 0 {
				g.logf("a host is added")
				g.start(g.newHost())
			}
			flaps := 1
			if g.random.IntN(2) == 0 {
				flaps = 2 + g.random.IntN(6)
			}
			for range flaps {
				end := g.disturb()
				g.advance(g.upTo(9 * time.Second / time.Duration(flaps)))
				end()
				g.advance(g.upTo(3 * time.Second / time.Duration(flaps)))
			}
			if leader := g.leader(); leader != nil {
				voters := 0
				for _, p := range leader.node.Status().Peers {
					if !p.Learner {
						voters++
					}
				}
				fewest = min(fewest, voters)
			}
			g.advance(calmTime)
			if !g.leads() && problem == "" {
				problem = fmt.Sprintf("no leader %s after a disturbance, at %s", calmTime, g.now)
			}
		}
		g.advance(settleTime)
		if problem == "" {
			problem = g.expectAllVote()
		}
		if checker.violation != "" {
			problem = checker.violation
		}
		if problem != "" {
			failed++
			if failed <= 3 {
				t.Errorf("seed %d: %s\n%s", seed, problem, strings.Join(g.trace, "\n"))
			}
		}
	}
	t.Logf("fewest voters: %d", fewest)
	NewWithT(t).Expect(failed).To(BeZero())
}

// Guards against a host that never joins again, as it takes a leader that has removed its learner for its own.
func TestHostOfARemovedLearnerJoinsAgain(t *testing.T) {
	g := newSimGroup(1, 5)
	g.advance(5 * time.Second)
	h := g.newHost()
	g.start(h)
	g.advance(time.Second)
	first := h.id
	NewWithT(t).Expect(first).NotTo(BeZero())
	h.cut = true
	g.advance(removalTimeout + 5*time.Second)
	h.cut = false
	g.advance(settleTime)
	NewWithT(t).Expect(g.expectAllVote()).To(BeEmpty())
	NewWithT(t).Expect(h.id).NotTo(Equal(first))
}

// Guards against three hosts that keep the vote of a replaced one until the next loss.
func TestThreeHostsBearALossAfterAPlannedReplacement(t *testing.T) {
	failed := 0
	for seed := range uint64(20) {
		g := newSimGroup(seed, 3)
		g.advance(5 * time.Second)
		replaced, successorStarted := g.target(), g.now
		g.start(g.newHost())
		g.advance(catchUpTime - time.Second)
		g.terminate(replaced)
		replaced.removed = true
		g.advance(successorStarted + catchUpTime - g.now)
		g.losePower()
		g.advance(recoveryTime)
		if !g.leads() {
			failed++
		}
	}
	NewWithT(t).Expect(failed).To(BeZero())
}

// A schedule of a seed is the same in every run.
func TestSimulatedScheduleIsReproducible(t *testing.T) {
	run := func() string {
		g := newSimGroup(1, 5)
		g.advance(5 * time.Second)
		for range 6 {
			g.start(g.newHost())
			running := g.running()
			g.kill(running[1])
			running[1].removed = true
			g.kill(running[2])
			running[2].removed = true
			g.start(g.newHost())
			g.advance(8 * time.Second)
		}
		return strings.Join(g.trace, "\n")
	}
	NewWithT(t).Expect(run()).To(Equal(run()))
}
