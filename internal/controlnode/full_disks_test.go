package controlnode_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/fleetstate"
)

const (
	fullDiskSchedules = 12
	// fullDisks is the number of disks of a schedule that are full, one after another.
	fullDisks = 12
	// maxFreeBytes bounds what still fits on a full disk.
	maxFreeBytes = 3000
	// quietTime is the time without faults after which changes through all hosts must be acknowledged.
	quietTime = 15 * time.Second
	// acknowledgedTime is the end of quietTime, and minAcknowledged the least number of changes acknowledged in it.
	acknowledgedTime = 10 * time.Second
	minAcknowledged  = 20
	// maxTries is the number of times that a change is sent to a host in a quiet group.
	maxTries = 3
)

// playFullDisks fills one disk after another while hosts are restarted and replaced.
func (f *simulatedFleet) playFullDisks() {
	for range fullDisks {
		h := f.pick()
		if h == nil {
			time.Sleep(time.Second)
			continue
		}
		full := f.between(time.Second, 7*time.Second)
		f.mu.Lock()
		d, free := h.disk, f.random.IntN(maxFreeBytes+1)
		f.logf("the disk of %s is full for %s, %d bytes left", h.name, full, free)
		f.mu.Unlock()
		d.SetFreeBytes(free)
		var disturbance sync.WaitGroup
		if f.chance(50) {
			disturbance.Go(func() {
				sleep(f.ctx, f.between(0, full))
				f.disturbOne()
			})
		}
		sleep(f.ctx, full)
		d.SetFreeBytes(-1)
		f.event("the disk of %s has room", h.name)
		disturbance.Wait()
		sleep(f.ctx, f.between(0, 600*time.Millisecond))
	}
}

// disturbOne restarts or replaces a host.
func (f *simulatedFleet) disturbOne() {
	h := f.pick()
	if h == nil {
		return
	}
	down := f.between(0, 2*time.Second)
	f.mu.Lock()
	draw := f.random.IntN(4)
	f.mu.Unlock()
	switch draw {
	case 0:
		f.event("%s is terminated, back after %s", h.name, down)
		f.terminate(h)
		f.restartAfter(h, down, false)
	case 1:
		f.event("%s loses power for %s", h.name, down)
		f.losePower(h)
		f.restartAfter(h, down, false)
	default:
		planned := draw == 2
		if !f.replaceable(h) {
			return
		}
		f.event("%s is replaced after %s, planned %t", h.name, down, planned)
		f.replaceIf(h, down, planned, f.replaceable)
	}
}

// replaceable reports whether the group keeps a majority of its voters without h, by a leader.
func (f *simulatedFleet) replaceable(h *simulatedHost) bool {
	for _, voters := range f.leaderVoters() {
		kept := 0
		f.mu.Lock()
		for _, address := range voters {
			for _, other := range f.hosts {
				if other.address == address && !other.gone && other != h {
					kept++
				}
			}
		}
		f.mu.Unlock()
		return kept > len(voters)/2
	}
	return false
}

// servesAll changes the configuration and reads it through each running host, and returns what failed.
func (f *simulatedFleet) servesAll() []string {
	var failed []string
	for _, h := range f.snapshotHosts() {
		f.mu.Lock()
		f.sent++
		version := f.sent
		f.mu.Unlock()
		err := fmt.Errorf("not tried")
		for tries := 0; tries < maxTries && err != nil; tries++ {
			_, err = h.process.node.PutDocument(f.ctx, fleetstate.Document{Version: version, Content: []byte("content")})
		}
		if err != nil {
			failed = append(failed, fmt.Sprintf("change through %s: %v", h.name, err))
		}
		d, err := h.process.node.NewestDocument(f.ctx)
		switch {
		case err != nil:
			failed = append(failed, fmt.Sprintf("read through %s: %v", h.name, err))
		case d.Version < version:
			failed = append(failed, fmt.Sprintf("read through %s: version %d, %d was acknowledged", h.name, d.Version, version))
		}
	}
	return failed
}

// playFullDiskSchedule plays the schedule of a seed, and returns the fleet and what failed after it.
func playFullDiskSchedule(t *testing.T, seed uint64) (f *simulatedFleet, failed []string) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f = newSimulatedFleet(ctx, seed, 3+2*int(min(seed%4, 1)))
		f.keepsBootstrap, f.keepsSeeds = seed%2 == 0, seed%2 == 1
		f.startFounding()
		writing, stopWriting := context.WithCancel(ctx)
		var writers sync.WaitGroup
		for i := range simulatedWriters {
			random := rand.New(rand.NewPCG(seed, uint64(100+i)))
			writers.Go(func() { f.keepChanging(writing, random) })
		}
		time.Sleep(5 * time.Second)
		f.playFullDisks()
		time.Sleep(quietTime - acknowledgedTime)
		f.mu.Lock()
		before := f.acks
		f.mu.Unlock()
		time.Sleep(acknowledgedTime)
		f.mu.Lock()
		acknowledged := f.acks - before
		f.mu.Unlock()
		stopWriting()
		writers.Wait()
		failed = f.servesAll()
		if acknowledged < minAcknowledged {
			failed = append(failed, fmt.Sprintf("%d changes acknowledged in the last %s", acknowledged, acknowledgedTime))
		}
		for leader, voters := range f.leaderVoters() {
			f.event("%s leads, voters %v", leader, voters)
		}
		f.stop(cancel)
	})
	return f, failed
}

// Guards against hosts that leave changes and reads unanswered for good after disks were full one after another.
func TestChangesAreAcknowledgedThroughAllHostsAfterDisksWereFullInTurn(t *testing.T) {
	first, count := schedulesFromEnvironment(fullDiskSchedules)
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			f, failed := playFullDiskSchedule(t, seed)
			if failed = append(failed, f.violations...); len(failed) > 0 {
				t.Error(strings.Join(append(f.events, failed...), "\n"))
			}
			NewWithT(t).Expect(f.acks).To(BeNumerically(">", 0))
			t.Logf("%d changes acknowledged, %d reads", f.acks, f.reads)
		})
	}
}

// Guards against a host that asks only hosts that are gone, after its disk was full while they were replaced.
func TestHostWithAFullDiskFindsTheGroupAfterAllHostsItKnewWereReplaced(t *testing.T) {
	for name, replaced := range map[string]int{"all seeds": 3, "all members": 4} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				f := newSimulatedFleet(ctx, 1, 5)
				f.startFounding()
				time.Sleep(5 * time.Second)
				full := f.hosts[4]
				full.disk.SetFreeBytes(0)
				f.wg.Go(func() { f.keepChanging(ctx, rand.New(rand.NewPCG(1, 1))) })
				for _, h := range f.hosts[:replaced] {
					f.replace(h, 0, true)
					time.Sleep(5 * time.Second)
				}
				full.disk.SetFreeBytes(-1)
				time.Sleep(quietTime)
				failed := f.servesAll()
				voters := f.leaderVoters()
				f.stop(cancel)
				g := NewWithT(t)
				g.Expect(failed).To(BeEmpty())
				g.Expect(voters).To(HaveLen(1))
				for leader := range voters {
					g.Expect(voters[leader]).To(ContainElement(full.address))
				}
			})
		})
	}
}
