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

// Scenario names what fails while the load runs.
type Scenario string

// The scenarios.
const (
	// Calm: nothing fails.
	Calm Scenario = "calm"
	// KillLeader: the host of the control group's leader is killed.
	KillLeader Scenario = "kill_leader"
	// KillEntry: a host without a control replica is killed.
	KillEntry Scenario = "kill_entry"
	// FreezeLeader: the leader's host is frozen for a while, then runs on.
	FreezeLeader Scenario = "freeze_leader"
	// KillEngineAndLeader: an engine is killed, and the leader's host right after it.
	KillEngineAndLeader Scenario = "kill_engine_and_leader"
	// Leave: an engine is stopped by SIGTERM.
	Leave Scenario = "leave"
	// Drain: each host in turn is stopped by SIGTERM and started again.
	Drain Scenario = "drain"
)

// ScenarioNames returns the names of all scenarios.
func ScenarioNames() []string {
	var names []string
	for _, s := range []Scenario{Calm, KillLeader, KillEntry, FreezeLeader, KillEngineAndLeader, Leave, Drain} {
		names = append(names, string(s))
	}
	return names
}

const (
	// failAt is the part of the trace's duration after which the failure comes.
	failAt = 0.4
	// freezeTime is how long a frozen host stands.
	freezeTime = 8 * time.Second
	// leaveLimit is the time after leaving from which an upstream may get no new work.
	leaveLimit    = 3 * time.Second
	settleTimeout = 20 * time.Second
)

// Outcome is what one run gave.
type Outcome struct {
	Findings *audit.Findings
	Samples  []Sample
	// FailedAt is when the failure came; zero in calm.
	FailedAt time.Time
	Requests []audit.Request
	// Used is what all daemons used during the run; Memory is the most of any.
	Used harness.ProcessUsage
}

// Run sends the arrivals under a scenario and audits the result.
func (s *Site) Run(ctx context.Context, arrivals []trace.Arrival, speed float64, scenario Scenario) (*Outcome, error) {
	failing := make(chan error, 1)
	before := s.usage()
	driver := newDriver(s, newPicker(s))
	var outcome Outcome
	length := time.Duration(float64(arrivals[len(arrivals)-1].AtMS)/speed) * time.Millisecond
	failTime := time.Now().Add(time.Duration(float64(length) * failAt))
	go func() { failing <- s.fail(ctx, scenario, failTime, &outcome) }()
	driver.Run(ctx, arrivals, speed)
	if err := <-failing; err != nil {
		return nil, err
	}
	outcome.Samples = driver.Samples()
	outcome.Requests = driver.Requests()
	if scenario == Calm {
		outcome.Used = s.usage()
		outcome.Used.CPUTime -= before.CPUTime
		outcome.Used.IOBytes -= before.IOBytes
	}
	evidence, err := s.Evidence(ctx, outcome.Requests)
	if err != nil {
		return nil, err
	}
	outcome.Findings = audit.Check(evidence)
	return &outcome, nil
}

// RunNaive sends the arrivals past the system, straight to the upstreams.
func (s *Site) RunNaive(ctx context.Context, arrivals []trace.Arrival, speed float64) (*Outcome, error) {
	driver := newDriver(s, newNaive(s))
	driver.Run(ctx, arrivals, speed)
	all, err := s.AllTruth(ctx)
	if err != nil {
		return nil, err
	}
	requests := driver.Requests()
	truth := truthOf(requests, all)
	findings := audit.Check(&audit.Evidence{Requests: requests, Truth: truth, LeaveLimitMS: leaveLimit.Milliseconds()})
	return &Outcome{Findings: findings, Samples: driver.Samples(), Requests: requests}, nil
}

// truthOf returns the part of the truth that is about requests.
func truthOf(requests []audit.Request, all []fake.TruthRecord) []fake.TruthRecord {
	known := make(map[string]bool, len(requests))
	for i := range requests {
		known[requests[i].ID] = true
	}
	return slices.DeleteFunc(all, func(r fake.TruthRecord) bool { return !known[r.RequestID] })
}

// Evidence collects what the audit compares, after all requests have settled or
// settling has taken too long.
func (s *Site) Evidence(ctx context.Context, requests []audit.Request) (*audit.Evidence, error) {
	ask, err := s.anyHost()
	if err != nil {
		return nil, err
	}
	e := &audit.Evidence{Requests: requests, LeaveLimitMS: leaveLimit.Milliseconds()}
	settling, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	_ = harness.Await(settling, "nothing is reserved", func(ctx context.Context) error {
		e.Budgets, err = s.Budgets(ctx, ask)
		if err != nil {
			return err
		}
		return noneReserved(e.Budgets)
	})
	if err != nil {
		return nil, err
	}
	if e.Bills, err = s.Bills(ctx, ask); err != nil {
		return nil, err
	}
	e.Truth, err = s.AllTruth(ctx)
	return e, err
}

// fail lets the failure of a scenario come at a time.
func (s *Site) fail(ctx context.Context, scenario Scenario, at time.Time, o *Outcome) error {
	if scenario == Calm || !timing.Sleep(ctx, time.Until(at)) {
		return nil
	}
	o.FailedAt = time.Now()
	switch scenario {
	case KillLeader, KillEngineAndLeader:
		return s.killLeader(ctx, scenario == KillEngineAndLeader, o)
	case KillEntry:
		s.Hosts[len(s.Hosts)-1].Kill()
	case FreezeLeader:
		return s.freezeLeader(ctx, o)
	case Leave:
		return s.Upstreams[0].Stop()
	case Drain:
		return s.drainEach(ctx)
	}
	return nil
}

// killLeader kills the leader's host, and an engine just before it if asked to.
func (s *Site) killLeader(ctx context.Context, engineToo bool, o *Outcome) error {
	leader, err := s.Leader(ctx, s.Hosts[0])
	if err != nil {
		return err
	}
	o.FailedAt = time.Now()
	if engineToo {
		s.Upstreams[0].Kill()
	}
	leader.Kill()
	return nil
}

func (s *Site) freezeLeader(ctx context.Context, o *Outcome) error {
	leader, err := s.Leader(ctx, s.Hosts[0])
	if err != nil {
		return err
	}
	o.FailedAt = time.Now()
	leader.Freeze()
	defer leader.Continue()
	timing.Sleep(ctx, freezeTime)
	return nil
}

// drainEach stops each host by SIGTERM and starts it again.
func (s *Site) drainEach(ctx context.Context) error {
	for _, h := range s.Hosts {
		if err := h.Stop(); err != nil {
			return err
		}
		if err := s.StartHost(h); err != nil {
			return err
		}
		ready, cancel := context.WithTimeout(ctx, readyTimeout)
		err := s.AwaitHostReady(ready, h)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}
