package replica

import (
	"context"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
)

func TestGroupElectsReplicatesAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gr := newGroup(t, 3, Options{})
		defer gr.stopAll()
		leader := gr.leader()
		value, err := leader.Propose(context.Background(), []byte("a"))
		gr.g.Expect(err).NotTo(HaveOccurred())
		gr.g.Expect(value).To(Equal(1))
		for id := range gr.replicas {
			gr.caughtUp(id, "a")
		}
		gr.stopAll()
		for id := range gr.disks {
			gr.disks[id].Crash(nil)
			gr.start(id, nil, false)
		}
		gr.propose(gr.leader(), "b")
		for id := range gr.replicas {
			gr.caughtUp(id, "a", "b")
		}
	})
}

func TestSingleReplicaServesAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gr := newGroup(t, 1, Options{})
		defer gr.stopAll()
		gr.propose(gr.leader(), "a")
		gr.g.Expect(gr.machines[1].Commands).To(Equal([]string{"a"}))
	})
}

func TestFollowerNamesTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gr := newGroup(t, 3, Options{})
		defer gr.stopAll()
		leader := gr.leader()
		for _, r := range gr.replicas {
			if r == leader {
				continue
			}
			_, err := r.Propose(context.Background(), []byte("a"))
			gr.g.Expect(err).To(Equal(&NotLeaderError{Leader: leader.Status().ID}))
		}
	})
}
