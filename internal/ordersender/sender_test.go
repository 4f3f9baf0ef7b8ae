package ordersender

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

func TestReplyFinishesOrderOrLeavesItPending(t *testing.T) {
	g := NewWithT(t)
	order := announce.Order{ID: "o", FencingNumber: 7}
	done, err := interpretReply(order, http.StatusNoContent, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(done.State).To(Equal(controlapi.OrderDone))
	g.Expect(done.FencingNumber).To(Equal(uint64(7)))
	refused, err := interpretReply(order, http.StatusBadRequest, "no such model")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(refused.State).To(Equal(controlapi.OrderFailed))
	g.Expect(refused.Detail).To(ContainSubstring("no such model"))
	_, err = interpretReply(order, http.StatusConflict, "")
	g.Expect(errkind.Is(err, errkind.StaleFencing)).To(BeTrue())
	_, err = interpretReply(order, http.StatusBadGateway, "")
	g.Expect(errkind.Is(err, errkind.UpstreamFailed)).To(BeTrue())
}
