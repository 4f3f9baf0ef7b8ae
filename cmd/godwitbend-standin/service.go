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

// serviceCommand runs the replicas of a plain service, which share one set of number series and bookings.
type serviceCommand struct {
	commonFlags
	clause     *kingpin.CmdClause
	listen     *[]string
	names      *[]string
	workTime   *time.Duration
	answerTime *time.Duration
}

func newServiceCommand(app *kingpin.Application) *serviceCommand {
	c := app.Command("service", "Run a plain service with number series and bookings.")
	return &serviceCommand{
		commonFlags: addCommonFlags(c),
		clause:      c,
		listen:      c.Flag("listen", "IP:port to listen on; may be repeated, each runs one replica.").Required().Strings(),
		names:       c.Flag("name", "Name of an offered service; may be repeated.").Required().Strings(),
		workTime:    c.Flag("work-time", "Time until a call takes effect.").Default("2ms").Duration(),
		answerTime:  c.Flag("answer-time", "Time from the effect to the answer.").Default("1ms").Duration(),
	}
}

func (c *serviceCommand) run(ctx context.Context) error {
	data := fake.NewServiceData()
	group, ctx := errgroup.WithContext(ctx)
	for i, address := range *c.listen {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrap(err, "listen")
		}
		replica, err := c.newReplica(i, listener, data)
		if err != nil {
			return err
		}
		group.Go(func() error { return c.serve(ctx, replica, listener) })
	}
	return group.Wait()
}

// newReplica returns the i-th replica. The ids of all but the first have a suffix.
func (c *serviceCommand) newReplica(i int, listener net.Listener, data *fake.ServiceData) (*fake.Service, error) {
	id := *c.id
	if i > 0 {
		id = fmt.Sprintf("%s-%d", id, i+1)
	}
	common, err := c.newCommonOptions(id, listener.Addr().String())
	if err != nil {
		return nil, err
	}
	return fake.NewService(fake.ServiceOptions{
		CommonOptions: common,
		Names:         *c.names,
		Capacity:      *c.capacity,
		QueueLimit:    *c.queue,
		WorkTime:      *c.workTime,
		AnswerTime:    *c.answerTime,
		Data:          data,
	}), nil
}
