package fleet_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/fake"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
)

// submitOrder orders engine-1, through h, to load a model.
func (s *site) submitOrder(h *host, id, model string) operatorapi.OrderReply {
	s.t.Helper()
	req := operatorapi.OrderRequest{
		Upstream: "engine-1",
		Order:    announce.Order{ID: id, Action: announce.ActionLoad, Model: model},
	}
	var reply operatorapi.OrderReply
	s.Expect(s.operate(h, http.MethodPost, operatorapi.PathOrders, req, &reply)).To(Equal(http.StatusOK))
	return reply
}

// appliedOrders returns the ids and fencing numbers of the orders that the engine applied.
func (s *site) appliedOrders() (ids []string, fencing []uint64) {
	for _, r := range s.engine.Truth().Records() {
		if r.Event == fake.TruthOrdered {
			ids = append(ids, r.Order)
			fencing = append(fencing, r.FencingNumber)
		}
	}
	return ids, fencing
}

// TestResentOrderExecutesOnce submits an order twice under one id, through two hosts: the
// second submission returns the result of the first.
func TestResentOrderExecutesOnce(t *testing.T) {
	engine := fake.EngineOptions{ChecksFencing: true, LoadTime: 500 * time.Millisecond}
	run(t, siteOptions{hosts: 4, control: 3, engine: engine}, func(s *site) {
		s.Expect(s.submitOrder(s.hosts[3], "o-1", "extra").State).To(Equal("done"))
		s.Expect(s.submitOrder(s.hosts[1], "o-1", "extra").State).To(Equal("done"))
		ids, _ := s.appliedOrders()
		s.Expect(ids).To(Equal([]string{"o-1"}))
	})
}

// TestNextLeaderExecutesPendingOrder isolates a leader with an order pending. The next
// leader executes it under a higher fencing number; if the upstream does not check
// fencing numbers, only after the old leader's lease has expired.
func TestNextLeaderExecutesPendingOrder(t *testing.T) {
	for name, checks := range map[string]bool{"checks fencing": true, "ignores fencing": false} {
		t.Run(name, func(t *testing.T) {
			engine := fake.EngineOptions{ChecksFencing: checks}
			run(t, siteOptions{hosts: 4, control: 3, engine: engine}, func(s *site) {
				time.Sleep(15 * time.Second)
				s.Expect(s.submitOrder(s.hosts[0], "o-1", "first").State).To(Equal("done"))
				leader := s.leader()
				s.net.Cut(leader.name, "engine-1")
				s.Expect(s.submitOrder(s.hosts[3], "o-2", "second").State).To(Equal("pending"))
				var rest []*host
				for _, h := range s.hosts {
					if h != leader {
						rest = append(rest, h)
					}
				}
				s.net.Partition(hostNames(leader), hostNames(rest...))
				time.Sleep(5 * time.Second)
				ids, _ := s.appliedOrders()
				s.Expect(len(ids) == 2).To(Equal(checks))
				time.Sleep(15 * time.Second)
				s.net.HealAll()
				time.Sleep(15 * time.Second)
				ids, fencing := s.appliedOrders()
				s.Expect(ids).To(Equal([]string{"o-1", "o-2"}))
				s.Expect(fencing[1]).To(BeNumerically(">", fencing[0]))
			})
		})
	}
}
