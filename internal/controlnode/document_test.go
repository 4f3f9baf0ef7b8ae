package controlnode

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/fake/disk"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/memnet"
)

// Guards against a read that is confirmed by one replica and answered from the state of the next, which has yet to catch up.
func TestReadReflectsTheReplicaThatConfirmedIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const address = "control-1:7040"
		n := New(Options{
			Host: "control-1", Address: address, Zone: "a", Directory: "data", FS: disk.New(), Bootstrap: true,
			Network: memnet.New().Node("control-1"), Seeds: func() []string { return []string{address} },
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- n.Run(ctx) }()
		time.Sleep(5 * time.Second)
		_, err := n.PutDocument(ctx, fleetstate.Document{Version: 7})
		n.machine.Store(fleetstate.New()) // as the start of the next replica does
		d, readErr := n.NewestDocument(ctx)
		cancel()
		g.Expect(<-done).To(Succeed())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(readErr).NotTo(HaveOccurred())
		g.Expect(d.Version).To(BeEquivalentTo(7))
	})
}
