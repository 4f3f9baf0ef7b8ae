package controlnode_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/rpc"
)

// replicaID returns the id of the replica that a host runs.
func (gr *group) replicaID(i int) uint64 {
	s, _ := gr.members[i].node.Status()
	return s.ID
}

// Guards against a request to join that is executed late, or once more, and removes the replica that joined meanwhile.
func TestLateJoinDoesNotRemoveALiveVoter(t *testing.T) {
	gr := newGroup(t)
	gr.startAll(true)
	gr.awaitVoters(1, 2, 3, 4, 5)
	gr.put(1, 1, "one")
	before := gr.replicaID(5)
	late := gr.requestReplicaIDOnce(5)
	gr.g.Consistently(func() int { return len(gr.voters()) }, 2*time.Second, "20ms").Should(Equal(5), "replica %d of a live host, late request: %d", before, late)
	gr.g.Expect(gr.replicaID(5)).To(Equal(before))
}

// Guards against the same at a leader that is too new to have heard from the replica.
func TestLateJoinAtANewLeaderDoesNotRemoveAVoterThatMayStillAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := newSimulatedFleet(ctx, 1, 5)
		f.startFounding()
		time.Sleep(5 * time.Second)
		voter := f.hosts[4]
		f.cutFrom(voter, f.others(voter))
		before := f.leader(nil)
		f.wg.Go(func() { f.losePower(before) })
		leader := f.leader(before)
		for ; leader == nil; leader = f.leader(before) {
			time.Sleep(5 * time.Millisecond)
		}
		client := rpc.NewClient(f.network.Node("client").DialHost)
		request := &controlnode.JoinRequest{Address: voter.address}
		_, _ = rpc.Call[controlnode.JoinRequest, controlnode.JoinReply](ctx, client, leader.address, controlnode.MethodJoin, request)
		voters := f.leaderVoters()[leader.name]
		_ = client.Close()
		f.stop(cancel)
		g.Expect(voters).To(HaveLen(5))
		g.Expect(voters).To(ContainElement(voter.address))
	})
}
