package controlnode

import (
	"context"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlgroup"
	"github.com/godwitbend/godwitbend/internal/fake/disk"
	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/wal"
)

// fullForIdentityFS is a disk that has no room for an identity. It counts the open files of the log.
type fullForIdentityFS struct {
	*disk.Disk
	openLogs int
}

func (f *fullForIdentityFS) Create(name string) (wal.File, error) {
	if strings.HasPrefix(filepath.Base(name), identityFile) {
		return nil, syscall.ENOSPC
	}
	return f.count(f.Disk.Create(name))
}

func (f *fullForIdentityFS) OpenAppend(name string) (wal.File, error) {
	return f.count(f.Disk.OpenAppend(name))
}

func (f *fullForIdentityFS) count(file wal.File, err error) (wal.File, error) {
	if err == nil {
		f.openLogs++
	}
	return &countedFile{file, f}, err
}

type countedFile struct {
	wal.File
	fs *fullForIdentityFS
}

func (c *countedFile) Close() error {
	c.fs.openLogs--
	return c.File.Close()
}

// Guards against two replicas of one disk, after the first start failed for lack of room.
func TestReplicaWhoseIdentityIsNotSavedIsStopped(t *testing.T) {
	g := NewWithT(t)
	files := &fullForIdentityFS{Disk: disk.New()}
	n := New(Options{Address: "10.0.0.1:7040", Directory: "data", FS: files, Seeds: func() []string { return nil }})
	n.transport = controlgroup.NewTransport(context.Background(), n.rpc, n.address)
	id := &identity{ReplicaID: 1, Founders: []replication.Peer{{ID: 1, Address: n.options.Address}}}
	_, err := n.startReplica(id)
	g.Expect(err).To(MatchError(syscall.ENOSPC))
	g.Expect(temporaryDiskError(err)).To(BeTrue())
	g.Expect(files.openLogs).To(BeZero())
}

// Guards against a host that is admitted anew at each attempt while its disk has no room for its identity.
func TestHostWithAFullDiskIsAdmittedOnce(t *testing.T) {
	g := NewWithT(t)
	files := &fullForIdentityFS{Disk: disk.New()}
	n := New(Options{Address: "10.0.0.1:7040", Directory: "data", FS: files, Seeds: func() []string { return nil }})
	n.admitted = &identity{ReplicaID: 7}
	_, err := n.loadOrCreateIdentity(t.Context())
	g.Expect(err).To(MatchError(syscall.ENOSPC))
	n.options.FS = files.Disk
	id, err := n.loadOrCreateIdentity(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(id.ReplicaID).To(BeEquivalentTo(7))
	g.Expect(n.admitted).To(BeNil())
}
