package controlnode

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/fake/disk"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/replica"
	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/wal"
)

// interruptedFS fails all changes of names after the first ones.
type interruptedFS struct {
	wal.FS
	left int
}

var errInterrupted = eris.New("interrupted")

func (f *interruptedFS) step() error {
	f.left--
	if f.left < 0 {
		return errInterrupted
	}
	return nil
}

func (f *interruptedFS) Create(name string) (wal.File, error) {
	if err := f.step(); err != nil {
		return nil, err
	}
	return f.FS.Create(name)
}

func (f *interruptedFS) Rename(from, to string) error {
	if err := f.step(); err != nil {
		return err
	}
	return f.FS.Rename(from, to)
}

func (f *interruptedFS) Remove(name string) error {
	if err := f.step(); err != nil {
		return err
	}
	return f.FS.Remove(name)
}

func (f *interruptedFS) SyncDir(dir string) error {
	if err := f.step(); err != nil {
		return err
	}
	return f.FS.SyncDir(dir)
}

type noTransport struct{}

func (noTransport) Send(uint64, []replication.Message) {}

// startSingle starts the replica of a group of one.
func startSingle(files wal.FS, id *identity) (*replica.Replica, error) {
	return replica.Start(replica.Options{
		ID: id.ReplicaID, Peers: id.Founders, Bootstrap: len(id.Founders) > 0, Directory: "data", FS: files, Machine: fleetstate.New(),
		Transport: noTransport{}, TickInterval: tickInterval, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
	})
}

// Guards against a host that starts a replica from the rest of its files after its removal was interrupted.
func TestPowerLossWhileAReplicaIsRemovedLeavesAllOfItOrNone(t *testing.T) {
	g := NewWithT(t)
	for steps, completed := 0, false; !completed; steps++ {
		files := disk.New()
		id := &identity{ReplicaID: 1, Founders: []replication.Peer{{ID: 1, Address: "10.0.0.1:7040"}}}
		r, err := startSingle(files, id)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Stop()).To(Succeed())
		g.Expect((&identity{ReplicaID: 1}).save(files, "data")).To(Succeed())

		err = id.removeReplica(&interruptedFS{FS: files, left: steps}, "data")
		completed = err == nil
		files.Crash(nil)
		kept, err := loadIdentity(files, "data")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(kept).NotTo(BeNil(), "after %d steps the host would found a group", steps)
		if !kept.Removed {
			r, err := startSingle(files, kept)
			g.Expect(err).NotTo(HaveOccurred(), "after %d steps", steps)
			g.Expect(r.Stop()).To(Succeed())
			continue
		}
		g.Expect(kept.removeReplica(files, "data")).To(Succeed())
		g.Expect(append(files.Files("data/log"), files.Files("data/snapshots")...)).To(BeEmpty())
	}
}
