package main

import (
	"context"
	"net/http"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/fake"
)

// weightsCommand runs a weight store.
type weightsCommand struct {
	clause *kingpin.CmdClause
	listen *string
	size   *int64
	rate   *int64
}

func newWeightsCommand(app *kingpin.Application) *weightsCommand {
	c := app.Command("weights", "Run a rate-limited weight store.")
	return &weightsCommand{
		clause: c,
		listen: c.Flag("listen", "IP:port to listen on.").Required().String(),
		size:   c.Flag("model-bytes", "Size of a model in bytes.").Default("1000000").Int64(),
		rate:   c.Flag("bytes-per-second", "Rate limit over all fetches.").Default("10000000").Int64(),
	}
}

func (c *weightsCommand) run(ctx context.Context) error {
	server := &http.Server{
		Addr:              *c.listen,
		Handler:           fake.NewWeightStore(*c.size, *c.rate),
		ReadHeaderTimeout: headerTimeout,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	select {
	case err := <-failed:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return eris.Wrap(server.Shutdown(shutdownCtx), "close the server")
}
