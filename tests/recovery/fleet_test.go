package recovery_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/harness"
	"github.com/godwitbend/godwitbend/internal/settings"
)

const (
	seedCount = 3
	// startSpread is the time within which all hosts start.
	startSpread = 300 * time.Millisecond
	// exitTimeout is the time after SIGTERM at which a process is killed.
	exitTimeout = 8 * time.Second
	// restartDelay is the delay before a process is started again that ended by itself.
	restartDelay = 500 * time.Millisecond
	// hangupAfter is the age of a process from which it gets SIGHUP: one that has not set up its handler ends.
	hangupAfter = time.Second
)

// controlHost is a control host that is part of the fleet.
type controlHost struct {
	*harness.Node
	// diskSince is when its data directory was last empty.
	diskSince time.Time
	frozen    bool
}

// presence is the time for which a control host is in the operator's list. to is zero for one that is
// still in it.
type presence struct {
	address  string
	from, to time.Time
}

// fleet is a gateway fleet whose hosts are replaced. Its methods may be called concurrently.
type fleet struct {
	history *history
	began   time.Time

	mu       sync.Mutex
	nodes    *harness.NodeFleet
	links    *links
	random   *rand.Rand
	control  []*controlHost
	gateways []*harness.Node
	// seeds are those that the settings of all hosts were last changed to.
	seeds   []string
	listed  []presence
	ending  map[*harness.Process]bool
	started map[*harness.Process]time.Time
	events  []string
	stopped bool
}

func newFleet(daemon, dir, subnet string, s schedule) (*fleet, error) {
	f := &fleet{
		history: newHistory(), began: time.Now(), random: rand.New(rand.NewPCG(s.Seed, 1)), ending: map[*harness.Process]bool{},
		started: map[*harness.Process]time.Time{},
		nodes:   harness.NewNodeFleet(harness.NodeFleetOptions{Daemon: daemon, Dir: dir, Subnet: subnet, ProxiedControl: true}),
		links:   newLinks(),
	}
	for i := range s.Control {
		if _, err := f.addControl(harness.ZoneName(i, s.Zones)); err != nil {
			return nil, err
		}
	}
	for i := range s.Gateways {
		n, err := f.nodes.Add(fmt.Sprintf("gateway-%d", i+1), harness.ZoneName(i, s.Zones), settings.NodeGateway)
		if err != nil {
			return nil, err
		}
		f.gateways = append(f.gateways, n)
	}
	for _, i := range f.random.Perm(s.Control)[:seedCount] {
		f.seeds = append(f.seeds, f.control[i].Settings.Listen.Control)
	}
	for _, n := range f.nodes.Nodes {
		n.Settings.Seeds, n.Settings.Bootstrap = f.seeds, true
	}
	return f, nil
}

// addControl adds a control host that is not started.
func (f *fleet) addControl(zone string) (*controlHost, error) {
	n, err := f.nodes.Add(fmt.Sprintf("control-%d", len(f.listed)+1), zone, settings.NodeControl)
	if err != nil {
		return nil, err
	}
	if err := f.links.serve(n.Settings.Host, n.Settings.Listen.Hosts, n.Settings.Listen.HostsBind); err != nil {
		return nil, err
	}
	h := &controlHost{Node: n, diskSince: time.Now()}
	f.control = append(f.control, h)
	f.listed = append(f.listed, presence{address: n.Settings.Listen.Control, from: time.Now()})
	return h, nil
}

// startAll starts all hosts within startSpread, in a random order.
func (f *fleet) startAll() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := slices.Clone(f.gateways)
	for _, h := range f.control {
		all = append(all, h.Node)
	}
	f.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, n := range all {
		if err := f.start(n); err != nil {
			return err
		}
		n.Settings.Bootstrap = false // from the next start on
		time.Sleep(time.Duration(f.random.Int64N(int64(startSpread) / int64(len(all)))))
	}
	return nil
}

// start starts the process of n. The caller holds f.mu.
func (f *fleet) start(n *harness.Node) error {
	if f.stopped {
		return nil
	}
	if err := n.Start(); err != nil {
		return err
	}
	f.started[n.Process] = time.Now()
	f.links.recordProcess(n.PID(), n.Settings.Host)
	go f.watch(n, n.Process)
	return nil
}

// watch records that a process ends by itself, and starts it again.
func (f *fleet) watch(n *harness.Node, p *harness.Process) {
	<-p.Done()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ending[p] {
		return
	}
	f.log("%s ended by itself", n.Settings.Host)
	if n.Settings.Role == settings.NodeControl {
		f.history.fail(n.Settings.Host + " ended by itself")
	}
	time.AfterFunc(restartDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if n.Process == p && !f.ending[p] {
			_ = f.start(n)
		}
	})
}

// kill kills the processes of all nodes at the same moment. The caller holds f.mu.
func (f *fleet) kill(nodes ...*harness.Node) {
	var running []*harness.Process
	for _, n := range nodes {
		if n.Process != nil {
			f.ending[n.Process] = true
			running = append(running, n.Process)
		}
	}
	harness.KillAll(running...)
}

// terminate stops the process of n with SIGTERM.
func (f *fleet) terminate(n *harness.Node) {
	f.mu.Lock()
	p := n.Process
	f.ending[p] = true
	f.mu.Unlock()
	p.Terminate()
	if err := p.AwaitExit(exitTimeout); err != nil {
		f.mu.Lock()
		f.log("%s did not exit cleanly within %s", n.Settings.Host, exitTimeout)
		f.mu.Unlock()
		p.Kill()
	}
}

// remove removes a control host for good, with its disk. Its process has terminated. The caller holds f.mu.
func (f *fleet) remove(h *controlHost) error {
	f.control = slices.DeleteFunc(f.control, func(other *controlHost) bool { return other == h })
	for i := range f.listed {
		if f.listed[i].address == h.Settings.Listen.Control {
			f.listed[i].to = time.Now()
		}
	}
	return h.RemoveData()
}

// drawSeeds returns up to seedCount control hosts other than h: those of now that run, or those that
// were listed lag ago. The caller holds f.mu.
func (f *fleet) drawSeeds(h *harness.Node, lag time.Duration) []string {
	var candidates []string
	if at := time.Now().Add(-lag); lag > 0 && at.After(f.began.Add(startSpread)) {
		for _, p := range f.listed {
			if !p.from.After(at) && (p.to.IsZero() || p.to.After(at)) {
				candidates = append(candidates, p.address)
			}
		}
	} else {
		for _, c := range f.control {
			if c.Running() && !c.frozen {
				candidates = append(candidates, c.Settings.Listen.Control)
			}
		}
	}
	if h != nil {
		candidates = slices.DeleteFunc(candidates, func(a string) bool { return a == h.Settings.Listen.Control })
	}
	f.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(len(candidates), seedCount)]
}

// controlAddresses returns the addresses at which control hosts serve other hosts.
func (f *fleet) controlAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for _, h := range f.control {
		addresses = append(addresses, h.Settings.Listen.Hosts)
	}
	return addresses
}

// nameOf returns the name of the host at an address for other hosts.
func (f *fleet) nameOf(address string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes.Nodes {
		if n.Settings.Listen.Hosts == address {
			return n.Settings.Host
		}
	}
	return address
}

// resolve returns the control host that a step concerns. If no leader is known it draws one.
func (f *fleet) resolve(ctx context.Context, o *operator, t target) *controlHost {
	leading := o.leader(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	isTarget := map[target]func(*controlHost) bool{
		targetLeader:   func(h *controlHost) bool { return h.Settings.Listen.Hosts == leading },
		targetFollower: func(h *controlHost) bool { return h.Settings.Listen.Hosts != leading },
		targetSeed:     func(h *controlHost) bool { return slices.Contains(f.seeds, h.Settings.Listen.Control) },
		targetOldest: func(h *controlHost) bool {
			return !slices.ContainsFunc(f.control, func(other *controlHost) bool { return other.diskSince.Before(h.diskSince) })
		},
		targetAny: func(*controlHost) bool { return true },
	}[t]
	candidates := slices.DeleteFunc(slices.Clone(f.control), func(h *controlHost) bool { return !isTarget(h) })
	if len(candidates) == 0 {
		candidates = f.control
	}
	return candidates[f.random.IntN(len(candidates))]
}

// log records an event for the report. The caller holds f.mu.
func (f *fleet) log(format string, args ...any) {
	f.events = append(f.events, fmt.Sprintf("%7.3f ", time.Since(f.began).Seconds())+fmt.Sprintf(format, args...))
}

// stop kills all processes for good.
func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	f.kill(f.nodes.Nodes...)
	f.links.close()
}
