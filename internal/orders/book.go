// Package orders holds the orders to upstreams with their states: pending, superseded, done
// or failed.
package orders

import (
	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// maxOrders bounds the orders in a book, including finished ones.
const maxOrders = 4096

// Book holds all orders in the order in which they were placed. At most one order per
// upstream and subject is pending.
type Book struct {
	orders []*controlapi.OrderStatus
	byID   map[string]*controlapi.OrderStatus
}

// NewBook returns a book without orders.
func NewBook() *Book {
	return &Book{byID: make(map[string]*controlapi.OrderStatus)}
}

// Load restores the orders of a snapshot.
func (b *Book) Load(list []*controlapi.OrderStatus) {
	for _, o := range list {
		b.add(o)
	}
}

// All returns all orders, oldest first. Callers must not modify them.
func (b *Book) All() []*controlapi.OrderStatus { return b.orders }

func (b *Book) add(o *controlapi.OrderStatus) {
	b.orders = append(b.orders, o)
	b.byID[o.Order.ID] = o
}

// Place adds a pending order and supersedes an earlier pending one on the same subject. If
// an identical order exists under the same ID, Place returns that one; a different one is a
// conflict.
func (b *Book) Place(p *controlapi.PlaceOrder, nowMS int64) (*controlapi.OrderStatus, error) {
	if known, ok := b.byID[p.Order.ID]; ok {
		return known, checkSameOrder(known, p)
	}
	if err := b.evictFinished(); err != nil {
		return nil, err
	}
	for _, o := range b.orders {
		if o.State == controlapi.OrderPending && o.Upstream == p.Upstream && subject(o.Order) == subject(p.Order) {
			o.State = controlapi.OrderSuperseded
		}
	}
	o := &controlapi.OrderStatus{Upstream: p.Upstream, Order: p.Order, State: controlapi.OrderPending, PlacedMS: nowMS}
	o.Order.FencingNumber = 0
	b.add(o)
	return o, nil
}

// checkSameOrder returns a conflict if p differs from the order placed under the same ID.
func checkSameOrder(known *controlapi.OrderStatus, p *controlapi.PlaceOrder) error {
	want := p.Order
	want.FencingNumber = known.Order.FencingNumber
	if known.Upstream != p.Upstream || known.Order != want {
		return errkind.New(errkind.Conflict, "order ID %s is already used by a different order", p.Order.ID)
	}
	return nil
}

// evictFinished removes the oldest order that is not pending if the book is full.
func (b *Book) evictFinished() error {
	if len(b.orders) < maxOrders {
		return nil
	}
	for i, o := range b.orders {
		if o.State != controlapi.OrderPending {
			delete(b.byID, o.Order.ID)
			b.orders = append(b.orders[:i:i], b.orders[i+1:]...)
			return nil
		}
	}
	return errkind.New(errkind.Overloaded, "order limit reached: %d orders are pending", len(b.orders))
}

// subject returns what an order changes on an upstream: its role, or one model or adapter.
func subject(o announce.Order) string {
	if o.Action == announce.ActionRole {
		return "role"
	}
	return "model/" + o.Model + "/" + o.Adapter
}

// Finish records the outcome of an order. It does not change an order that is already
// finished or superseded.
func (b *Book) Finish(f *controlapi.FinishOrder) (*controlapi.OrderStatus, error) {
	o, ok := b.byID[f.ID]
	if !ok {
		return nil, errkind.New(errkind.NotFound, "order %s does not exist", f.ID)
	}
	if o.State != controlapi.OrderPending {
		return o, nil
	}
	o.State = f.State
	o.Detail = f.Detail
	o.Order.FencingNumber = f.FencingNumber
	return o, nil
}
