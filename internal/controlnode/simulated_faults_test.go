package controlnode_test

import (
	"encoding/json"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/godwitbend/godwitbend/internal/fake/disk"
)

const (
	// faultyFor is the time of a schedule in which faults happen, and settleTime the time after it within which
	// the newest change must be read at all hosts.
	faultyFor  = 60 * time.Second
	settleTime = 20 * time.Second
	// diskLossInterval is the least time between the return of a host and the next loss of a disk.
	diskLossInterval = 5 * time.Second
	// firstDiskLoss is the time from which disks are lost.
	firstDiskLoss = 3 * time.Second
)

// losePower ends the process of h without another message, and discards what its disk has not synced.
func (f *simulatedFleet) losePower(h *simulatedHost) {
	f.mu.Lock()
	p := h.process
	if p == nil {
		f.mu.Unlock()
		return
	}
	cut := f.cutFrom(h, f.others(h))
	f.network.Reset(h.name)
	h.disk.Crash(func(_ string, length int) int { return f.random.IntN(length + 1) })
	f.mu.Unlock()
	f.end(h, p)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range cut {
		f.network.Heal(h.name, other.name)
	}
}

// restartAfter starts a host again that is down.
func (f *simulatedFleet) restartAfter(h *simulatedHost, d time.Duration, emptyDisk bool) {
	sleep(f.ctx, d)
	f.mu.Lock()
	defer f.mu.Unlock()
	if emptyDisk && h.process == nil {
		f.recordLoss(h)
		h.disk = disk.New()
	}
	f.logf("%s starts, empty disk %t", h.name, emptyDisk)
	f.start(h, false)
}

// diskLosses keeps the losses of disks apart.
type diskLosses struct {
	mu        sync.Mutex
	open      bool
	allowedAt time.Time
}

// begin reports whether a disk may be lost now. end must follow it once the host or its successor is back.
func (l *diskLosses) begin(allowed bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !allowed || l.open || time.Now().Before(l.allowedAt) {
		return false
	}
	l.open = true
	return true
}

func (l *diskLosses) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open, l.allowedAt = false, time.Now().Add(diskLossInterval)
}

// playFaults plays random faults until faultyFor has passed.
func (f *simulatedFleet) playFaults() {
	var faults sync.WaitGroup
	losses := diskLosses{allowedAt: f.began.Add(firstDiskLoss)}
	for time.Since(f.began) < faultyFor {
		time.Sleep(f.between(50*time.Millisecond, 1500*time.Millisecond))
		h := f.pick()
		if h == nil {
			continue
		}
		down := f.between(0, 2*time.Second)
		long := f.between(300*time.Millisecond, 7*time.Second)
		f.mu.Lock()
		draw := f.random.IntN(100)
		f.mu.Unlock()
		switch {
		case draw < 20: // isolate a host
			f.event("%s is cut off for %s", h.name, long)
			faults.Go(func() { f.cutFor(h, long, 1) })
		case draw < 30: // cut one link or some of them
			f.event("%s is cut off from some for %s", h.name, long)
			faults.Go(func() { f.cutFor(h, long, 2) })
		case draw < 40:
			f.event("split for %s", long)
			faults.Go(func() { f.split(long) })
		case draw < 48:
			f.event("%s loses power for %s", h.name, down)
			faults.Go(func() { f.losePower(h); f.restartAfter(h, down, false) })
		case draw < 53:
			f.event("%s is terminated, back after %s", h.name, down)
			faults.Go(func() { f.terminate(h); f.restartAfter(h, down, false) })
		case draw < 57:
			f.event("all lose power")
			for _, one := range f.snapshotHosts() {
				faults.Go(func() { f.losePower(one); f.restartAfter(one, down, false) })
			}
		case draw < 66:
			if losses.begin(!f.keepsBootstrap || f.allVote()) {
				f.event("%s loses its disk, back after %s", h.name, down)
				faults.Go(func() { f.losePower(h); f.restartAfter(h, down, true); losses.end() })
			}
		case draw < 78:
			if losses.begin(!f.keepsBootstrap || f.allVote()) {
				planned := f.chance(40)
				f.event("%s is replaced after %s, planned %t", h.name, down, planned)
				faults.Go(func() { f.replace(h, down, planned); losses.end() })
			}
		case draw < 88:
			f.event("the disk of %s hangs for %s", h.name, long)
			faults.Go(func() { release := h.disk.BlockSync(); sleep(f.ctx, long); release() })
		case draw < 92:
			f.event("the disk of %s fails for %s", h.name, down)
			d := h.disk
			d.FailSync(syscall.EIO)
			faults.Go(func() { sleep(f.ctx, down); d.FailSync(nil) })
		case draw < 96:
			f.event("connections of %s are reset", h.name)
			f.network.Reset(h.name)
		default:
			f.event("all links heal")
			f.network.HealAll()
		}
	}
	faults.Wait()
}

func (f *simulatedFleet) snapshotHosts() []*simulatedHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running()
}

// cutFor cuts h from one in n of the others.
func (f *simulatedFleet) cutFor(h *simulatedHost, d time.Duration, n int) {
	f.mu.Lock()
	others := slices.DeleteFunc(f.others(h), func(*simulatedHost) bool { return f.random.IntN(n) != 0 })
	f.cutFrom(h, others)
	reset := f.random.IntN(2) == 0
	f.mu.Unlock()
	if reset {
		sleep(f.ctx, min(d/2, 1500*time.Millisecond))
		f.network.Reset(h.name)
	}
	sleep(f.ctx, d)
	for _, other := range others {
		f.network.Heal(h.name, other.name)
	}
}

func (f *simulatedFleet) split(d time.Duration) {
	f.mu.Lock()
	var left, right []string
	for _, h := range f.hosts {
		if f.random.IntN(2) == 0 {
			left = append(left, h.name)
		} else {
			right = append(right, h.name)
		}
	}
	f.mu.Unlock()
	f.network.Partition(left, right)
	sleep(f.ctx, d)
	for _, a := range left {
		for _, b := range right {
			f.network.Heal(a, b)
		}
	}
}

func (f *simulatedFleet) replace(h *simulatedHost, down time.Duration, planned bool) {
	f.replaceIf(h, down, planned, func(*simulatedHost) bool { return true })
}

// replaceIf is replace, but keeps h if allowed says so once the successor of a planned replacement has started.
func (f *simulatedFleet) replaceIf(h *simulatedHost, down time.Duration, planned bool, allowed func(*simulatedHost) bool) {
	startSuccessor := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		next := f.addHost()
		f.logf("%s starts in the place of %s", next.name, h.name)
		f.start(next, false)
	}
	if planned {
		startSuccessor()
		sleep(f.ctx, 2*time.Second)
		if !allowed(h) {
			return
		}
		f.terminate(h)
	} else {
		f.losePower(h)
	}
	f.mu.Lock()
	h.gone = true
	f.recordLoss(h)
	f.mu.Unlock()
	if !planned {
		sleep(f.ctx, down)
		startSuccessor()
	}
}

// recordLoss records that the replica on the disk of h is lost. The caller holds f.mu.
func (f *simulatedFleet) recordLoss(h *simulatedHost) {
	var identity struct {
		ReplicaID uint64 `json:"replica_id"`
	}
	if data, err := h.disk.ReadFile("data/identity.json"); err == nil && json.Unmarshal(data, &identity) == nil {
		f.lostReplicas[identity.ReplicaID] = true
	}
}

// quorumLost reports whether the disks of a majority of the voters are lost, by the membership of the replica that
// had committed most. No group recovers from that.
func (f *simulatedFleet) quorumLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	voters, lost := 0, 0
	for _, p := range f.newest.Peers {
		if p.Learner {
			continue
		}
		voters++
		if f.lostReplicas[p.ID] {
			lost++
		}
	}
	f.logf("replica %d, which had committed most, knew %d voters, %d of them are lost", f.newest.ID, voters, lost)
	return voters > 0 && voters-lost < voters/2+1
}

// settle ends all faults, and reports whether all hosts read the newest change in time.
func (f *simulatedFleet) settle() bool {
	f.network.HealAll()
	f.mu.Lock()
	for _, h := range f.hosts {
		h.disk.FailSync(nil)
		f.start(h, false)
	}
	f.mu.Unlock()
	for limit := time.Now().Add(settleTime); time.Now().Before(limit); time.Sleep(100 * time.Millisecond) {
		f.mu.Lock()
		hosts, floor := f.running(), f.acked
		f.mu.Unlock()
		behind := slices.ContainsFunc(hosts, func(h *simulatedHost) bool {
			d, err := h.process.node.NewestDocument(f.ctx)
			return err != nil || d.Version < floor
		})
		if !behind {
			return true
		}
	}
	return false
}
