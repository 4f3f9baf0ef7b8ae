package controlapi

import "github.com/godwitbend/godwitbend/internal/announce"

// OrderState is the state of an order to an upstream.
type OrderState string

// The states of an order.
const (
	// OrderPending: the order is committed, and the leader resends it until the upstream
	// answers.
	OrderPending OrderState = "pending"
	// OrderDone: the upstream has executed the order.
	OrderDone OrderState = "done"
	// OrderFailed: the upstream has refused the order permanently.
	OrderFailed OrderState = "failed"
	// OrderSuperseded: a later order on the same subject replaced it before it was done.
	OrderSuperseded OrderState = "superseded"
)

// PlaceOrder commits an order to an upstream. Order.ID makes a resend idempotent. The leader
// sets Order.FencingNumber.
type PlaceOrder struct {
	Upstream string         `cbor:"1,keyasint"`
	Order    announce.Order `cbor:"2,keyasint"`
}

// FinishOrder records the end of an order.
type FinishOrder struct {
	ID            string     `cbor:"1,keyasint"`
	State         OrderState `cbor:"2,keyasint"`
	Detail        string     `cbor:"3,keyasint,omitempty"`
	FencingNumber uint64     `cbor:"4,keyasint"`
}

// OrderStatus is the state of one order.
type OrderStatus struct {
	Upstream string         `json:"upstream" cbor:"1,keyasint"`
	Order    announce.Order `json:"order" cbor:"2,keyasint"`
	State    OrderState     `json:"state" cbor:"3,keyasint"`
	Detail   string         `json:"detail,omitempty" cbor:"4,keyasint,omitempty"`
	PlacedMS int64          `json:"placed_ms" cbor:"5,keyasint"`
}
