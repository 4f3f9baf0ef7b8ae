// Command godwitbend-standin runs a stand-in for a model engine, a plain service or the
// weight store, for tests, measurements and the demo. On SIGTERM it announces that it is
// leaving, finishes its requests, and exits with 0.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

// command runs one kind of stand-in until ctx ends.
type command interface {
	run(ctx context.Context) error
}

func main() {
	app := kingpin.New("godwitbend-standin", "Stand-ins for upstreams and the weight store.")
	commands := map[string]command{}
	engine := newEngineCommand(app)
	commands[engine.clause.FullCommand()] = engine
	service := newServiceCommand(app)
	commands[service.clause.FullCommand()] = service
	weights := newWeightsCommand(app)
	commands[weights.clause.FullCommand()] = weights
	selected := kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := commands[selected].run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
