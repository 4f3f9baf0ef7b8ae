package replica

import (
	"context"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/fake/disk"
	"github.com/godwitbend/godwitbend/internal/replication"
)

const (
	testTick          = 10 * time.Millisecond
	testElectionTicks = 10
)

// listMachine is a state machine that records the commands it applies, in order.
type listMachine struct {
	Commands []string `cbor:"1,keyasint"`
}

func (l *listMachine) Apply(_ uint64, command []byte) any {
	l.Commands = append(l.Commands, string(command))
	return len(l.Commands)
}
func (l *listMachine) Snapshot() ([]byte, error) { return codec.Marshal(l) }
func (l *listMachine) Restore(data []byte) error {
	*l = listMachine{}
	return codec.Unmarshal(data, l)
}

// testGroup is a group of replicas with in-memory disks and an in-memory network.
type testGroup struct {
	t           *testing.T
	g           *WithT
	mu          sync.Mutex
	replicas    map[uint64]*Replica
	machines    map[uint64]*listMachine
	disks       map[uint64]*disk.Disk
	partitioned map[uint64]bool
	options     Options
}

func newGroup(t *testing.T, size int, o Options) *testGroup {
	gr := &testGroup{
		t: t, g: NewWithT(t), replicas: map[uint64]*Replica{}, machines: map[uint64]*listMachine{},
		disks: map[uint64]*disk.Disk{}, partitioned: map[uint64]bool{}, options: o,
	}
	var peers []replication.Peer
	for id := uint64(1); id <= uint64(size); id++ {
		peers = append(peers, replication.Peer{ID: id})
	}
	for _, p := range peers {
		gr.disks[p.ID] = disk.New()
		gr.start(p.ID, peers, true)
	}
	return gr
}

// testTransport is the transport of one replica of a testGroup.
type testTransport struct {
	gr   *testGroup
	from uint64
}

func (t testTransport) Send(to uint64, msgs []replication.Message) {
	t.gr.mu.Lock()
	target := t.gr.replicas[to]
	partitioned := t.gr.partitioned[to] || t.gr.partitioned[t.from]
	t.gr.mu.Unlock()
	if target != nil && !partitioned {
		target.Deliver(msgs)
	}
}

func (gr *testGroup) open(id uint64, peers []replication.Peer, bootstrap bool) (*Replica, error) {
	o := gr.options
	o.ID, o.Peers, o.Bootstrap = id, peers, bootstrap
	o.Directory = filepath.Join("/", "data")
	o.TickInterval, o.ElectionTicks, o.HeartbeatTicks = testTick, testElectionTicks, 2
	if o.FS == nil {
		o.FS = gr.disks[id]
	}
	gr.machines[id] = &listMachine{}
	o.Machine, o.Transport = gr.machines[id], testTransport{gr, id}
	return Start(o)
}

func (gr *testGroup) start(id uint64, peers []replication.Peer, bootstrap bool) {
	r, err := gr.open(id, peers, bootstrap)
	gr.g.Expect(err).NotTo(HaveOccurred())
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.replicas[id] = r
}

func (gr *testGroup) stop(id uint64) {
	gr.mu.Lock()
	r := gr.replicas[id]
	delete(gr.replicas, id)
	gr.mu.Unlock()
	if r != nil {
		_ = r.Stop()
	}
}

func (gr *testGroup) stopAll() {
	for id := range gr.disks {
		gr.stop(id)
	}
}

func (gr *testGroup) setPartitioned(id uint64, partitioned bool) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.partitioned[id] = partitioned
}

// waitUntil advances virtual time until the condition holds.
func (gr *testGroup) waitUntil(what string, condition func() bool) {
	gr.t.Helper()
	for range 10_000 {
		synctest.Wait()
		if condition() {
			return
		}
		time.Sleep(testTick)
	}
	gr.t.Fatalf("timed out waiting for: %s", what)
}

// waitForLeader waits until a replica that is not partitioned serves as leader.
func (gr *testGroup) waitForLeader() *Replica {
	gr.t.Helper()
	var found *Replica
	gr.waitUntil("a leader", func() bool {
		for id, r := range gr.replicas {
			ctx, cancel := context.WithTimeout(context.Background(), testTick)
			_, err := r.Barrier(ctx)
			cancel()
			if err == nil && !gr.partitioned[id] {
				found = r
				return true
			}
		}
		return false
	})
	return found
}

func (gr *testGroup) propose(r *Replica, command string) {
	gr.t.Helper()
	_, err := r.Propose(context.Background(), []byte(command))
	gr.g.Expect(err).NotTo(HaveOccurred())
}

func (gr *testGroup) waitForCommands(id uint64, commands ...string) {
	gr.t.Helper()
	gr.waitUntil("commands applied on the replica", func() bool {
		var received []string
		err := gr.replicas[id].LocalRead(context.Background(), func() { received = append(received, gr.machines[id].Commands...) })
		return err == nil && len(received) == len(commands) && (len(received) == 0 || received[len(received)-1] == commands[len(commands)-1])
	})
}
