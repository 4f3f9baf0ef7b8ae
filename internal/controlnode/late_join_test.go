package controlnode_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
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
