package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/godwitbend/godwitbend/internal/fake"
)

// serviceCommand runs the replicas of a plain service, which share their books.
type serviceCommand struct {
	commonFlags
	clause     *kingpin.CmdClause
	listen     *[]string
	names      *[]string
	workTime   *time.Duration
	answerTime *time.Duration
}

func newServiceCommand(app *kingpin.Application) *serviceCommand {
	c := app.Command("service", "Run a plain service that gives numbers and takes bookings.")
	return &serviceCommand{
		commonFlags: addCommonFlags(c),
		clause:      c,
		listen:      c.Flag("listen", "IP:port to serve; each further one is a further replica.").Required().Strings(),
		names:       c.Flag("name", "Service that is offered; may be repeated.").Required().Strings(),
		workTime:    c.Flag("work-time", "Time until a call takes effect.").Default("2ms").Duration(),
		answerTime:  c.Flag("answer-time", "Time from then to the answer.").Default("1ms").Duration(),
	}
}

func (c *serviceCommand) run(ctx context.Context) error {
	books := fake.NewServiceData()
	group, ctx := errgroup.WithContext(ctx)
	for i, address := range *c.listen {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrap(err, "listen")
		}
		replica, err := c.replica(i, listener, books)
		if err != nil {
			return err
		}
		group.Go(func() error { return c.serve(ctx, replica, listener) })
	}
	return group.Wait()
}

// replica returns the i-th replica.
func (c *serviceCommand) replica(i int, listener net.Listener, books *fake.ServiceData) (*fake.Service, error) {
	id := *c.id
	if i > 0 {
		id = fmt.Sprintf("%s-%d", id, i+1)
	}
	identity, err := c.identity(id, listener.Addr().String())
	if err != nil {
		return nil, err
	}
	return fake.NewService(fake.ServiceOptions{
		CommonOptions: identity,
		Names:         *c.names,
		Capacity:      *c.capacity,
		QueueLimit:    *c.queue,
		WorkTime:      *c.workTime,
		AnswerTime:    *c.answerTime,
		Data:          books,
	}), nil
}
