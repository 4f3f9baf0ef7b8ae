package recovery_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Bounds that a deployment states.
const (
	// catchUpTime is the time after its return or start for which a host still counts as lost.
	catchUpTime = 4 * time.Second
	// configTime is the time after the acknowledgement of a version from which no read is older.
	configTime = 2 * time.Second
	// recoverTime is the time within which service resumes after all hosts have returned.
	recoverTime = 12 * time.Second
	// seedLag is how far the list of hosts from which seeds are drawn may be behind.
	seedLag = 3 * time.Second
)

// Bounds of the generated steps.
const (
	minFreeze         = 300 * time.Millisecond
	maxFreeze         = 9 * time.Second
	maxSuccessorDelay = 2 * time.Second
	// plannedDelay is the time between the start of a successor and the stop of the host it replaces.
	plannedDelay     = 2 * time.Second
	maxRestart       = 2 * time.Second
	maxRestartOfAll  = 900 * time.Millisecond
	maxSmallGap      = 400 * time.Millisecond
	maxLargeGap      = 4 * time.Second
	maxSuccessorWait = 3 * time.Second
	minPowerOff      = time.Second
	maxPowerOff      = 3 * time.Second
)

// stepKind is what a step does.
type stepKind string

const (
	// replaceKilled kills a control host for good; its successor starts after step.Down.
	replaceKilled stepKind = "replace, killed"
	// replacePlanned starts the successor first and stops the old host with SIGTERM.
	replacePlanned    stepKind = "replace, planned"
	restartKilled     stepKind = "restart, killed"
	restartTerminated stepKind = "restart, terminated"
	freeze            stepKind = "freeze"
	loseDisk          stepKind = "restart with an empty disk"
	// cutOff cuts the links of a control host to all others.
	cutOff stepKind = "cut off"
	// split cuts the links between two halves of the control hosts.
	split stepKind = "split"
	// fillDisks fills the disks of control hosts one after another, never two at once.
	fillDisks stepKind = "full disks"
	// restartAll kills all control hosts at the same moment. They keep their disks.
	restartAll    stepKind = "restart all control hosts"
	changeSeeds   stepKind = "change the seeds of all hosts"
	killGateway   stepKind = "restart a gateway, killed"
	freezeGateway stepKind = "freeze a gateway"
)

// losesControlHost reports whether the step makes a control host count as lost.
func (k stepKind) losesControlHost() bool {
	return k != changeSeeds && k != killGateway && k != freezeGateway
}

func (k stepKind) replaces() bool { return k == replaceKilled || k == replacePlanned }

// target tells which control host a step concerns. It is resolved when the step is taken.
type target string

const (
	targetAny      target = "any"
	targetLeader   target = "leader"
	targetFollower target = "follower"
	targetSeed     target = "seed"
	targetOldest   target = "oldest disk"
)

// successorFault is a fault of a host with an empty disk soon after its start, while the host that it
// replaces still counts as lost.
type successorFault struct {
	// Kind is one of restartKilled, freeze, loseDisk, replaceKilled, or empty for none.
	Kind stepKind
	// After is the time between the start of the successor and the fault.
	After, Down time.Duration
}

// step is one step of a schedule.
type step struct {
	Kind   stepKind
	Target target
	// Gap is the time between the moment at which the tolerance allows the loss of a control host
	// and the step, or between the begin of the step before and one that loses none.
	Gap time.Duration
	// Down is the time until the host, or its successor, starts, or for which it is frozen.
	Down time.Duration
	// LaggedSeeds draws the seeds of new hosts from the list of hosts of seedLag ago.
	LaggedSeeds bool
	// RefreshSeeds changes the seeds of a host that restarts with its disk.
	RefreshSeeds bool
	// Hangup sends SIGHUP after a change of seeds.
	Hangup bool
	Fault  successorFault
	// Fills are the disks that a step of the kind fillDisks fills.
	Fills []fill
}

// fill is a disk that is full for a time, and the time until the next one is.
type fill struct {
	Target     target
	For, Pause time.Duration
}

// String implements fmt.Stringer.
func (s step) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "+%s %s", s.Gap, s.Kind)
	if s.Target != "" {
		fmt.Fprintf(&b, ": %s", s.Target)
	}
	if s.Down > 0 {
		fmt.Fprintf(&b, ", %s", s.Down)
	}
	for _, option := range []struct {
		set  bool
		text string
	}{{s.LaggedSeeds, "lagged seeds"}, {s.RefreshSeeds, "new seeds"}, {s.Hangup, "SIGHUP"}} {
		if option.set {
			fmt.Fprintf(&b, ", %s", option.text)
		}
	}
	for _, f := range s.Fills {
		fmt.Fprintf(&b, "; %s for %s, pause %s", f.Target, f.For, f.Pause)
	}
	if s.Fault.Kind != "" {
		fmt.Fprintf(&b, "; successor after %s: %s, %s", s.Fault.After, s.Fault.Kind, s.Fault.Down)
	}
	return b.String()
}

// loss returns the time for which the step makes control hosts count as lost, if nothing is late.
func (s step) loss() time.Duration {
	if !s.Kind.losesControlHost() {
		return 0
	}
	down := s.Down
	for _, f := range s.Fills {
		down += f.For + f.Pause
	}
	if s.Fault.Kind != "" {
		down += s.Fault.After + s.Fault.Down
	}
	return down + catchUpTime
}

// powerLoss is the end of a schedule: all processes are killed at the same moment, right after an
// acknowledgement, and one control host loses its disk.
type powerLoss struct {
	// Gap is as in step.
	Gap time.Duration
	// Target is the control host whose disk is lost.
	Target target
	// Down is the time until all hosts start again.
	Down         time.Duration
	RefreshSeeds bool
}

// schedule is a sequence of faults of one fleet.
type schedule struct {
	Seed                     uint64
	Control, Gateways, Zones int
	Steps                    []step
	End                      powerLoss
}

// String implements fmt.Stringer.
func (s schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d control hosts, %d gateways, %d zones\n", s.Seed, s.Control, s.Gateways, s.Zones)
	for i, step := range s.Steps {
		fmt.Fprintf(&b, "  %d: %s\n", i+1, step)
	}
	fmt.Fprintf(&b, "  end: +%s all lose power for %s, disk lost: %s, new seeds: %t", s.End.Gap, s.End.Down, s.End.Target, s.End.RefreshSeeds)
	return b.String()
}

// length returns how long the schedule takes up to its end, if nothing is late.
func (s schedule) length() time.Duration {
	total := s.End.Gap
	for _, step := range s.Steps {
		if step.Kind.losesControlHost() {
			total += step.Gap + step.loss()
		}
	}
	return total
}

// generator draws schedules.
type generator struct{ *rand.Rand }

// newSchedule returns the schedule of a seed, with as many steps as fit into length.
func newSchedule(seed uint64, length time.Duration) schedule {
	g := generator{rand.New(rand.NewPCG(seed, 0))}
	s := schedule{Seed: seed, Control: 5, Gateways: 2 + g.IntN(2), Zones: 3 + g.IntN(2)}
	if g.chance(0.2) {
		s.Control = 3
	}
	s.End = powerLoss{
		Gap: g.gap(), Target: pick(g, targetLeader, targetLeader, targetOldest, targetAny), Down: g.between(minPowerOff, maxPowerOff),
		RefreshSeeds: g.chance(0.5),
	}
	var last stepKind
	for s.length() < length {
		next := g.step(last)
		if next.Kind.losesControlHost() {
			last = next.Kind
		}
		s.Steps = append(s.Steps, next)
	}
	if g.chance(0.6) {
		s.Steps = append(s.Steps, g.replacement())
	}
	return s
}

// step draws a step that follows one of the kind last.
func (g generator) step(last stepKind) step {
	switch {
	case last.replaces() && g.chance(0.25):
		s := step{Kind: pick(g, freeze, restartKilled), Target: targetLeader, Gap: g.between(0, maxSmallGap)}
		s.Down = g.downFor(s.Kind)
		return s
	case g.chance(0.5):
		return g.replacement()
	}
	s := step{
		Kind:   pick(g, restartKilled, restartTerminated, freeze, freeze, cutOff, cutOff, split, loseDisk, restartAll, changeSeeds, changeSeeds, killGateway, freezeGateway),
		Target: g.target(), Gap: g.gap(), LaggedSeeds: g.chance(0.2), RefreshSeeds: g.chance(0.5), Hangup: g.chance(0.5),
	}
	s.Down = g.downFor(s.Kind)
	switch {
	case s.Kind == loseDisk:
		s.RefreshSeeds = false
		s.Fault = g.successorFault()
	case s.Kind == restartAll || s.Kind == split:
		s.Target = ""
	case !s.Kind.losesControlHost():
		s.Target, s.RefreshSeeds = "", false
	}
	if s.Kind != changeSeeds {
		s.Hangup = false
	}
	return s
}

func (g generator) replacement() step {
	s := step{Kind: pick(g, replaceKilled, replaceKilled, replacePlanned), Target: g.target(), Gap: g.gap(), LaggedSeeds: g.chance(0.2)}
	if s.Kind == replaceKilled {
		s.Down = g.downFor(s.Kind)
		s.Fault = g.successorFault()
	}
	return s
}

func (g generator) successorFault() successorFault {
	if !g.chance(0.2) {
		return successorFault{}
	}
	f := successorFault{Kind: pick(g, restartKilled, freeze, loseDisk, replaceKilled), After: g.between(0, maxSuccessorWait)}
	f.Down = min(g.downFor(f.Kind), maxSuccessorWait)
	return f
}

func (g generator) downFor(k stepKind) time.Duration {
	switch k {
	case replaceKilled:
		return g.between(0, maxSuccessorDelay)
	case freeze, freezeGateway, cutOff, split:
		return g.between(minFreeze, maxFreeze)
	case restartAll:
		return g.between(0, maxRestartOfAll)
	case replacePlanned, changeSeeds:
		return 0
	}
	return g.between(0, maxRestart)
}

func (g generator) target() target {
	return pick(g, targetLeader, targetLeader, targetLeader, targetFollower, targetSeed, targetOldest, targetAny)
}

// gap draws none, a small or a large gap with equal chances.
func (g generator) gap() time.Duration {
	return pick(g, 0, g.between(0, maxSmallGap), g.between(0, maxLargeGap))
}

func (g generator) chance(p float64) bool { return g.Float64() < p }

// between draws a duration in milliseconds.
func (g generator) between(low, high time.Duration) time.Duration {
	return (low + time.Duration(g.Int64N(int64(high-low)+1))).Truncate(time.Millisecond)
}

func pick[T any](g generator, choices ...T) T { return choices[g.IntN(len(choices))] }
