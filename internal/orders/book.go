// Package orders holds the orders to upstreams: which are pending and how those
// that have ended came out.
package orders

import (
	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// maxKept bounds the orders that are kept, finished ones included.
const maxKept = 4096

// Book is the aggregate of all orders, in the order of their placing. At most
// one order on a subject of an upstream is pending.
type Book struct {
	list []*controlapi.OrderStatus
	byID map[string]*controlapi.OrderStatus
}

// NewBook returns a book without orders.
func NewBook() *Book {
	return &Book{byID: make(map[string]*controlapi.OrderStatus)}
}

// Load takes in the orders of a snapshot.
func (b *Book) Load(list []*controlapi.OrderStatus) {
	for _, o := range list {
		b.add(o)
	}
}

// All returns the orders, oldest first. They must not be changed.
func (b *Book) All() []*controlapi.OrderStatus { return b.list }

func (b *Book) add(o *controlapi.OrderStatus) {
	b.list = append(b.list, o)
	b.byID[o.Order.ID] = o
}

// Place adds an order, or returns the one that was placed under the same id. An
// earlier pending order on the same subject is superseded.
func (b *Book) Place(p *controlapi.PlaceOrder, nowMS int64) (*controlapi.OrderStatus, error) {
	if known, ok := b.byID[p.Order.ID]; ok {
		return known, sameOrder(known, p)
	}
	if err := b.makeRoom(); err != nil {
		return nil, err
	}
	for _, o := range b.list {
		if o.State == controlapi.OrderPending && o.Upstream == p.Upstream && subject(o.Order) == subject(p.Order) {
			o.State = controlapi.OrderSuperseded
		}
	}
	o := &controlapi.OrderStatus{Upstream: p.Upstream, Order: p.Order, State: controlapi.OrderPending, PlacedMS: nowMS}
	o.Order.FencingNumber = 0
	b.add(o)
	return o, nil
}

func sameOrder(known *controlapi.OrderStatus, p *controlapi.PlaceOrder) error {
	want := p.Order
	want.FencingNumber = known.Order.FencingNumber
	if known.Upstream != p.Upstream || known.Order != want {
		return errkind.New(errkind.Conflict, "order id %s was used for another order", p.Order.ID)
	}
	return nil
}

// makeRoom forgets the oldest finished order if the book is full.
func (b *Book) makeRoom() error {
	if len(b.list) < maxKept {
		return nil
	}
	for i, o := range b.list {
		if o.State != controlapi.OrderPending {
			delete(b.byID, o.Order.ID)
			b.list = append(b.list[:i:i], b.list[i+1:]...)
			return nil
		}
	}
	return errkind.New(errkind.Overloaded, "%d orders are pending", len(b.list))
}

// subject names what an order decides on an upstream: its role, or one model or adapter.
func subject(o announce.Order) string {
	if o.Action == announce.ActionRole {
		return "role"
	}
	return "model/" + o.Model + "/" + o.Adapter
}

// Finish records the end of an order. A second end changes nothing, and the end
// of a superseded order leaves it superseded.
func (b *Book) Finish(f *controlapi.FinishOrder) (*controlapi.OrderStatus, error) {
	o, ok := b.byID[f.ID]
	if !ok {
		return nil, errkind.New(errkind.NotFound, "there is no order %s", f.ID)
	}
	if o.State != controlapi.OrderPending {
		return o, nil
	}
	o.State = f.State
	o.Detail = f.Detail
	o.Order.FencingNumber = f.FencingNumber
	return o, nil
}
