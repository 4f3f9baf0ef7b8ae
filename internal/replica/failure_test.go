package replica

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/fake/disk"
	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/snapshot"
	"github.com/godwitbend/godwitbend/internal/wal"
)

// proposeMany proposes count commands and returns them.
func (gr *testGroup) proposeMany(r *Replica, count int) []string {
	var commands []string
	for i := range count {
		commands = append(commands, fmt.Sprintf("command %d", i))
		gr.propose(r, commands[i])
	}
	return commands
}

// follower returns the ID of a replica other than the leader in a group of three.
func (gr *testGroup) follower(leader *Replica) uint64 {
	return leader.Status().ID%3 + 1
}

func (gr *testGroup) findFile(id uint64, part string) string {
	var found string
	for _, name := range gr.disks[id].Files("/data") {
		if strings.Contains(name, part) {
			found = name
		}
	}
	return found
}

func withGroup(t *testing.T, size int, o Options, run func(gr *testGroup)) {
	synctest.Test(t, func(t *testing.T) {
		gr := newGroup(t, size, o)
		defer gr.stopAll()
		run(gr)
	})
}

func TestRestartedReplicaCatchesUpBySnapshot(t *testing.T) {
	withGroup(t, 3, Options{SnapshotEntries: 20}, func(gr *testGroup) {
		leader := gr.waitForLeader()
		lagging := gr.follower(leader)
		gr.stop(lagging)
		commands := gr.proposeMany(leader, 500)
		gr.start(lagging, nil, false)
		gr.waitForCommands(lagging, commands...)
		gr.g.Expect(gr.replicas[lagging].Status().Snapshot).To(BeNumerically(">", 400))
		gr.stop(lagging)
		gr.disks[lagging].Crash(nil)
		gr.start(lagging, nil, false)
		gr.waitForCommands(lagging, commands...)
	})
}

func TestLargeSnapshotIsSentInChunks(t *testing.T) {
	withGroup(t, 3, Options{SnapshotEntries: 10}, func(gr *testGroup) {
		leader := gr.waitForLeader()
		lagging := gr.follower(leader)
		gr.stop(lagging)
		large := strings.Repeat("x", 100<<10)
		var commands []string
		for i := range 40 {
			commands = append(commands, fmt.Sprint(large, i))
			gr.propose(leader, commands[i])
		}
		gr.start(lagging, nil, false)
		gr.waitForCommands(lagging, commands...)
	})
}

// TestDiskErrorTakesReplicaOutOfService fills the leader's disk, or makes its syncs
// fail: it must acknowledge nothing, and the other replicas must elect a new leader.
func TestDiskErrorTakesReplicaOutOfService(t *testing.T) {
	for name, fault := range map[string]func(d *disk.Disk){
		"full": func(d *disk.Disk) { d.SetFreeBytes(0) },
		"sync": func(d *disk.Disk) { d.FailSync(syscall.EIO) },
	} {
		t.Run(name, func(t *testing.T) {
			withGroup(t, 3, Options{}, func(gr *testGroup) {
				failed := gr.waitForLeader()
				id := failed.Status().ID
				fault(gr.disks[id])
				_, err := failed.Propose(context.Background(), []byte("a"))
				gr.g.Expect(err).To(Equal(ErrOutcomeUnknown))
				_, err = failed.Propose(context.Background(), []byte("b"))
				var storage *StorageError
				gr.g.Expect(errors.As(err, &storage)).To(BeTrue())
				_, err = failed.Barrier(context.Background())
				gr.g.Expect(errors.As(err, &storage)).To(BeTrue())
				gr.waitUntil("status reports the failure", func() bool { return failed.Status().Failure != nil })
				next := gr.waitForLeader()
				gr.g.Expect(next.Status().ID).NotTo(Equal(id))
				gr.propose(next, "c")
			})
		})
	}
}

func TestCorruptLogPreventsStart(t *testing.T) {
	withGroup(t, 3, Options{}, func(gr *testGroup) {
		gr.proposeMany(gr.waitForLeader(), 20)
		gr.stop(1)
		gr.corrupt(1, gr.findFile(1, ".wal"))
		_, err := gr.open(1, nil, false)
		gr.g.Expect(errors.Is(err, wal.ErrCorrupt)).To(BeTrue())
	})
}

// TestTornTailIsReplicatedAgain truncates the last batch in the log of one replica.
// The other two replicas hold it, so the replica must receive it again.
func TestTornTailIsReplicatedAgain(t *testing.T) {
	withGroup(t, 3, Options{}, func(gr *testGroup) {
		commands := gr.proposeMany(gr.waitForLeader(), 20)
		for id := range gr.disks {
			gr.waitForCommands(id, commands...)
		}
		gr.stopAll()
		gr.disks[1].ReplaceContent(gr.findFile(1, ".wal"), func(data []byte) []byte { return data[:len(data)-3] })
		for id := range gr.disks {
			gr.start(id, nil, false)
		}
		gr.waitForCommands(1, commands...)
	})
}

// corrupt flips a bit in the named files of a stopped replica.
func (gr *testGroup) corrupt(id uint64, names ...string) {
	for _, name := range names {
		gr.disks[id].ReplaceContent(name, func(data []byte) []byte {
			data[len(data)/2] ^= 1
			return data
		})
	}
}

func TestCorruptSnapshotFallsBackToPrevious(t *testing.T) {
	withGroup(t, 3, Options{SnapshotEntries: 20, SegmentBytes: 256}, func(gr *testGroup) {
		commands := gr.proposeMany(gr.waitForLeader(), 70)
		gr.waitForCommands(1, commands...)
		gr.stop(1)
		gr.corrupt(1, gr.findFile(1, ".snapshot"))
		gr.start(1, nil, false)
		gr.waitForCommands(1, commands...)
	})
}

func TestStartFailsWithoutIntactSnapshot(t *testing.T) {
	withGroup(t, 3, Options{SnapshotEntries: 20}, func(gr *testGroup) {
		gr.proposeMany(gr.waitForLeader(), 70)
		gr.stop(1)
		gr.corrupt(1, gr.disks[1].Files("/data/snapshots")...)
		_, err := gr.open(1, nil, false)
		gr.g.Expect(errors.Is(err, snapshot.ErrCorrupt)).To(BeTrue())
	})
}

func TestStartFailsWithMissingLogOrSnapshots(t *testing.T) {
	for _, part := range []string{"/data/log", "/data/snapshots"} {
		withGroup(t, 1, Options{SnapshotEntries: 20}, func(gr *testGroup) {
			gr.proposeMany(gr.waitForLeader(), 70)
			gr.stop(1)
			for _, name := range gr.disks[1].Files(part) {
				gr.g.Expect(gr.disks[1].Remove(name)).To(Succeed())
			}
			_, err := gr.open(1, nil, false)
			gr.g.Expect(err).To(MatchError(ContainSubstring("is missing")))
		})
	}
}

// TestLostDiskRequiresNewID loses the disk of one replica, replaces it by a replica
// with a new ID and then stops the leader.
func TestLostDiskRequiresNewID(t *testing.T) {
	withGroup(t, 3, Options{SnapshotEntries: 20}, func(gr *testGroup) {
		ctx := context.Background()
		leader := gr.waitForLeader()
		commands := gr.proposeMany(leader, 50)
		lost := gr.follower(leader)
		gr.stop(lost)
		gr.disks[lost] = disk.New()
		_, err := gr.open(lost, leader.options.Peers, false)
		gr.g.Expect(err).To(MatchError(ContainSubstring("new id")))

		// Joining under the old ID must fail as well.
		gr.start(lost, nil, false)
		gr.waitUntil("replica with the old ID fails", func() bool {
			return errors.Is(gr.replicas[lost].Status().Failure, replication.ErrIdentityLost)
		})
		gr.waitUntil("leader reports no tolerated failures", func() bool { return leader.Status().CanLose == 0 })
		gr.stop(lost)

		gr.g.Expect(leader.AddReplica(ctx, replication.Peer{ID: lost})).To(Equal(replication.ErrIDUsed))
		gr.g.Expect(leader.AddReplica(ctx, replication.Peer{ID: 4})).To(Succeed())
		gr.disks[4] = disk.New()
		gr.start(4, nil, false)
		gr.g.Expect(leader.PromoteReplica(ctx, 4)).To(Succeed())
		gr.g.Expect(leader.RemoveReplica(ctx, lost)).To(Succeed())
		gr.waitUntil("leader reports one tolerated failure", func() bool { return leader.Status().CanLose == 1 })

		gr.stop(leader.Status().ID)
		gr.propose(gr.waitForLeader(), "last")
		gr.waitForCommands(4, append(commands, "last")...)
	})
}

func TestPromotionWaitsForLearner(t *testing.T) {
	withGroup(t, 3, Options{}, func(gr *testGroup) {
		leader := gr.waitForLeader()
		gr.g.Expect(leader.AddReplica(context.Background(), replication.Peer{ID: 4})).To(Succeed())
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		gr.g.Expect(leader.PromoteReplica(ctx, 4)).To(HaveOccurred())
		gr.g.Expect(leader.PromoteReplica(context.Background(), 9)).To(Equal(replication.ErrUnknownPeer))
	})
}

func TestTransferLeadership(t *testing.T) {
	withGroup(t, 3, Options{}, func(gr *testGroup) {
		old := gr.waitForLeader()
		gr.propose(old, "a")
		gr.g.Expect(old.TransferLeadership(context.Background(), 0)).To(Succeed())
		gr.waitUntil("another leader", func() bool {
			s := old.Status()
			return s.Leader != s.ID && s.Leader != 0
		})
		gr.propose(gr.waitForLeader(), "b")
	})
}

// TestPartitionedLeaderServesNothing partitions the leader from the others: it must
// neither acknowledge proposals nor serve reads.
func TestPartitionedLeaderServesNothing(t *testing.T) {
	withGroup(t, 3, Options{}, func(gr *testGroup) {
		old := gr.waitForLeader()
		id := old.Status().ID
		gr.setPartitioned(id, true)
		_, err := old.Propose(context.Background(), []byte("lost?"))
		gr.g.Expect(err).To(Equal(ErrOutcomeUnknown))
		ran := false
		var notLeader *NotLeaderError
		err = old.Read(context.Background(), func() { ran = true })
		gr.g.Expect(errors.As(err, &notLeader)).To(BeTrue())
		gr.g.Expect(ran).To(BeFalse())
		next := gr.waitForLeader()
		gr.propose(next, "a")
		gr.setPartitioned(id, false)
		gr.waitForCommands(id, "a")
		gr.g.Expect(gr.waitForLeader()).To(Equal(next), "the replica that rejoins must not depose the leader")
	})
}

// TestPausedLeaderServesNoStaleReads blocks the leader in a sync for a minute, during
// which another leader is elected. When it resumes, it must fail the requests it
// accepted before.
func TestPausedLeaderServesNoStaleReads(t *testing.T) {
	withGroup(t, 3, Options{}, func(gr *testGroup) {
		ctx := context.Background()
		old := gr.waitForLeader()
		id := old.Status().ID
		resume := sync.OnceFunc(gr.disks[id].BlockSync())
		defer resume()
		errs := make(chan error, 3)
		stale := false
		go func() {
			_, err := old.Propose(ctx, []byte("before"))
			errs <- err
		}()
		synctest.Wait()
		go func() { errs <- old.Read(ctx, func() { stale = true }) }()
		go func() {
			_, err := old.Propose(ctx, []byte("frozen"))
			errs <- err
		}()
		time.Sleep(time.Minute)
		var next *Replica
		for other, r := range gr.replicas {
			if other != id && r.Status().Role == replication.Leader {
				next = r
			}
		}
		gr.propose(next, "after")
		resume()
		for range 3 {
			gr.g.Expect(<-errs).To(HaveOccurred())
		}
		gr.g.Expect(stale).To(BeFalse())
		gr.waitForCommands(id, "before", "after")
		gr.g.Expect(gr.waitForLeader()).To(Equal(next))
	})
}

func TestOnLeadershipCalledAfterFirstEntry(t *testing.T) {
	var notifications []string
	o := Options{OnLeadership: func(leader bool, term uint64) { notifications = append(notifications, fmt.Sprint(leader, term)) }}
	withGroup(t, 1, o, func(gr *testGroup) {
		gr.propose(gr.waitForLeader(), "a")
		gr.g.Expect(notifications).To(Equal([]string{"true 2"}))
	})
}

func TestStopFailsPendingRequests(t *testing.T) {
	withGroup(t, 3, Options{}, func(gr *testGroup) {
		leader := gr.waitForLeader()
		id := leader.Status().ID
		gr.setPartitioned(id, true)
		result := make(chan error, 1)
		go func() {
			_, err := leader.Propose(context.Background(), []byte("a"))
			result <- err
		}()
		synctest.Wait()
		gr.stop(id)
		gr.g.Expect(<-result).To(Equal(ErrOutcomeUnknown))
		_, err := leader.Propose(context.Background(), []byte("b"))
		gr.g.Expect(err).To(Equal(ErrStopped))
	})
}
