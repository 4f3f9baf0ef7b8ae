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
	// leaveGrace is longer than the time within which a leaving engine may get new work.
	leaveGrace = 6 * time.Second
	// cacheBlocks is the memory of an engine's prefix cache: about half of all shared prefixes of Heraut & Klok.
	cacheBlocks = "160"
	// cacheGapEvery drops every so many of an engine's cache events.
	cacheGapEvery = "20"
)

// engine is the speed of the engines of all runs.
var engine = load.Engine{Capacity: 4, TokenTime: 10 * time.Millisecond, PromptTokenTime: 50 * time.Microsecond}

// planned is one run.
type planned struct {
	scenario load.Scenario
	// share is the load as a part of the engines' capacity.
	share float64
	// naive tells to run the naive way too.
	naive bool
	// exact pays in exactly what each organisation's requests cost.
	exact bool
}

// name returns the name of the run in reports.
func (p planned) name(d *trace.Deployment) string {
	budget := ""
	if p.exact {
		budget = "/exact_budget"
	}
	return fmt.Sprintf("%s/%s/%.1f%s", d.Name, p.scenario, p.share, budget)
}

// standardPlan are the runs of the bench.
var standardPlan = []planned{
	{load.Calm, 0.7, true, false},
	{load.Calm, 1.5, true, false},
	{load.Calm, 0.7, false, true},
	{load.KillLeader, 0.7, false, false},
	{load.KillEntry, 0.7, false, false},
	{load.Leave, 0.7, false, false},
}

// bench runs scenarios on fresh sites.
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

func (b *bench) run(ctx context.Context, plan []planned) error {
	for _, name := range b.deployments {
		for _, p := range plan {
			if err := b.runOne(ctx, trace.Find(name), p); err != nil {
				return eris.Wrapf(err, "%s/%s", name, p.scenario)
			}
		}
	}
	return nil
}

func (b *bench) runOne(ctx context.Context, d *trace.Deployment, p planned) error {
	dir, err := os.MkdirTemp("", "godwitbend-load-")
	if err != nil {
		return eris.Wrap(err, "make a directory")
	}
	defer os.RemoveAll(dir)
	opts := load.SiteOptions{
		Deployment: d,
		Bin:        b.bin,
		Dir:        dir,
		Hosts:      b.hosts,
		Control:    controlReplicas,
		Budget:     b.budget,
		EngineFlags: append(engine.Flags(),
			"--leave-grace", leaveGrace.String(),
			"--cache-blocks", cacheBlocks,
			"--cache-gap-every", cacheGapEvery),
	}
	if p.exact {
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

// measure runs the scenario, and the naive way after it on the same site.
func (b *bench) measure(ctx context.Context, site *load.Site, d *trace.Deployment, p planned, r *load.Report) error {
	if p.naive && p.share < 1 {
		if err := site.AddedLatency(ctx, r); err != nil {
			return err
		}
		if err := site.ConfigurationInForce(ctx, r); err != nil {
			return err
		}
	}
	arrivals := b.arrivals(d)
	speed := engine.Speed(arrivals, d.Engines, p.share)
	outcome, err := site.Run(ctx, arrivals, speed, p.scenario)
	if err != nil {
		return err
	}
	var naive *load.Outcome
	if p.naive {
		if naive, err = site.RunNaive(ctx, arrivals, speed); err != nil {
			return err
		}
	}
	if err := r.AddOutcome(outcome, naive); err != nil {
		return err
	}
	if outcome.Findings.HasViolations() {
		return eris.Errorf("a promise was broken: %q", outcome.Findings.Examples)
	}
	return nil
}
