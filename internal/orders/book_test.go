package orders

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

func newPlaceOrder(id, role string) *controlapi.PlaceOrder {
	return &controlapi.PlaceOrder{Upstream: "u", Order: announce.Order{ID: id, Action: announce.ActionRole, Role: role}}
}

func TestRepeatedPlaceReturnsExistingOrder(t *testing.T) {
	g := NewWithT(t)
	b := NewBook()
	_, err := b.Place(newPlaceOrder("1", "prefill"), 5)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = b.Finish(&controlapi.FinishOrder{ID: "1", State: controlapi.OrderDone, FencingNumber: 7})
	g.Expect(err).NotTo(HaveOccurred())
	again, err := b.Place(newPlaceOrder("1", "prefill"), 9)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.State).To(Equal(controlapi.OrderDone))
	g.Expect(again.Order.FencingNumber).To(Equal(uint64(7)))
	_, err = b.Place(newPlaceOrder("1", "decode"), 9)
	g.Expect(errkind.Is(err, errkind.Conflict)).To(BeTrue())
}

func TestNewOrderSupersedesPendingOrder(t *testing.T) {
	g := NewWithT(t)
	b := NewBook()
	first, err := b.Place(newPlaceOrder("1", "prefill"), 5)
	g.Expect(err).NotTo(HaveOccurred())
	second, err := b.Place(newPlaceOrder("2", "decode"), 6)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.State).To(Equal(controlapi.OrderSuperseded))
	g.Expect(second.State).To(Equal(controlapi.OrderPending))
	_, err = b.Finish(&controlapi.FinishOrder{ID: "1", State: controlapi.OrderDone})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.State).To(Equal(controlapi.OrderSuperseded))
}
