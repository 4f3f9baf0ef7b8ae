package recovery_test

import (
	"context"
	"slices"
	"time"

	"github.com/godwitbend/godwitbend/internal/harness"
)

// runner takes the steps of a schedule.
type runner struct {
	*fleet
	operator *operator
	losses   losses
	// untolerated are the times in which more hosts were down than the fleet tolerates.
	untolerated []span
	powerLostAt time.Time
	// outage is the longest time without an acknowledgement, and recovery the time from the restart after
	// the power loss to the read of the newest version.
	outage, recovery time.Duration
}

// lose takes a step that loses a control host, and returns when that host or its successor is back.
func (r *runner) lose(ctx context.Context, s step) error {
	switch s.Kind {
	case restartAll:
		return r.restartAll(s)
	case split:
		return r.split(ctx, s)
	case fillDisks:
		return r.fillDisks(ctx, s)
	}
	h := r.resolve(ctx, r.operator, s.Target)
	r.losses.begin(time.Now())
	r.event("%s: %s (%s)", s.Kind, h.Settings.Host, s.Target)
	back, err := r.disturb(ctx, s, h)
	if err == nil && s.Fault.Kind != "" {
		sleep(ctx, s.Fault.After)
		r.event("successor %s: %s", back.Settings.Host, s.Fault.Kind)
		_, err = r.disturb(ctx, step{Kind: s.Fault.Kind, Down: s.Fault.Down}, back)
	}
	return err
}

// disturb carries out a step on h and returns the host that is back in its place.
func (r *runner) disturb(ctx context.Context, s step, h *controlHost) (*controlHost, error) {
	switch s.Kind {
	case replaceKilled:
		r.killHosts(h.Node)
		if err := r.locked(func() error { return r.remove(h) }); err != nil {
			return nil, err
		}
		sleep(ctx, s.Down)
		return r.startSuccessor(s, h.Settings.Zone)
	case replacePlanned:
		return r.replacePlanned(ctx, s, h)
	case freeze:
		r.freezeFor(ctx, s.Down, h.Node, &h.frozen)
		r.losses.end(time.Now())
		return h, nil
	case cutOff:
		r.cutFor(ctx, s.Down, []*controlHost{h}, r.othersThan(h))
		r.losses.end(time.Now())
		return h, nil
	case restartTerminated:
		r.terminate(h.Node)
	default:
		r.killHosts(h.Node)
	}
	return h, r.restart(ctx, s, h)
}

// restart starts a host again that is down, with an empty disk if the step says so.
func (r *runner) restart(ctx context.Context, s step, h *controlHost) error {
	if s.Kind == loseDisk {
		if err := h.RemoveData(); err != nil {
			return err
		}
	}
	sleep(ctx, s.Down)
	defer func() { r.losses.end(time.Now()) }()
	return r.locked(func() error {
		if s.Kind == loseDisk {
			h.diskSince = time.Now()
		}
		if s.Kind == loseDisk || s.RefreshSeeds {
			h.Settings.Seeds = r.drawSeeds(h.Node, lagOf(s))
		}
		r.log("%s starts, seeds %v", h.Settings.Host, h.Settings.Seeds)
		return r.start(h.Node)
	})
}

func lagOf(s step) time.Duration {
	if s.LaggedSeeds {
		return seedLag
	}
	return 0
}

// startSuccessor starts an empty control host at a new address.
func (r *runner) startSuccessor(s step, zone string) (*controlHost, error) {
	defer func() { r.losses.end(time.Now()) }()
	var h *controlHost
	err := r.locked(func() (err error) {
		if h, err = r.addControl(zone); err != nil {
			return err
		}
		h.Settings.Seeds = r.drawSeeds(h.Node, lagOf(s))
		r.log("%s starts, seeds %v", h.Settings.Host, h.Settings.Seeds)
		return r.start(h.Node)
	})
	return h, err
}

// replacePlanned starts a successor and then stops h.
func (r *runner) replacePlanned(ctx context.Context, s step, h *controlHost) (*controlHost, error) {
	successor, err := r.startSuccessor(s, h.Settings.Zone)
	if err != nil {
		return nil, err
	}
	sleep(ctx, plannedDelay)
	r.event("%s is terminated for good", h.Settings.Host)
	r.terminate(h.Node)
	return successor, r.locked(func() error { return r.remove(h) })
}

// split cuts the control hosts into two halves for a time.
func (r *runner) split(ctx context.Context, s step) error {
	r.losses.begin(time.Now())
	began := time.Now()
	r.mu.Lock()
	hosts := slices.Clone(r.control)
	r.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	r.mu.Unlock()
	r.event("%s", s.Kind)
	r.cutFor(ctx, s.Down, hosts[:len(hosts)/2], hosts[len(hosts)/2:])
	r.losses.end(time.Now())
	r.untolerated = append(r.untolerated, span{began, time.Now()})
	return nil
}

func (r *runner) othersThan(h *controlHost) []*controlHost {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.control), func(other *controlHost) bool { return other == h })
}

// cutFor cuts the links between two sets of hosts for d.
func (r *runner) cutFor(ctx context.Context, d time.Duration, left, right []*controlHost) {
	names := func(hosts []*controlHost) (list []string) {
		for _, h := range hosts {
			list = append(list, h.Settings.Host)
		}
		return list
	}
	r.links.cut(names(left), names(right))
	sleep(ctx, d)
	r.links.heal(names(left), names(right))
	r.event("the links of %v to %v are whole again", names(left), names(right))
}

// restartAll kills all control hosts at the same moment and starts them again.
func (r *runner) restartAll(s step) error {
	r.losses.begin(time.Now())
	killed := time.Now()
	defer func() {
		r.losses.end(time.Now())
		r.untolerated = append(r.untolerated, span{killed, time.Now()})
	}()
	r.event("%s", s.Kind)
	return r.locked(func() error {
		r.kill(nodesOf(r.control)...)
		time.Sleep(s.Down)
		for _, h := range r.control {
			if s.RefreshSeeds {
				h.Settings.Seeds = r.allSeeds(h.Node)
			}
			if err := r.start(h.Node); err != nil {
				return err
			}
		}
		return nil
	})
}

// allSeeds draws seeds while no process runs. The caller holds the lock.
func (r *runner) allSeeds(n *harness.Node) []string { return r.drawSeeds(n, time.Nanosecond) }

// changeSeeds changes the seeds in the settings files of all hosts.
func (r *runner) changeSeeds(s step) error {
	return r.locked(func() error {
		r.seeds = r.drawSeeds(nil, lagOf(s))
		r.log("%s to %v, SIGHUP %t", s.Kind, r.seeds, s.Hangup)
		for _, n := range append(nodesOf(r.control), r.gateways...) {
			n.Settings.Seeds = r.seeds
			if err := n.WriteSettings(); err != nil {
				return err
			}
			if s.Hangup && n.Running() && time.Since(r.started[n.Process]) > hangupAfter {
				n.Hangup()
			}
		}
		return nil
	})
}

// disturbGateway restarts or freezes a gateway. It returns early, with the gateway down, when ctx ends.
func (r *runner) disturbGateway(ctx context.Context, s step) error {
	r.mu.Lock()
	n := r.gateways[r.random.IntN(len(r.gateways))]
	r.mu.Unlock()
	r.event("%s: %s", s.Kind, n.Settings.Host)
	if s.Kind == freezeGateway {
		var frozen bool
		r.freezeFor(ctx, s.Down, n, &frozen)
		return nil
	}
	r.killHosts(n)
	if !sleep(ctx, s.Down) {
		return nil
	}
	return r.locked(func() error { return r.start(n) })
}

// losePower ends the schedule: right after an acknowledgement all processes are killed, a control host
// loses its disk, and all start again. It calls stop in between, and returns when they were started.
func (r *runner) losePower(ctx context.Context, end powerLoss, stop func()) (time.Time, error) {
	h := r.resolve(ctx, r.operator, end.Target)
	err := r.operator.put(ctx)
	r.powerLostAt = time.Now()
	if err != nil {
		return time.Time{}, err
	}
	r.losses.begin(r.powerLostAt)
	err = r.locked(func() error {
		r.kill(append(nodesOf(r.control), r.gateways...)...)
		r.log("all lose power; the disk of %s (%s) is lost", h.Settings.Host, end.Target)
		return h.RemoveData()
	})
	stop()
	if err != nil || !sleep(ctx, end.Down) {
		return time.Time{}, err
	}
	err = r.locked(func() error {
		for _, n := range append(nodesOf(r.control), r.gateways...) {
			if end.RefreshSeeds || n == h.Node {
				n.Settings.Seeds = r.allSeeds(n)
			}
		}
		return nil
	})
	if err != nil {
		return time.Time{}, err
	}
	return time.Now(), r.startAll()
}

// freezeFor freezes a process for d.
func (r *runner) freezeFor(ctx context.Context, d time.Duration, n *harness.Node, frozen *bool) {
	r.mu.Lock()
	n.Freeze()
	*frozen = true
	r.mu.Unlock()
	sleep(ctx, d)
	r.mu.Lock()
	defer r.mu.Unlock()
	n.Continue()
	*frozen = false
	r.log("%s goes on", n.Settings.Host)
}

func (r *runner) killHosts(nodes ...*harness.Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kill(nodes...)
}

func (r *runner) locked(fn func() error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fn()
}

func (r *runner) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log(format, args...)
}

func nodesOf(hosts []*controlHost) []*harness.Node {
	var nodes []*harness.Node
	for _, h := range hosts {
		nodes = append(nodes, h.Node)
	}
	return nodes
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
