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

	"github.com/godwitbend/godwitbend/internal/load"
	"github.com/godwitbend/godwitbend/internal/trace"
)

func main() {
	app := kingpin.New("godwitbend-load", "Drives the real programs with the traces of both deployments.")
	var b bench
	app.Flag("deployment", "Deployment; may be repeated.").
		Default(trace.Heraut, trace.Carvalho).EnumsVar(&b.deployments, trace.Heraut, trace.Carvalho)
	app.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&b.seed)
	app.Flag("requests", "Number of arrivals.").Default("1000").IntVar(&b.requests)
	app.Flag("rate", "Arrivals per second of the trace.").Default("50").Float64Var(&b.rate)
	app.Flag("bin", "Directory of the programs.").Default("bin").StringVar(&b.bin)
	app.Flag("hosts", "Number of daemons.").Default("7").IntVar(&b.hosts)
	app.Flag("budget", "Tokens paid in for each organisation.").Default("100000000").Int64Var(&b.budget)
	write := app.Command("trace", "Write the generated traces to the standard output.")
	all := app.Command("bench", "Run the standard scenarios and print the measures.")
	run := app.Command("run", "Run one scenario and print the measures.")
	scenario := run.Flag("scenario", "Scenario.").Default(string(load.Calm)).Enum(load.ScenarioNames()...)
	share := run.Flag("load", "Load as a part of the engines' capacity.").Default("0.7").Float64()
	naive := run.Flag("naive", "Run the naive way too.").Bool()
	exact := run.Flag("exact-budget", "Pay in exactly what the requests cost.").Bool()
	chosen := kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var err error
	switch chosen {
	case write.FullCommand():
		err = b.writeTraces()
	case all.FullCommand():
		err = b.run(ctx, standardPlan)
	case run.FullCommand():
		err = b.run(ctx, []planned{{load.Scenario(*scenario), *share, *naive, *exact}})
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
