package controlnode_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/presence"
)

// Guards against departures that are lost with the control host that acknowledged them.
func TestDepartureIsKnownElsewhereOnceItIsAcknowledged(t *testing.T) {
	gr := newGroup(t)
	gr.startThree(true)
	gr.awaitVoters(1, 2, 3)
	upstream := func(i int, state presence.State) presence.Upstream {
		return presence.Upstream{ID: fmt.Sprint("u", i), Address: fmt.Sprintf("10.0.1.%d:80", i+1), Service: "s", State: state, StartedMS: 42, Sequence: int64(state)}
	}
	const upstreams = 20
	for i := range upstreams {
		gr.members[1].node.Report(upstream(i, presence.Ready))
	}
	for i := range upstreams {
		for _, other := range []int{2, 3} {
			gr.g.Eventually(func() presence.State { return gr.members[other].node.KnownState(upstream(i, 0).ID) }, eventuallyTimeout).Should(Equal(presence.Ready))
		}
	}
	for i := range upstreams {
		state := []presence.State{presence.Draining, presence.Terminated}[i%2]
		gr.members[1].node.Report(upstream(i, state))
		known := []presence.State{gr.members[2].node.KnownState(upstream(i, 0).ID), gr.members[3].node.KnownState(upstream(i, 0).ID)}
		gr.g.Expect(known).To(ContainElement(state))
	}
}

// Guards against departures that are not acknowledged while no other control host can be reached.
func TestDepartureIsAcknowledgedByAHostThatIsAlone(t *testing.T) {
	gr := newGroup(t)
	gr.startThree(true)
	gr.awaitVoters(1, 2, 3)
	gr.stop(2)
	gr.stop(3)
	acknowledged := make(chan struct{})
	go func() {
		gr.members[1].node.Report(presence.Upstream{ID: "u", Address: "10.0.1.1:80", Service: "s", State: presence.Draining, StartedMS: 42, Sequence: 1})
		close(acknowledged)
	}()
	gr.g.Eventually(acknowledged, 5*time.Second).Should(BeClosed())
}
