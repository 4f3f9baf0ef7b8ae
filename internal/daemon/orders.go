package daemon

import (
	"context"
	"time"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
	"github.com/godwitbend/godwitbend/internal/ordersender"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// orderPollInterval is the interval at which the state of an awaited order is queried.
	orderPollInterval = 100 * time.Millisecond
	// orderWaitTimeout bounds the time for which an operator's call waits for an order to end.
	orderWaitTimeout = 5 * time.Second
)

// startOrders starts the sender of orders, which is active while this host's replica is
// the leader.
func (d *Daemon) startOrders(ctx context.Context) {
	sender := ordersender.New(ordersender.Options{
		Leader:       d.replica.server,
		ControlGroup: d.group,
		Lookup:       d.orderTarget,
		Client:       d.upstreamHTTP,
		Limits: ordersender.Limits{
			MinLoadInterval: d.settings.Orders.LoadInterval.Duration,
			MaxLoads:        d.settings.Orders.Loads,
			Lease:           d.settings.Orders.Lease.Duration,
		},
	})
	d.goRun(func() { sender.Run(ctx) })
}

func (d *Daemon) orderTarget(id string) (ordersender.Target, bool) {
	entry, ok := d.registry.Snapshot().Entries[id]
	if !ok {
		return ordersender.Target{}, false
	}
	state := entry.State()
	fresh := time.Since(state.ReceivedAt) < d.settings.UpstreamTimeout.Duration
	return ordersender.Target{Address: state.Address, ChecksFencing: state.ChecksFencing}, fresh
}

// order commits an operator's order and waits up to orderWaitTimeout for its end. If it
// has not ended by then, the returned state is "pending"; repeating the same call
// returns the state at that time.
func (d *Daemon) order(ctx context.Context, req *operatorapi.OrderRequest) (*operatorapi.OrderReply, error) {
	place := &controlapi.PlaceOrder{Upstream: req.Upstream, Order: req.Order}
	result, err := d.group.Execute(ctx, &controlapi.Command{PlaceOrder: place})
	if err != nil {
		return nil, err
	}
	if result.Err != nil {
		return nil, result.Err
	}
	status, err := d.awaitOrder(ctx, result.Order)
	if err != nil {
		return nil, err
	}
	return &operatorapi.OrderReply{
		OrderID:       status.Order.ID,
		FencingNumber: status.Order.FencingNumber,
		State:         string(status.State),
		Detail:        status.Detail,
	}, nil
}

func (d *Daemon) awaitOrder(ctx context.Context, status *controlapi.OrderStatus) (*controlapi.OrderStatus, error) {
	end := time.Now().Add(orderWaitTimeout)
	for status.State == controlapi.OrderPending && time.Now().Before(end) {
		if !timing.Sleep(ctx, orderPollInterval) {
			return nil, errkind.New(errkind.ControlUnavailable, "the order is committed, but its result is not known").WithOutcome(errkind.Unknown)
		}
		reply, err := d.group.Query(ctx, &controlapi.QueryRequest{Orders: true})
		if err != nil {
			return nil, err
		}
		for i := range reply.Orders {
			if reply.Orders[i].Order.ID == status.Order.ID {
				status = &reply.Orders[i]
			}
		}
	}
	return status, nil
}
