package load

import (
	"context"
	"slices"
	"time"

	"github.com/godwitbend/godwitbend/internal/audit"
	"github.com/godwitbend/godwitbend/internal/fake"
	"github.com/godwitbend/godwitbend/internal/harness"
	"github.com/godwitbend/godwitbend/internal/timing"
	"github.com/godwitbend/godwitbend/internal/trace"
)

// Scenario is the name of a failure that is injected while the load runs.
type Scenario string

// The scenarios.
const (
	// NoFailure injects no failure.
	NoFailure Scenario = "calm"
	// KillLeader kills the host of the control group's leader.
	KillLeader Scenario = "kill_leader"
	// KillEntry kills a host without a control replica.
	KillEntry Scenario = "kill_entry"
	// FreezeLeader suspends the leader's host for freezeDuration.
	FreezeLeader Scenario = "freeze_leader"
	// KillEngineAndLeader kills an engine and, immediately after it, the leader's host.
	KillEngineAndLeader Scenario = "kill_engine_and_leader"
	// Leave stops an engine with SIGTERM.
	Leave Scenario = "leave"
	// Drain restarts the hosts one after another, stopping each with SIGTERM.
	Drain Scenario = "drain"
)

// ScenarioNames returns the names of all scenarios.
func ScenarioNames() []string {
	var names []string
	for _, s := range []Scenario{NoFailure, KillLeader, KillEntry, FreezeLeader, KillEngineAndLeader, Leave, Drain} {
		names = append(names, string(s))
	}
	return names
}

const (
	// failureFraction is the fraction of the run's duration after which the failure is
	// injected.
	failureFraction = 0.4
	// freezeDuration is the time for which a frozen host is suspended.
	freezeDuration = 8 * time.Second
	// leaveLimit is the time after which a leaving upstream must not start new work.
	leaveLimit = 3 * time.Second
	// settleTimeout limits the wait for the settlement of all requests after a run.
	settleTimeout = 20 * time.Second
)

// RunResult holds the records and the audit of one run.
type RunResult struct {
	Findings *audit.Findings
	Samples  []Sample
	// FailedAt is the time of the failure. It is zero if no failure was injected.
	FailedAt time.Time
	Requests []audit.Request
	// Usage is the total usage of all daemons during the run, and the largest PeakMemory of any
	// since its start. It is set only for NoFailure.
	Usage harness.ProcessUsage
}

// Run sends the arrivals, accelerated by the factor speed, injects the failure of the scenario and
// audits the result.
func (s *Site) Run(ctx context.Context, arrivals []trace.Arrival, speed float64, scenario Scenario) (*RunResult, error) {
	injected := make(chan error, 1)
	usageBefore := s.totalUsage()
	driver := newDriver(s, newHostPicker(s))
	var result RunResult
	length := time.Duration(float64(arrivals[len(arrivals)-1].AtMS)/speed) * time.Millisecond
	failTime := time.Now().Add(time.Duration(float64(length) * failureFraction))
	go func() { injected <- s.injectFailure(ctx, scenario, failTime, &result) }()
	driver.Run(ctx, arrivals, speed)
	if err := <-injected; err != nil {
		return nil, err
	}
	result.Samples = driver.Samples()
	result.Requests = driver.Requests()
	if scenario == NoFailure {
		result.Usage = s.totalUsage()
		result.Usage.CPUTime -= usageBefore.CPUTime
		result.Usage.IOBytes -= usageBefore.IOBytes
	}
	evidence, err := s.CollectEvidence(ctx, result.Requests)
	if err != nil {
		return nil, err
	}
	result.Findings = audit.Check(evidence)
	return &result, nil
}

// RunBaseline sends the arrivals directly to the upstreams, bypassing the gateways, and audits the
// result.
func (s *Site) RunBaseline(ctx context.Context, arrivals []trace.Arrival, speed float64) (*RunResult, error) {
	driver := newDriver(s, newBaselineTargets(s))
	driver.Run(ctx, arrivals, speed)
	all, err := s.AllGroundTruth(ctx)
	if err != nil {
		return nil, err
	}
	requests := driver.Requests()
	truth := filterTruth(requests, all)
	findings := audit.Check(&audit.Evidence{Requests: requests, Truth: truth, LeaveLimitMS: leaveLimit.Milliseconds()})
	return &RunResult{Findings: findings, Samples: driver.Samples(), Requests: requests}, nil
}

// filterTruth returns the records of the ground truth that belong to requests.
func filterTruth(requests []audit.Request, all []fake.TruthRecord) []fake.TruthRecord {
	known := make(map[string]bool, len(requests))
	for i := range requests {
		known[requests[i].ID] = true
	}
	return slices.DeleteFunc(all, func(r fake.TruthRecord) bool { return !known[r.RequestID] })
}

// CollectEvidence collects the records that the audit compares. It first waits until all requests
// are settled, but no longer than settleTimeout.
func (s *Site) CollectEvidence(ctx context.Context, requests []audit.Request) (*audit.Evidence, error) {
	host, err := s.anyRunningHost()
	if err != nil {
		return nil, err
	}
	e := &audit.Evidence{Requests: requests, LeaveLimitMS: leaveLimit.Milliseconds()}
	settleCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	_ = harness.Await(settleCtx, "all requests are settled", func(ctx context.Context) error {
		if err = s.readLedger(ctx, host, e); err != nil {
			return err
		}
		return checkSettled(e)
	})
	if err != nil {
		return nil, err
	}
	e.Truth, err = s.AllGroundTruth(ctx)
	return e, err
}

// readLedger reads the budgets and bills into e.
func (s *Site) readLedger(ctx context.Context, host *harness.Host, e *audit.Evidence) error {
	budgets, err := s.Budgets(ctx, host)
	if err != nil {
		return err
	}
	bills, err := s.Bills(ctx, host)
	if err != nil {
		return err
	}
	e.Budgets, e.Bills = budgets, bills
	return nil
}

// injectFailure injects the failure of a scenario at the given time.
func (s *Site) injectFailure(ctx context.Context, scenario Scenario, at time.Time, result *RunResult) error {
	if scenario == NoFailure || !timing.Sleep(ctx, time.Until(at)) {
		return nil
	}
	result.FailedAt = time.Now()
	switch scenario {
	case KillLeader, KillEngineAndLeader:
		return s.killLeader(ctx, scenario == KillEngineAndLeader, result)
	case KillEntry:
		s.Hosts[len(s.Hosts)-1].Kill()
	case FreezeLeader:
		return s.freezeLeader(ctx, result)
	case Leave:
		return s.Upstreams[0].Stop()
	case Drain:
		return s.restartEachHost(ctx)
	}
	return nil
}

// killLeader kills the leader's host and, if killEngine is set, an engine immediately before it.
func (s *Site) killLeader(ctx context.Context, killEngine bool, result *RunResult) error {
	leader, err := s.Leader(ctx, s.Hosts[0])
	if err != nil {
		return err
	}
	result.FailedAt = time.Now()
	if killEngine {
		s.Upstreams[0].Kill()
	}
	leader.Kill()
	return nil
}

// freezeLeader suspends the leader's host for freezeDuration.
func (s *Site) freezeLeader(ctx context.Context, result *RunResult) error {
	leader, err := s.Leader(ctx, s.Hosts[0])
	if err != nil {
		return err
	}
	result.FailedAt = time.Now()
	leader.Freeze()
	defer leader.Continue()
	timing.Sleep(ctx, freezeDuration)
	return nil
}

// restartEachHost stops the hosts with SIGTERM and restarts them, one after another. It waits for
// each to be ready before the next.
func (s *Site) restartEachHost(ctx context.Context) error {
	for _, h := range s.Hosts {
		if err := h.Stop(); err != nil {
			return err
		}
		if err := s.StartHost(h); err != nil {
			return err
		}
		readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
		err := s.AwaitHostReady(readyCtx, h)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}
