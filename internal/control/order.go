package control

import (
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// placeOrder commits an order to an upstream, once per order id.
func (m *Machine) placeOrder(p *controlapi.PlaceOrder) *controlapi.Result {
	if p.Order.ID == "" || len(p.Order.ID) > maxIDBytes || p.Upstream == "" || len(p.Upstream) > maxIDBytes {
		return refuse(errkind.New(errkind.InvalidRequest, "the order id or the upstream id is empty or longer than %d bytes", maxIDBytes))
	}
	return orderResult(m.orders.Place(p, m.nowMS))
}

// finishOrder records that an order has ended.
func (m *Machine) finishOrder(f *controlapi.FinishOrder) *controlapi.Result {
	return orderResult(m.orders.Finish(f))
}

func orderResult(o *controlapi.OrderStatus, err error) *controlapi.Result {
	if err != nil {
		return refuse(err)
	}
	status := *o
	return &controlapi.Result{Order: &status}
}

func (m *Machine) listOrders() []controlapi.OrderStatus {
	var list []controlapi.OrderStatus
	for _, o := range m.orders.All() {
		list = append(list, *o)
	}
	return list
}
