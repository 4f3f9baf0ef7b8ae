package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/fake"
)

// engineCommand runs a model engine.
type engineCommand struct {
	commonFlags
	clause          *kingpin.CmdClause
	listen          *string
	models          *[]string
	role            *string
	tokenTime       *time.Duration
	promptTokenTime *time.Duration
	cacheBlocks     *int
	cacheGapEvery   *uint64
	checksFencing   *bool
	loadTime        *time.Duration
	weights         *string
}

func newEngineCommand(app *kingpin.Application) *engineCommand {
	c := app.Command("engine", "Run a model engine.")
	return &engineCommand{
		commonFlags:     addCommonFlags(c),
		clause:          c,
		listen:          c.Flag("listen", "IP:port to listen on.").Required().String(),
		models:          c.Flag("model", "Model that is loaded at the start; may be repeated.").Required().Strings(),
		role:            c.Flag("role", "Role of the engine.").String(),
		tokenTime:       c.Flag("token-time", "Time per output token.").Default("5ms").Duration(),
		promptTokenTime: c.Flag("prompt-token-time", "Time per uncached prompt token.").Default("50us").Duration(),
		cacheBlocks:     c.Flag("cache-blocks", "Capacity of the prefix cache in blocks.").Default("4096").Int(),
		cacheGapEvery:   c.Flag("cache-gap-every", "Drop every n-th cache event.").Uint64(),
		checksFencing:   c.Flag("checks-fencing", "Refuse orders with an outdated fencing number.").Bool(),
		loadTime:        c.Flag("load-time", "Time to load a model.").Default("100ms").Duration(),
		weights:         c.Flag("weights", "Base URL of the weight store.").String(),
	}
}

func (c *engineCommand) run(ctx context.Context) error {
	listener, err := net.Listen("tcp", *c.listen)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	common, err := c.newCommonOptions(*c.id, listener.Addr().String())
	if err != nil {
		return err
	}
	opts := fake.EngineOptions{
		CommonOptions:   common,
		Role:            *c.role,
		Capacity:        *c.capacity,
		QueueLimit:      *c.queue,
		TokenTime:       *c.tokenTime,
		PromptTokenTime: *c.promptTokenTime,
		CacheBlocks:     *c.cacheBlocks,
		CacheGapEvery:   *c.cacheGapEvery,
		ChecksFencing:   *c.checksFencing,
		LoadTime:        *c.loadTime,
	}
	for _, name := range *c.models {
		opts.Models = append(opts.Models, announce.ServiceOffer{Name: name, Version: "1"})
	}
	if *c.weights != "" {
		opts.FetchWeights = c.fetchWeights
	}
	return c.serve(ctx, fake.NewEngine(opts), listener)
}

// fetchWeights fetches the weights of model from the weight store.
func (c *engineCommand) fetchWeights(ctx context.Context, model string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, *c.weights+"/weights/"+model, nil)
	if err != nil {
		return eris.Wrap(err, "fetch weights")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "fetch weights")
	}
	return eris.Wrap(resp.Body.Close(), "fetch weights")
}
