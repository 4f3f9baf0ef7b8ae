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
	testTick     = 10 * time.Millisecond
	testElection = 10 // ticks
)

// list is a state machine that keeps its commands in order.
type list struct {
	Commands []string `cbor:"1,keyasint"`
}

func (l *list) Apply(_ uint64, command []byte) any {
	l.Commands = append(l.Commands, string(command))
	return len(l.Commands)
}
func (l *list) Snapshot() ([]byte, error) { return codec.Marshal(l) }
func (l *list) Restore(data []byte) error {
	*l = list{}
	return codec.Unmarshal(data, l)
}

// group is a set of replicas on an in-memory network.
type group struct {
	t        *testing.T
	g        *WithT
	mu       sync.Mutex
	replicas map[uint64]*Replica
	machines map[uint64]*list
	disks    map[uint64]*disk.Disk
	cut      map[uint64]bool
	options  Options
}

func newGroup(t *testing.T, size int, o Options) *group {
	gr := &group{
		t: t, g: NewWithT(t), replicas: map[uint64]*Replica{}, machines: map[uint64]*list{},
		disks: map[uint64]*disk.Disk{}, cut: map[uint64]bool{}, options: o,
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

// link is the network end of one replica.
type link struct {
	gr   *group
	from uint64
}

func (l link) Send(to uint64, msgs []replication.Message) {
	l.gr.mu.Lock()
	target := l.gr.replicas[to]
	broken := l.gr.cut[to] || l.gr.cut[l.from]
	l.gr.mu.Unlock()
	if target != nil && !broken {
		target.Deliver(msgs)
	}
}

func (gr *group) open(id uint64, peers []replication.Peer, bootstrap bool) (*Replica, error) {
	o := gr.options
	o.ID, o.Peers, o.Bootstrap = id, peers, bootstrap
	o.Directory = filepath.Join("/", "data")
	o.TickInterval, o.ElectionTicks, o.HeartbeatTicks = testTick, testElection, 2
	if o.FS == nil {
		o.FS = gr.disks[id]
	}
	gr.machines[id] = &list{}
	o.Machine, o.Transport = gr.machines[id], link{gr, id}
	return Start(o)
}

func (gr *group) start(id uint64, peers []replication.Peer, bootstrap bool) {
	r, err := gr.open(id, peers, bootstrap)
	gr.g.Expect(err).NotTo(HaveOccurred())
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.replicas[id] = r
}

func (gr *group) stop(id uint64) {
	gr.mu.Lock()
	r := gr.replicas[id]
	delete(gr.replicas, id)
	gr.mu.Unlock()
	if r != nil {
		_ = r.Stop()
	}
}

func (gr *group) stopAll() {
	for id := range gr.disks {
		gr.stop(id)
	}
}

func (gr *group) setCut(id uint64, cut bool) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.cut[id] = cut
}

// until lets virtual time pass until the condition holds.
func (gr *group) until(what string, condition func() bool) {
	gr.t.Helper()
	for range 10_000 {
		synctest.Wait()
		if condition() {
			return
		}
		time.Sleep(testTick)
	}
	gr.t.Fatalf("never came: %s", what)
}

// leader waits for a leader that is not cut off and can serve.
func (gr *group) leader() *Replica {
	gr.t.Helper()
	var found *Replica
	gr.until("a leader", func() bool {
		for id, r := range gr.replicas {
			ctx, cancel := context.WithTimeout(context.Background(), testTick)
			_, err := r.Barrier(ctx)
			cancel()
			if err == nil && !gr.cut[id] {
				found = r
				return true
			}
		}
		return false
	})
	return found
}

func (gr *group) propose(r *Replica, command string) {
	gr.t.Helper()
	_, err := r.Propose(context.Background(), []byte(command))
	gr.g.Expect(err).NotTo(HaveOccurred())
}

func (gr *group) caughtUp(id uint64, commands ...string) {
	gr.t.Helper()
	gr.until("commands on the replica", func() bool {
		var have []string
		err := gr.replicas[id].Inspect(context.Background(), func() { have = append(have, gr.machines[id].Commands...) })
		return err == nil && len(have) == len(commands) && (len(have) == 0 || have[len(have)-1] == commands[len(commands)-1])
	})
}
