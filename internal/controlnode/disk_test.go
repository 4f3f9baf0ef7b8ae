package controlnode_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/fake/disk"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
)

// A control host whose disk is full keeps running, forwards changes and reads to the
// leader, and takes part again when the disk has room.
func TestControlHostOutlastsAFullDisk(t *testing.T) {
	gr := newGroup(t)
	full := disk.New()
	gr.startWithDisk(1, full)
	gr.start(2, true)
	gr.start(3, true)
	gr.putUntilAccepted(2, 1)
	running := func(i int) bool {
		_, running := gr.members[i].node.Status()
		return running
	}
	gr.g.Eventually(func() bool { return running(1) }, eventuallyTimeout).Should(BeTrue())

	full.SetFreeBytes(0)
	gr.putUntilAccepted(2, 2)
	gr.g.Eventually(func() bool { return running(1) }, eventuallyTimeout).Should(BeFalse())
	gr.putUntilAccepted(1, 3)
	gr.g.Eventually(func() uint64 {
		d, err := gr.members[1].node.NewestDocument(context.Background())
		if err != nil {
			return 0
		}
		return d.Version
	}, eventuallyTimeout).Should(Equal(uint64(3)), "a host without a replica reads from the leader")
	gr.g.Consistently(gr.members[1].done, time.Second).ShouldNot(Receive(), "the process does not exit")

	full.SetFreeBytes(-1)
	gr.g.Eventually(func() bool { return running(1) }, eventuallyTimeout).Should(BeTrue())
	gr.g.Eventually(func() bool {
		s, _ := gr.members[1].node.Status()
		leader, _ := gr.members[2].node.Status()
		return s.Applied >= leader.Commit
	}, eventuallyTimeout).Should(BeTrue())
}

// putUntilAccepted puts a document through a control host until the group has accepted it.
func (gr *group) putUntilAccepted(i int, version uint64) {
	gr.g.Eventually(func() error {
		_, err := gr.members[i].node.PutDocument(context.Background(), fleetstate.Document{Version: version, Content: []byte("document")})
		return err
	}, eventuallyTimeout).Should(Succeed())
}
