package ctl

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
)

func (c *command) addOrderCommands(app *kingpin.Application) {
	clause := app.Command("order", "Order an upstream to load or unload a model or an adapter, or to change its role.")
	request := &operatorapi.OrderRequest{}
	clause.Arg("upstream", "Id of the upstream.").Required().StringVar(&request.Upstream)
	clause.Flag("action", "load, unload or role.").Required().
		EnumVar(&request.Order.Action, announce.ActionLoad, announce.ActionUnload, announce.ActionRole)
	clause.Flag("model", "Model.").StringVar(&request.Order.Model)
	clause.Flag("model-version", "Version of the model.").StringVar(&request.Order.Version)
	clause.Flag("adapter", "Adapter of the model.").StringVar(&request.Order.Adapter)
	clause.Flag("role", "New role.").StringVar(&request.Order.Role)
	c.setAPIAction(clause, func(ctx context.Context, cl *client) error {
		request.Order.ID = c.ensureOperationID()
		reply, err := cl.sendOrder(ctx, request, !c.noWait)
		if err != nil {
			return c.addRetryHint(err)
		}
		if err := c.print(reply, func() table { return orderTable(reply) }); err != nil {
			return err
		}
		return orderFailure(reply)
	})
	list := app.Command("orders", "List the orders to upstreams, oldest first.")
	c.setAPIAction(list, func(ctx context.Context, cl *client) error {
		var reply operatorapi.OrdersReply
		return c.query(ctx, cl, operatorapi.PathOrders, &reply, func() table { return ordersTable(reply.Orders) })
	})
}

// sendOrder sends an order and, if wait is set, repeats it while it is pending, until it
// has ended or ctx ends.
func (cl *client) sendOrder(ctx context.Context, request *operatorapi.OrderRequest, wait bool) (*operatorapi.OrderReply, error) {
	var pending *operatorapi.OrderReply
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		var reply operatorapi.OrderReply
		err := cl.call(ctx, "POST", operatorapi.PathOrders, request, &reply)
		switch {
		case err != nil && pending != nil && isUnavailable(err):
			return pending, nil
		case err != nil:
			return nil, err
		case controlapi.OrderState(reply.State) != controlapi.OrderPending || !wait:
			return &reply, nil
		}
		pending = &reply
		if !sleep(ctx, backoff) {
			return pending, nil
		}
	}
}

// orderFailure returns the failure of an order that is not done, or nil.
func orderFailure(reply *operatorapi.OrderReply) error {
	switch controlapi.OrderState(reply.State) {
	case controlapi.OrderDone:
		return nil
	case controlapi.OrderPending:
		return &failure{code: exitPending, text: fmt.Sprintf(
			"pending: the order has not ended; repeat the command with --operation-id %s", reply.OrderID)}
	default:
		return &failure{code: exitRefused, text: fmt.Sprintf("%s: %s", reply.State, reply.Detail)}
	}
}

func orderTable(reply *operatorapi.OrderReply) table {
	return table{row("ORDER", "FENCING NUMBER", "STATE"), row(reply.OrderID, reply.FencingNumber, reply.State)}
}

func ordersTable(orders []controlapi.OrderStatus) table {
	t := table{row("ORDER", "UPSTREAM", "ACTION", "MODEL", "VERSION", "ADAPTER", "ROLE", "STATE", "DETAIL")}
	for _, o := range orders {
		t = append(t, row(o.Order.ID, o.Upstream, o.Order.Action, o.Order.Model, o.Order.Version,
			o.Order.Adapter, o.Order.Role, o.State, o.Detail))
	}
	return t
}
