package controlnode_test

import (
	"context"
	"net"
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/rpc"
)

func (gr *group) evacuate(i int, zone string, end bool) (revision uint64) {
	gr.g.Eventually(func() error {
		var err error
		revision, err = gr.members[i].node.Evacuate(context.Background(), zone, end)
		return err
	}, eventuallyTimeout, "20ms").Should(Succeed())
	return revision
}

// stateAsOldBuild sends the running control hosts what one of a build without features sends.
func (gr *group) stateAsOldBuild(i int) {
	client := rpc.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	})
	defer func() { gr.g.Expect(client.Close()).To(Succeed()) }()
	for member := range gr.members {
		_, err := rpc.Call[controlnode.UpstreamsMessage, controlnode.UpstreamsReply](context.Background(), client, gr.address(member),
			controlnode.MethodUpstreams, &controlnode.UpstreamsMessage{Sender: gr.address(i), Generation: 1})
		gr.g.Expect(err).NotTo(HaveOccurred())
	}
}

func (gr *group) startThree(bootstrap bool) {
	for i := 1; i <= 3; i++ {
		gr.start(i, bootstrap)
	}
	gr.awaitVoters(1, 2, 3)
}

// Guards against log entries that a voter of an old build ignores: its state would differ, and it
// would forget the evacuation as the leader.
func TestEvacuationRefusedWhileAVoterIsOfAnOldBuild(t *testing.T) {
	gr := newGroup(t)
	gr.startThree(true)
	gr.g.Expect(gr.evacuate(1, "a", false)).To(Equal(uint64(1)))
	gr.stop(3)
	gr.stateAsOldBuild(3)
	for _, i := range []int{1, 2} {
		gr.g.Eventually(func() error {
			_, err := gr.members[i].node.Evacuate(context.Background(), "b", false)
			return err
		}, eventuallyTimeout).Should(MatchError(controlnode.ErrOldVoters))
	}
	gr.start(3, false)
	gr.g.Expect(gr.evacuate(2, "b", false)).To(Equal(uint64(2)))
}

// Guards against evacuations that cannot be changed because a voter is down which the leader, a new
// process, has never heard: the log says that it understands them.
func TestEvacuationEndsWhileAVoterIsDown(t *testing.T) {
	gr := newGroup(t)
	gr.startThree(true)
	gr.g.Expect(gr.evacuate(1, "a", false)).To(Equal(uint64(1)))
	for i := 1; i <= 3; i++ {
		gr.stop(i)
	}
	gr.start(1, false)
	gr.start(2, false)
	gr.g.Expect(gr.evacuate(1, "a", true)).To(Equal(uint64(2)))
	gr.start(3, false)
	gr.g.Eventually(func() *fleetstate.Evacuations {
		e := *gr.members[3].node.Evacuations()
		e.Voters = nil
		return &e
	}, eventuallyTimeout).Should(Equal(&fleetstate.Evacuations{Revision: 2, Zones: []string{}}))
}

// Guards against a group that proposes an entry that a voter may not understand, as nothing is
// known of it.
func TestFirstEvacuationAwaitsTheStatementsOfAllVoters(t *testing.T) {
	gr := newGroup(t)
	gr.startThree(true)
	for i := 1; i <= 3; i++ {
		gr.stop(i)
	}
	gr.start(1, false)
	gr.start(2, false)
	gr.put(1, 1, "one")
	for range 3 {
		gr.g.Eventually(func() error {
			_, err := gr.members[1].node.Evacuate(context.Background(), "a", false)
			return err
		}, eventuallyTimeout).Should(MatchError(controlnode.ErrOldVoters))
	}
	gr.start(3, false)
	gr.g.Expect(gr.evacuate(1, "a", false)).To(Equal(uint64(1)))
}

// Guards against acknowledgements by a minority, and against evacuations that do not reach control
// hosts which lost their disks.
func TestEvacuationNeedsAQuorumAndSurvivesLostDisks(t *testing.T) {
	gr := newGroup(t)
	gr.startThree(true)
	gr.g.Expect(gr.evacuate(1, "a", false)).To(Equal(uint64(1)))
	gr.stop(2)
	gr.stop(3)
	_, err := gr.members[1].node.Evacuate(context.Background(), "b", false)
	gr.g.Expect(err).To(MatchError(controlnode.ErrUnavailable))
	gr.start(2, false)
	gr.put(1, 1, "one") // host 2 may be the leader
	gr.g.Expect(os.RemoveAll(gr.directory(3))).To(Succeed())
	gr.start(3, false)
	gr.awaitVoters(1, 2, 3)
	for i := 2; i <= 3; i++ {
		gr.g.Eventually(func() []string { return gr.members[i].node.Evacuations().Zones }, eventuallyTimeout).Should(ContainElement("a"), "control host %d", i)
	}
	gr.g.Expect(gr.evacuate(3, "a", true)).To(BeNumerically(">=", 2))
	_, err = gr.members[1].node.Evacuate(context.Background(), "a/b", false)
	gr.g.Expect(err).To(MatchError(controlnode.ErrInvalidZone))
}
