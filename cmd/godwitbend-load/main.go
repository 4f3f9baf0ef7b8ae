// Command godwitbend-load runs load scenarios against the real programs, with
// generated traces of both deployments, and prints the measurements as JSON lines.
// It can also write the traces.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/godwitbend/godwitbend/internal/load"
	"github.com/godwitbend/godwitbend/internal/trace"
)

func main() {
	app := kingpin.New("godwitbend-load", "Runs load scenarios against the real programs with traces of both deployments.")
	var b bench
	app.Flag("deployment", "Deployment; may be repeated.").
		Default(trace.Heraut, trace.Carvalho).EnumsVar(&b.deployments, trace.Heraut, trace.Carvalho)
	app.Flag("seed", "Seed of the generated arrivals.").Default("1").Uint64Var(&b.seed)
	app.Flag("requests", "Number of arrivals.").Default("1000").IntVar(&b.requests)
	app.Flag("rate", "Arrivals per second of the trace.").Default("50").Float64Var(&b.rate)
	app.Flag("bin", "Directory of the binaries.").Default("bin").StringVar(&b.bin)
	app.Flag("hosts", "Number of daemons.").Default("7").IntVar(&b.hosts)
	app.Flag("budget", "Tokens paid in for each organisation.").Default("100000000").Int64Var(&b.budget)
	write := app.Command("trace", "Write the generated traces to the standard output.")
	all := app.Command("bench", "Run the standard scenarios and print the measurements.")
	run := app.Command("run", "Run one scenario and print the measurements.")
	scenario := run.Flag("scenario", "Scenario to run.").Default(string(load.NoFailure)).Enum(load.ScenarioNames()...)
	loadFactor := run.Flag("load", "Offered load as a fraction of the engines' capacity.").Default("0.7").Float64()
	naive := run.Flag("naive", "Also run a baseline that bypasses the gateways.").Bool()
	exact := run.Flag("exact-budget", "Top up budgets with exactly what the requests cost.").Bool()
	selected := kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var err error
	switch selected {
	case write.FullCommand():
		err = b.writeTraces()
	case all.FullCommand():
		err = b.run(ctx, standardRuns)
	case run.FullCommand():
		err = b.run(ctx, []plannedRun{{load.Scenario(*scenario), *loadFactor, *naive, *exact}})
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
