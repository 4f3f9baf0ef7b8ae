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
// run into disk errors and are cut off.
type chaos struct {
	*group
	random  *rand.Rand
	mu      sync.Mutex
	acked   []string
	refused []string // reported as without effect
	next    int
	wg      sync.WaitGroup
}

func (c *chaos) proposeAnywhere() {
	ids := []uint64{1, 2, 3}
	c.group.mu.Lock()
	target := c.replicas[ids[c.random.IntN(len(ids))]]
	c.group.mu.Unlock()
	if target == nil {
		return
	}
	c.next++
	command := fmt.Sprintf("command %d", c.next)
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

// crash fails the syncs of a replica for a while, so that its last batches are
// written but not synced, and then loses a part of them.
func (c *chaos) crash(id uint64) {
	if c.random.IntN(2) == 0 {
		c.disks[id].FailSync(syscall.EIO)
		for range 5 {
			c.proposeAnywhere()
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
		c.proposeAnywhere()
	case action < 75:
		c.crash(id)
	case action < 85:
		c.restartAll()
	case action < 88:
		c.setCut(id, true)
	case action < 94:
		c.healAll()
	}
	time.Sleep(time.Duration(c.random.IntN(5)) * testTick)
}

func (c *chaos) restartAll() {
	for id := range uint64(3) {
		if c.replicas[id+1] == nil {
			c.start(id+1, nil, false)
		}
	}
}

func (c *chaos) healAll() {
	for id := range uint64(3) {
		c.setCut(id+1, false)
	}
}

func TestAnswersStayTrueThroughCrashes(t *testing.T) {
	var acked, refused int
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			c := &chaos{group: newGroup(t, 3, Options{SnapshotEntries: 15, SegmentBytes: 1024})}
			c.random = rand.New(rand.NewPCG(seed, 1))
			defer c.stopAll()
			for range 300 {
				c.step()
			}
			c.healAll()
			c.restartAll()
			c.wg.Wait()
			c.checkAnswers(seed)
			acked += len(c.acked)
			refused += len(c.refused)
		})
	}
	t.Logf("%d commands acknowledged, %d refused", acked, refused)
}

// checkAnswers compares the answers with the state of every replica.
func (c *chaos) checkAnswers(seed uint64) {
	c.propose(c.leader(), "last")
	final := c.machines[c.leader().Status().ID].Commands
	for id := range c.replicas {
		c.caughtUp(id, final...)
		c.g.Expect(c.machines[id].Commands).To(Equal(final), "seed %d, replica %d", seed, id)
	}
	times := map[string]int{}
	for _, command := range final {
		times[command]++
	}
	for _, command := range c.acked {
		c.g.Expect(times[command]).To(Equal(1), "seed %d: acknowledged %s", seed, command)
	}
	for _, command := range c.refused {
		c.g.Expect(times[command]).To(BeZero(), "seed %d: refused %s", seed, command)
	}
}
