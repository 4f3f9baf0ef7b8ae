package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// chaos proposes commands to a group while replicas crash, lose unsynced data,
// suffer disk errors and are partitioned from the others.
type chaos struct {
	*testGroup
	random   *rand.Rand
	mu       sync.Mutex
	acked    []string
	refused  []string // failed with an error that means no effect
	proposed int
	wg       sync.WaitGroup
}

func (c *chaos) proposeToRandomReplica() {
	ids := []uint64{1, 2, 3}
	c.testGroup.mu.Lock()
	target := c.replicas[ids[c.random.IntN(len(ids))]]
	c.testGroup.mu.Unlock()
	if target == nil {
		return
	}
	c.proposed++
	command := fmt.Sprintf("command %d", c.proposed)
	c.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := target.Propose(ctx, []byte(command))
		c.record(command, err)
	})
}

func (c *chaos) record(command string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var notLeader *NotLeaderError
	var storage *StorageError
	switch {
	case err == nil:
		c.acked = append(c.acked, command)
	case errors.As(err, &notLeader) || errors.As(err, &storage) || errors.Is(err, ErrStopped):
		c.refused = append(c.refused, command)
	}
}

// crash stops a replica and discards a random part of its unsynced data. In half of
// the cases it first makes syncs fail, so that the last batches are written but not
// synced.
func (c *chaos) crash(id uint64) {
	if c.random.IntN(2) == 0 {
		c.disks[id].FailSync(syscall.EIO)
		for range 5 {
			c.proposeToRandomReplica()
		}
		time.Sleep(testTick)
	}
	c.stop(id)
	c.disks[id].Crash(func(_ string, length int) int { return c.random.IntN(length + 1) })
	c.disks[id].FailSync(nil)
}

func (c *chaos) step() {
	id := 1 + c.random.Uint64N(3)
	switch action := c.random.IntN(100); {
	case action < 70:
		c.proposeToRandomReplica()
	case action < 75:
		c.crash(id)
	case action < 85:
		c.restartStopped()
	case action < 88:
		c.setPartitioned(id, true)
	case action < 94:
		c.healPartitions()
	}
	time.Sleep(time.Duration(c.random.IntN(5)) * testTick)
}

func (c *chaos) restartStopped() {
	for id := range uint64(3) {
		if c.replicas[id+1] == nil {
			c.start(id+1, nil, false)
		}
	}
}

func (c *chaos) healPartitions() {
	for id := range uint64(3) {
		c.setPartitioned(id+1, false)
	}
}

func TestOutcomesHoldAcrossCrashes(t *testing.T) {
	var acked, refused int
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			c := &chaos{testGroup: newGroup(t, 3, Options{SnapshotEntries: 15, SegmentBytes: 1024})}
			c.random = rand.New(rand.NewPCG(seed, 1))
			defer c.stopAll()
			for range 300 {
				c.step()
			}
			c.healPartitions()
			c.restartStopped()
			c.wg.Wait()
			c.checkOutcomes(seed)
			acked += len(c.acked)
			refused += len(c.refused)
		})
	}
	t.Logf("%d commands acknowledged, %d refused", acked, refused)
}

// checkOutcomes checks that all replicas have the same state, that it contains every
// acknowledged command once, and that it contains no refused command.
func (c *chaos) checkOutcomes(seed uint64) {
	c.propose(c.waitForLeader(), "last")
	final := c.machines[c.waitForLeader().Status().ID].Commands
	for id := range c.replicas {
		c.waitForCommands(id, final...)
		c.g.Expect(c.machines[id].Commands).To(Equal(final), "seed %d, replica %d", seed, id)
	}
	occurrences := map[string]int{}
	for _, command := range final {
		occurrences[command]++
	}
	for _, command := range c.acked {
		c.g.Expect(occurrences[command]).To(Equal(1), "seed %d: acknowledged %s", seed, command)
	}
	for _, command := range c.refused {
		c.g.Expect(occurrences[command]).To(BeZero(), "seed %d: refused %s", seed, command)
	}
}
