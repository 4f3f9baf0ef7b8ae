package replica

import (
	"context"
	"fmt"
	"sync"
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

func TestOversizedCommandIsRefused(t *testing.T) {
	inGroup(t, 1, Options{}, func(gr *group) {
		leader := gr.leader()
		_, err := leader.Propose(context.Background(), make([]byte, MaxCommandBytes+1))
		gr.g.Expect(err).To(Equal(ErrCommandTooLarge))
		gr.propose(leader, string(make([]byte, MaxCommandBytes)))
	})
}

// TestProposalsDuringASyncShareTheNext holds the leader's disk. The followers
// have the first command meanwhile, and one more sync covers all the others.
func TestProposalsDuringASyncShareTheNext(t *testing.T) {
	inGroup(t, 3, Options{}, func(gr *group) {
		leader := gr.leader()
		synctest.Wait()
		before := map[uint64]uint64{}
		for id, r := range gr.replicas {
			before[id] = r.Status().Syncs
		}
		id := leader.Status().ID
		release := sync.OnceFunc(gr.disks[id].HoldSync())
		defer release()
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() { gr.propose(leader, fmt.Sprint(i)) })
			synctest.Wait()
		}
		for other, r := range gr.replicas {
			if other != id {
				gr.g.Expect(r.Status().Syncs).To(Equal(before[other]+1), "the append overlaps the leader's sync")
			}
		}
		release()
		wg.Wait()
		gr.g.Expect(leader.Status().Syncs).To(Equal(before[id] + 2))
	})
}
