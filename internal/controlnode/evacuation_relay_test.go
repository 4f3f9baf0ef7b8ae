package controlnode

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
)

// Guards against gateways that are told an outdated set of evacuated zones by a control host whose
// replica lags behind the leader, or whose replies from the leader arrive in another order.
func TestEvacuationsFromTheLeaderPrecedeALaggingReplica(t *testing.T) {
	g := NewWithT(t)
	n := New(Options{})
	machine := fleetstate.New()
	n.machine.Store(machine)
	told := func(revision uint64, zones ...string) {
		reply := &SubmitReply{Epoch: 1, Evacuations: &EvacuatedZones{Revision: revision, Zones: zones}}
		g.Expect(n.relay.apply(&SubmitRequest{}, reply, time.Now())).To(Succeed())
	}
	g.Expect(n.evacuationsSince(0)).To(BeNil())
	told(2, "a", "b")
	told(1, "a")
	g.Expect(n.evacuationsSince(1)).To(Equal(&EvacuatedZones{Revision: 2, Zones: []string{"a", "b"}}))
	g.Expect(n.evacuationsSince(2)).To(BeNil())
	g.Expect(n.relay.newRequest("leader", nil, time.Now()).EvacuationRevision).To(Equal(uint64(2)))
	for _, zone := range []string{"a", "b", "c"} {
		command, err := codec.Marshal(&fleetstate.Command{Evacuation: &fleetstate.Evacuation{Zone: zone}})
		g.Expect(err).NotTo(HaveOccurred())
		machine.Apply(1, command)
	}
	g.Expect(n.evacuationsSince(2)).To(Equal(&EvacuatedZones{Revision: 3, Zones: []string{"a", "b", "c"}}), "the replica has caught up")
}
