package controlnode_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/fake/disk"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/memnet"
	"github.com/godwitbend/godwitbend/internal/replica"
	"github.com/godwitbend/godwitbend/internal/replication"
)

// simulatedWriters is the number of operators that change the configuration at the same time.
const simulatedWriters = 3

// simulatedHost is a control host on a simulated network and disk. Its process is nil while it is down.
type simulatedHost struct {
	name, address string
	disk          *disk.Disk
	process       *simulatedProcess
	// seeds are those of the latest start.
	seeds []string
	// gone is set when the host is removed for good.
	gone bool
}

// simulatedProcess is a process of a control host. ended is closed when it has ended.
type simulatedProcess struct {
	node   *controlnode.Node
	cancel context.CancelFunc
	ended  chan struct{}
}

// simulatedFleet plays faults of control hosts while operators change and read the configuration at all of them.
type simulatedFleet struct {
	network *memnet.Network
	random  *rand.Rand
	began   time.Time
	wg      sync.WaitGroup
	ctx     context.Context
	// keepsBootstrap is set if the settings of the founders allow them to found a group at each start. Founders that
	// have lost a majority of their disks can't be told from new ones then, so that one is lost at a time.
	keepsBootstrap bool
	// keepsSeeds is set if hosts restart with the seeds that they had.
	keepsSeeds bool

	mu         sync.Mutex
	hosts      []*simulatedHost
	sent       uint64
	acked      uint64
	reads      int
	acks       int
	events     []string
	violations []string
	// newest is the status of the replica that had committed most.
	newest replica.Status
	// lostReplicas are the ids of the replicas whose disks are lost.
	lostReplicas map[uint64]bool
}

func newSimulatedFleet(ctx context.Context, seed uint64, hosts int) *simulatedFleet {
	f := &simulatedFleet{network: memnet.New(), random: rand.New(rand.NewPCG(seed, 11)), began: time.Now(), ctx: ctx,
		lostReplicas: map[uint64]bool{}}
	for range hosts {
		f.addHost()
	}
	return f
}

func (f *simulatedFleet) addHost() *simulatedHost {
	name := fmt.Sprintf("control-%d", len(f.hosts)+1)
	h := &simulatedHost{name: name, address: name + ":7040", disk: disk.New()}
	f.hosts = append(f.hosts, h)
	return h
}

func (f *simulatedFleet) logf(format string, args ...any) {
	f.events = append(f.events, fmt.Sprintf("%7.3f ", time.Since(f.began).Seconds())+fmt.Sprintf(format, args...))
}

// leads reports whether the replica of a running host takes itself for the leader.
func (h *simulatedHost) leads() bool {
	s, ok := h.process.node.Status()
	return ok && s.Role == replication.Leader
}

// leader returns a host other than one that leads, or nil.
func (f *simulatedFleet) leader(other *simulatedHost) *simulatedHost {
	hosts := f.snapshotHosts()
	if at := slices.IndexFunc(hosts, func(h *simulatedHost) bool { return h != other && h.leads() }); at >= 0 {
		return hosts[at]
	}
	return nil
}

// allVote reports whether all hosts are voters, by a leader.
func (f *simulatedFleet) allVote() bool {
	f.mu.Lock()
	hosts := slices.DeleteFunc(slices.Clone(f.hosts), func(h *simulatedHost) bool { return h.gone })
	f.mu.Unlock()
	for _, voters := range f.leaderVoters() {
		if !slices.ContainsFunc(hosts, func(h *simulatedHost) bool { return !slices.Contains(voters, h.address) }) {
			return true
		}
	}
	return false
}

// startFounding starts all hosts, which found a group.
func (f *simulatedFleet) startFounding() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		f.start(h, true)
	}
}

// start starts the process of h. The caller holds f.mu.
func (f *simulatedFleet) start(h *simulatedHost, bootstrap bool) {
	if h.process != nil || h.gone || f.ctx.Err() != nil {
		return
	}
	seeds := []string{f.hosts[0].address, f.hosts[1].address, f.hosts[2].address}
	if f.keepsSeeds && h.seeds != nil {
		seeds = h.seeds
	} else if !bootstrap {
		founder := slices.Contains(seeds, h.address)
		seeds = f.drawSeeds(h)
		if f.keepsBootstrap && founder {
			bootstrap, seeds = true, append(seeds[:min(len(seeds), 2)], h.address)
		}
	}
	h.seeds = seeds
	ctx, cancel := context.WithCancel(context.Background())
	p := &simulatedProcess{cancel: cancel, ended: make(chan struct{})}
	p.node = controlnode.New(controlnode.Options{
		Host: h.name, Address: h.address, Zone: "a", Directory: "data", FS: h.disk, Bootstrap: bootstrap,
		Network: f.network.Node(h.name), Seeds: func() []string { return seeds },
	})
	h.process = p
	f.wg.Go(func() {
		defer close(p.ended)
		if err := p.node.Run(ctx); err != nil && ctx.Err() == nil {
			f.event("%s ended by itself: %v", h.name, err)
		}
	})
	f.wg.Go(func() { f.keepReading(ctx, h, p.node) })
}

func (f *simulatedFleet) drawSeeds(h *simulatedHost) []string {
	var candidates []string
	for _, other := range f.hosts {
		if other != h && !other.gone {
			candidates = append(candidates, other.address)
		}
	}
	f.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(len(candidates), 3)]
}

func (f *simulatedFleet) keepReading(ctx context.Context, h *simulatedHost, node *controlnode.Node) {
	for ctx.Err() == nil {
		f.mu.Lock()
		floor := f.acked
		f.mu.Unlock()
		d, err := node.NewestDocument(ctx)
		s, _ := node.Status()
		f.mu.Lock()
		if s.Commit > 0 && s.Commit >= f.newest.Commit {
			f.newest = s
		}
		if err == nil {
			f.reads++
			if d.Version < floor {
				f.logf("VIOLATION: version %d is read by %s, %d had been acknowledged before", d.Version, h.name, floor)
				f.violations = append(f.violations, f.events[len(f.events)-1])
			}
		}
		f.mu.Unlock()
		sleep(ctx, 70*time.Millisecond)
	}
}

// keepChanging sends one version after another, each to any hosts until it is acknowledged.
func (f *simulatedFleet) keepChanging(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		f.mu.Lock()
		f.sent++
		version := f.sent
		f.mu.Unlock()
		for tries := 0; tries < 8 && ctx.Err() == nil; tries++ {
			node := f.anyNode(random)
			if node == nil {
				sleep(ctx, 100*time.Millisecond)
				continue
			}
			if _, err := node.PutDocument(ctx, fleetstate.Document{Version: version, Content: []byte("content")}); err == nil {
				f.mu.Lock()
				f.acked, f.acks = max(f.acked, version), f.acks+1
				f.mu.Unlock()
				break
			}
		}
		sleep(ctx, time.Duration(random.Int64N(int64(300*time.Millisecond))))
	}
}

func (f *simulatedFleet) anyNode(random *rand.Rand) *controlnode.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	running := f.running()
	if len(running) == 0 {
		return nil
	}
	return running[random.IntN(len(running))].process.node
}

func (f *simulatedFleet) running() []*simulatedHost {
	return slices.DeleteFunc(slices.Clone(f.hosts), func(h *simulatedHost) bool { return h.process == nil })
}

func (f *simulatedFleet) terminate(h *simulatedHost) {
	f.mu.Lock()
	p := h.process
	f.mu.Unlock()
	if p != nil {
		f.end(h, p)
	}
}

// end waits until a process that is told to stop has ended.
func (f *simulatedFleet) end(h *simulatedHost, p *simulatedProcess) {
	p.cancel()
	<-p.ended
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.process == p {
		h.process = nil
	}
}

func (f *simulatedFleet) others(h *simulatedHost) []*simulatedHost {
	return slices.DeleteFunc(slices.Clone(f.hosts), func(other *simulatedHost) bool { return other == h })
}

func (f *simulatedFleet) cutFrom(h *simulatedHost, others []*simulatedHost) []*simulatedHost {
	for _, other := range others {
		f.network.Cut(h.name, other.name)
	}
	return others
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// pick draws a running host, the leader in half of the cases.
func (f *simulatedFleet) pick() *simulatedHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	running := f.running()
	if len(running) == 0 {
		return nil
	}
	if f.random.IntN(2) == 0 {
		if at := slices.IndexFunc(running, (*simulatedHost).leads); at >= 0 {
			return running[at]
		}
	}
	return running[f.random.IntN(len(running))]
}

func (f *simulatedFleet) between(low, high time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return low + time.Duration(f.random.Int64N(int64(high-low)))
}

func (f *simulatedFleet) chance(percent int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(100) < percent
}

func (f *simulatedFleet) event(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logf(format, args...)
}

// stop ends all processes and operators.
func (f *simulatedFleet) stop(cancel context.CancelFunc) {
	cancel()
	f.network.HealAll()
	for _, h := range f.snapshotHosts() {
		f.terminate(h)
	}
	f.wg.Wait()
}

// leaderVoters returns the addresses of the voters according to each host that leads.
func (f *simulatedFleet) leaderVoters() map[string][]string {
	voters := map[string][]string{}
	for _, h := range f.snapshotHosts() {
		if !h.leads() {
			continue
		}
		s, _ := h.process.node.Status()
		for _, p := range s.Peers {
			if !p.Learner {
				voters[h.name] = append(voters[h.name], p.Address)
			}
		}
		slices.Sort(voters[h.name])
	}
	return voters
}
