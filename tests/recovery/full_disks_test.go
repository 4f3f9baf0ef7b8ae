package recovery_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Bounds of full disks.
const (
	minFull = 3 * time.Second
	maxFull = 7 * time.Second
	// maxFullPause is the longest time between the moment at which a disk has room again and the next full disk.
	maxFullPause = 600 * time.Millisecond
	maxFills     = 3
)

// newFullDiskSchedule returns a schedule of a seed in which disks are full one after another, and control hosts are
// restarted or replaced in between.
func newFullDiskSchedule(seed uint64, length time.Duration) schedule {
	g := generator{rand.New(rand.NewPCG(seed, 3))}
	s := schedule{Seed: seed, Control: 5, Gateways: 2, Zones: 3}
	if g.chance(0.3) {
		s.Control = 3
	}
	s.End = powerLoss{
		Gap: g.gap(), Target: pick(g, targetLeader, targetOldest, targetAny), Down: g.between(minPowerOff, maxPowerOff), RefreshSeeds: g.chance(0.3),
	}
	for s.length() < length {
		between := g.replacement()
		if g.chance(0.4) {
			between = step{Kind: pick(g, restartKilled, restartTerminated, loseDisk), Target: g.target(), Gap: g.gap()}
			between.Down = g.downFor(between.Kind)
		}
		s.Steps = append(s.Steps, g.fullDisks(), between)
	}
	return s
}

func (g generator) fullDisks() step {
	s := step{Kind: fillDisks, Gap: g.gap()}
	for range 1 + g.IntN(maxFills) {
		s.Fills = append(s.Fills, fill{Target: pick(g, targetLeader, g.target()), For: g.between(minFull, maxFull), Pause: g.between(0, maxFullPause)})
	}
	return s
}

// fillDisks fills the disks of a step, and returns an error if not all control hosts serve in time once the last has room.
func (r *runner) fillDisks(ctx context.Context, s step) error {
	r.losses.begin(time.Now())
	for _, f := range s.Fills {
		h := r.resolve(ctx, r.operator, f.Target)
		r.event("the disk of %s (%s) is full for %s", h.Settings.Host, f.Target, f.For)
		if err := limitFileSizes(h.PID(), 0); err != nil {
			return err
		}
		sleep(ctx, f.For)
		if err := limitFileSizes(h.PID(), unix.RLIM_INFINITY); err != nil {
			return err
		}
		r.event("the disk of %s has room", h.Settings.Host)
		sleep(ctx, f.Pause)
	}
	r.losses.end(time.Now())
	return r.awaitService(ctx)
}

// limitFileSizes sets the limit of the sizes of the files that a process writes. At 0 no file grows, as on a full disk.
func limitFileSizes(pid int, limit uint64) error {
	var current unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &current); err != nil {
		return eris.Wrap(err, "read the limit of file sizes")
	}
	next := unix.Rlimit{Cur: min(limit, current.Max), Max: current.Max}
	return eris.Wrap(unix.Prlimit(pid, unix.RLIMIT_FSIZE, &next, nil), "limit file sizes")
}

// awaitService changes the configuration through each control host, and reads it there, within recoverTime.
func (r *runner) awaitService(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoverTime)
	defer cancel()
	for _, address := range r.controlAddresses() {
		name := r.nameOf(address)
		version, err := r.operator.putAt(ctx, func() string { return address })
		if err != nil {
			return eris.Wrapf(err, "change through %s after its disk or another's was full", name)
		}
		read, err := r.operator.getAt(ctx, address, tryTimeout)
		for (err != nil || read < version) && sleep(ctx, minBackoff) {
			read, err = r.operator.getAt(ctx, address, tryTimeout)
		}
		if err != nil || read < version {
			return eris.Errorf("read through %s after its disk or another's was full: version %d, %d was acknowledged: %v", name, read, version, err)
		}
	}
	return nil
}

// Guards against hosts that leave changes unanswered after disks of running control hosts were full one after another.
func TestControlHostsServeAfterTheirDisksWereFullInTurn(t *testing.T) {
	skipIfShort(t)
	for seed := uint64(1); seed <= 2; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { runSchedule(t, newFullDiskSchedule(seed, shortLength)) })
	}
}

func TestFullDiskSchedulesStayWithinTheirBounds(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newFullDiskSchedule(1, soakLength)).To(Equal(newFullDiskSchedule(1, soakLength)))
	leaders := 0
	for seed := range uint64(generatedSeeds) {
		s := newFullDiskSchedule(seed, soakLength)
		g.Expect(s.length()).To(And(BeNumerically(">=", soakLength), BeNumerically("<", 2*soakLength)))
		for _, step := range s.Steps {
			g.Expect(len(step.Fills) > 0).To(Equal(step.Kind == fillDisks), "%s", step)
			for _, f := range step.Fills {
				g.Expect(f.For).To(And(BeNumerically(">=", minFull), BeNumerically("<=", maxFull)), "%s", step)
				leaders += count(f.Target == targetLeader)
			}
		}
	}
	g.Expect(leaders).To(BeNumerically(">", generatedSeeds))
}
