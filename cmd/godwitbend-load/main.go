// Command godwitbend-load drives the real programs with the traces of both
// deployments and prints what it measured as JSON lines. It also writes traces.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/godwitbend/godwitbend/internal/trace"
)

func main() {
	app := kingpin.New("godwitbend-load", "Drives the real programs with the traces of both deployments.")
	deployment := app.Flag("deployment", "Deployment; may be repeated.").
		Default(trace.Heraut, trace.Carvalho).Enums(trace.Heraut, trace.Carvalho)
	seed := app.Flag("seed", "Seed of the arrivals.").Default("1").Uint64()
	requests := app.Flag("requests", "Number of arrivals.").Default("1000").Int()
	rate := app.Flag("rate", "Arrivals per second.").Default("50").Float64()
	write := app.Command("trace", "Write the generated trace to the standard output.")
	run := app.Command("run", "Run scenarios and print the measures.")
	bin := run.Flag("bin", "Directory of the programs.").Default("bin").String()
	scenarios := run.Flag("scenario", "Scenario; may be repeated.").Default("calm", "kill_leader").
		Enums("calm", "kill_leader", "kill_entry", "freeze_leader", "drain")
	recorded := run.Flag("trace-dir", "Directory of recorded traces, used instead of generated ones.").String()
	speed := run.Flag("speed", "Pace of the arrivals.").Default("1").Float64()
	hosts := run.Flag("hosts", "Number of daemons.").Default("7").Int()
	budget := run.Flag("budget", "Tokens paid in for each organisation.").Default("100000000").Int64()
	chosen := kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var err error
	switch chosen {
	case write.FullCommand():
		err = writeTraces(*deployment, *seed, *requests, *rate)
	default:
		b := bench{
			bin: *bin, hosts: *hosts, budget: *budget, seed: *seed, requests: *requests,
			rate: *rate, speed: *speed, traceDir: *recorded,
		}
		err = b.run(ctx, *deployment, *scenarios)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func writeTraces(deployments []string, seed uint64, requests int, rate float64) error {
	for _, name := range deployments {
		arrivals := trace.Generate(trace.Find(name), seed, requests, rate)
		if err := trace.Write(os.Stdout, arrivals); err != nil {
			return err
		}
	}
	return nil
}
