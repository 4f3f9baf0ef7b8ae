package hostsync_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/presence"
)

// Guards against gateways that send to upstreams which left, or miss new ones, while the control
// group has no leader.
func TestUpstreamsThatComeOrLeaveReachGatewaysWithoutALeader(t *testing.T) {
	gr := newControlGroupOf(t, 3)
	gr.putDocument(1, 1_000_000)
	var pools []*placement.Pool
	for i := range 2 {
		c, pool := gr.gateway(2 + i)
		pools = append(pools, pool)
		gr.g.Eventually(func() bool { return c.View() != nil && c.View().Hosts == i+1 }, eventuallyTimeout).Should(BeTrue())
	}
	leader := gr.leader()
	survivor := gr.nodes[(leader+1)%3]
	leaving := presence.Upstream{ID: "u", Address: "10.0.0.1:80", Service: "s", State: presence.Ready, StartedMS: 1, Sequence: 1}
	gr.nodes[leader].Report(leaving)
	expectReady := func(service string, ready bool, within time.Duration) {
		deadline := time.Now().Add(within)
		for i, pool := range pools {
			gr.g.Eventually(func() bool { return pool.HasReady(service, time.Now()) }, time.Until(deadline), "10ms").Should(Equal(ready), "gateway %d", i)
		}
	}
	expectReady("s", true, eventuallyTimeout)
	gr.stops[leader]()
	gr.stops[(leader+2)%3]()
	time.Sleep(time.Second) // the calls to the hosts that ended have failed
	leaving.State, leaving.Sequence = presence.Draining, 2
	survivor.Report(leaving)
	survivor.Report(presence.Upstream{ID: "v", Address: "10.0.0.2:80", Service: "t", State: presence.Ready, StartedMS: 1, Sequence: 1})
	expectReady("s", false, inForceTimeout)
	expectReady("t", true, inForceTimeout)
}
