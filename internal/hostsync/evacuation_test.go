package hostsync_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/presence"
)

// evacuationTimeout is our own bound on the time from the acknowledgement of an evacuation to its
// effect on all gateways.
const evacuationTimeout = time.Second

// evacuate sends a command to a control host until it is acknowledged.
func (gr *controlGroup) evacuate(i int, zone string, end bool) (revision uint64) {
	gr.g.Eventually(func() error {
		var err error
		revision, err = gr.nodes[i].Evacuate(context.Background(), zone, end)
		return err
	}, eventuallyTimeout, "20ms").Should(Succeed())
	return revision
}

func (f *relayedFleet) expectReady(service string, ready bool, within time.Duration) {
	deadline := time.Now().Add(within)
	for i, pool := range f.pools {
		f.g.Eventually(func() bool { return pool.HasReady(service, time.Now()) }, time.Until(deadline), "10ms").Should(Equal(ready), "gateway %d", i)
	}
}

// Guards against gateways that learn late, or never, of an evacuation through a control host that
// passes their calls on to the leader.
func TestEvacuationReachesAllGatewaysThroughControlHosts(t *testing.T) {
	f := newRelayedFleet(t)
	f.nodes[0].Report(presence.Upstream{ID: "u", Address: "10.0.0.1:80", Service: "s", Zone: "east", State: presence.Ready, StartedMS: 1, Sequence: 1})
	f.expectReady("s", true, eventuallyTimeout)
	for i := range relayTestControlHosts {
		f.g.Expect(f.evacuate(i, "east", false)).To(Equal(uint64(2*i + 1)))
		acknowledged := time.Now()
		f.expectReady("s", false, evacuationTimeout)
		t.Logf("in force %d ms after the acknowledgement", time.Since(acknowledged).Milliseconds())
		f.g.Expect(f.evacuate((i+1)%relayTestControlHosts, "east", true)).To(Equal(uint64(2*i + 2)))
		f.expectReady("s", true, evacuationTimeout)
	}
	f.evacuate(0, "east", false)
	_, late := f.gatewayInZone(2+relayTestGateways, f.zone(f.relay))
	f.g.Eventually(func() uint64 { return late.Evacuations().Revision }, eventuallyTimeout, "10ms").Should(Equal(uint64(7)))
	f.g.Expect(late.HasReady("s", time.Now())).To(BeFalse())
}

// Guards against gateways that miss an evacuation because the group lost its leader right after the
// acknowledgement: any control host that has the committed entry tells them.
func TestEvacuationReachesGatewaysWithoutALeader(t *testing.T) {
	gr := newControlGroupOf(t, 3)
	gr.putDocument(1, 1_000_000)
	gr.evacuate(1, "west", false)
	gr.g.Eventually(func() uint64 { return gr.node.Evacuations().Revision }, eventuallyTimeout, "10ms").Should(Equal(uint64(1)))
	gr.stops[1]()
	gr.stops[2]()
	_, pool := gr.gateway(2)
	gr.g.Eventually(func() uint64 { return pool.Evacuations().Revision }, eventuallyTimeout, "10ms").Should(Equal(uint64(1)))
}
