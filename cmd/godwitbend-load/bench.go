package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/load"
	"github.com/godwitbend/godwitbend/internal/trace"
)

const (
	// controlReplicas is the number of control replicas of a site.
	controlReplicas = 3
	// leaveGrace is longer than the time for which a leaving engine may receive new requests.
	leaveGrace = 6 * time.Second
	// cacheBlocks is the capacity of an engine's prefix cache. It holds about half of all
	// shared prefixes of Heraut & Klok.
	cacheBlocks = "160"
	// cacheGapEvery makes an engine drop every n-th cache event.
	cacheGapEvery = "20"
)

// benchEngine is the capacity and speed of every engine in all runs.
var benchEngine = load.Engine{Capacity: 4, TokenTime: 10 * time.Millisecond, PromptTokenTime: 50 * time.Microsecond}

// plannedRun is one run of a scenario.
type plannedRun struct {
	scenario load.Scenario
	// loadFactor is the offered load as a fraction of the engines' capacity.
	loadFactor float64
	// withBaseline adds a baseline run that bypasses the gateways.
	withBaseline bool
	// exactBudget tops up each budget with exactly what the organisation's requests cost.
	exactBudget bool
}

// name returns the name of the run in reports.
func (p plannedRun) name(d *trace.Deployment) string {
	suffix := ""
	if p.exactBudget {
		suffix = "/exact_budget"
	}
	return fmt.Sprintf("%s/%s/%.1f%s", d.Name, p.scenario, p.loadFactor, suffix)
}

// standardRuns are the runs of the bench command.
var standardRuns = []plannedRun{
	{load.NoFailure, 0.7, true, false},
	{load.NoFailure, 1.5, true, false},
	{load.NoFailure, 0.7, false, true},
	{load.KillLeader, 0.7, false, false},
	{load.KillEntry, 0.7, false, false},
	{load.Leave, 0.7, false, false},
}

// bench runs each scenario on a new site.
type bench struct {
	deployments []string
	bin         string
	hosts       int
	budget      int64
	seed        uint64
	requests    int
	rate        float64
}

func (b *bench) arrivals(d *trace.Deployment) []trace.Arrival {
	return trace.Generate(d, b.seed, b.requests, b.rate)
}

func (b *bench) writeTraces() error {
	for _, name := range b.deployments {
		if err := trace.Write(os.Stdout, b.arrivals(trace.Find(name))); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) run(ctx context.Context, runs []plannedRun) error {
	for _, name := range b.deployments {
		for _, p := range runs {
			if err := b.runScenario(ctx, trace.Find(name), p); err != nil {
				return eris.Wrapf(err, "%s/%s", name, p.scenario)
			}
		}
	}
	return nil
}

func (b *bench) runScenario(ctx context.Context, d *trace.Deployment, p plannedRun) error {
	dir, err := os.MkdirTemp("", "godwitbend-load-")
	if err != nil {
		return eris.Wrap(err, "create a temporary directory")
	}
	defer os.RemoveAll(dir)
	opts := load.SiteOptions{
		Deployment:   d,
		Bin:          b.bin,
		Dir:          dir,
		Hosts:        b.hosts,
		ControlHosts: controlReplicas,
		Budget:       b.budget,
		EngineFlags: append(benchEngine.Flags(),
			"--leave-grace", leaveGrace.String(),
			"--cache-blocks", cacheBlocks,
			"--cache-gap-every", cacheGapEvery),
	}
	if p.exactBudget {
		opts.Budgets = load.Costs(d, b.arrivals(d))
	}
	site, err := load.Start(ctx, opts)
	if err != nil {
		return err
	}
	defer site.Kill()
	report := load.Report{Out: os.Stdout, Scenario: p.name(d), Seed: b.seed}
	return b.measure(ctx, site, d, p, &report)
}

// measure runs the scenario and, if p.withBaseline is set, the baseline after it on the same site.
func (b *bench) measure(ctx context.Context, site *load.Site, d *trace.Deployment, p plannedRun, r *load.Report) error {
	if p.withBaseline && p.loadFactor < 1 {
		if err := site.MeasureAddedLatency(ctx, r); err != nil {
			return err
		}
		if err := site.MeasureConfigurationDelay(ctx, r); err != nil {
			return err
		}
	}
	arrivals := b.arrivals(d)
	speed := benchEngine.ReplaySpeed(arrivals, d.Engines, p.loadFactor)
	outcome, err := site.Run(ctx, arrivals, speed, p.scenario)
	if err != nil {
		return err
	}
	var baseline *load.RunResult
	if p.withBaseline {
		if baseline, err = site.RunBaseline(ctx, arrivals, speed); err != nil {
			return err
		}
	}
	if err := r.AddRunResult(outcome, baseline); err != nil {
		return err
	}
	if outcome.Findings.HasViolations() {
		return eris.Errorf("a guarantee was violated: %q", outcome.Findings.Examples)
	}
	return nil
}
