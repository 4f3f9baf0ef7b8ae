package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/load"
	"github.com/godwitbend/godwitbend/internal/trace"
)

// controlReplicas is the number of control replicas of a site.
const controlReplicas = 3

// bench runs scenarios on fresh sites.
type bench struct {
	bin      string
	hosts    int
	budget   int64
	seed     uint64
	requests int
	rate     float64
	speed    float64
	traceDir string
}

func (b *bench) run(ctx context.Context, deployments, scenarios []string) error {
	for _, name := range deployments {
		arrivals, err := b.arrivals(name)
		if err != nil {
			return err
		}
		for _, scenario := range scenarios {
			if err := b.runScenario(ctx, trace.Find(name), arrivals, load.Scenario(scenario)); err != nil {
				return eris.Wrapf(err, "%s/%s", name, scenario)
			}
		}
	}
	return nil
}

// arrivals returns the recorded trace of a deployment, or a generated one.
func (b *bench) arrivals(name string) ([]trace.Arrival, error) {
	if b.traceDir == "" {
		return trace.Generate(trace.Find(name), b.seed, b.requests, b.rate), nil
	}
	file, err := os.Open(filepath.Join(b.traceDir, name+".jsonl"))
	if err != nil {
		return nil, eris.Wrap(err, "open trace")
	}
	defer file.Close()
	return trace.Read(file)
}

func (b *bench) runScenario(ctx context.Context, d *trace.Deployment, arrivals []trace.Arrival, scenario load.Scenario) error {
	dir, err := os.MkdirTemp("", "godwitbend-load-")
	if err != nil {
		return eris.Wrap(err, "make a directory")
	}
	defer os.RemoveAll(dir)
	site, err := load.Start(ctx, load.SiteOptions{
		Deployment: d,
		Bin:        b.bin,
		Dir:        dir,
		Hosts:      b.hosts,
		Control:    controlReplicas,
		Budget:     b.budget,
	})
	if err != nil {
		return err
	}
	defer site.Kill()
	report := load.Report{Out: os.Stdout, Scenario: fmt.Sprintf("%s/%s", d.Name, scenario), Seed: b.seed}
	if scenario == load.Calm {
		if err := site.AddedLatency(ctx, &report); err != nil {
			return err
		}
	}
	outcome, err := site.Run(ctx, arrivals, b.speed, scenario)
	if err != nil {
		return err
	}
	return report.AddOutcome(outcome)
}
