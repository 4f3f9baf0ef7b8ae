package controlnode_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/fake/disk"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/prepaid"
	"github.com/godwitbend/godwitbend/internal/rpc"
)

// losePower ends all control hosts at once. Their disks lose what was not synced.
func (gr *group) losePower(disks map[int]*disk.Disk) {
	for _, d := range disks {
		d.Crash(nil)
	}
	for i, m := range gr.members {
		delete(gr.members, i)
		m.cancel()
		gr.g.Eventually(m.done, eventuallyTimeout).Should(Receive(), "control host %d", i)
	}
}

// openSession opens a session of a gateway that wants tokens, and returns those that it is granted.
func (gr *group) openSession(gateway string, session uint64, want int64) int64 {
	client := rpc.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	})
	defer func() { gr.g.Expect(client.Close()).To(Succeed()) }()
	now := time.Now().UnixNano()
	req := &controlnode.SyncRequest{
		Host: gateway, Peer: controlnode.Peer{Session: session, Address: gateway}, Relay: true,
		Opening: &prepaid.SessionOpening{Host: gateway, Session: session, BootTime: now, WallTime: now},
		Report: &prepaid.Report{
			Session: session, Seq: 1, BootTime: now, WallTime: now, Uses: []prepaid.Use{{Organisation: "north", Want: want}},
		},
	}
	var grants []prepaid.Grant
	gr.g.Eventually(func() error {
		reply, err := rpc.Call[controlnode.SyncRequest, controlnode.SyncReply](context.Background(), client, gr.address(2), controlnode.MethodSync, req)
		switch {
		case err != nil:
			return err
		case reply.NotLeader || reply.Prepaid == nil:
			return controlnode.ErrUnavailable
		}
		grants = reply.Prepaid.Grants
		return nil
	}, eventuallyTimeout, "20ms").Should(Succeed())
	gr.g.Expect(grants).To(HaveLen(1))
	return grants[0].Granted
}

// Guards against confirmed state that only memory holds when all hosts lose power and one disk is lost.
func TestConfirmedStateSurvivesPowerLossOfAllControlHostsAndALostDisk(t *testing.T) {
	for _, lost := range []int{1, 5} {
		t.Run(fmt.Sprintf("disk %d", lost), func(t *testing.T) {
			gr := newGroup(t)
			disks := map[int]*disk.Disk{}
			for i := 1; i <= 5; i++ {
				disks[i] = disk.New()
				gr.startOn(i, true, disks[i])
			}
			gr.awaitVoters(1, 2, 3, 4, 5)
			content, err := fleetstate.Compress([]byte("one"))
			gr.g.Expect(err).NotTo(HaveOccurred())
			gr.g.Eventually(func() error {
				_, err := gr.members[1].node.PutDocument(context.Background(),
					fleetstate.Document{Version: 1, Content: content, Prepaid: map[string]int64{"north": 1000}})
				return err
			}, eventuallyTimeout).Should(Succeed())
			gr.evacuate(3, "a", false)
			granted := gr.openSession("gateway-1", 7, 600)
			gr.g.Expect(granted).To(BeNumerically(">=", 600))

			gr.losePower(disks)
			disks[lost] = disk.New()
			gr.g.Expect(os.RemoveAll(gr.directory(lost))).To(Succeed())
			for i := 1; i <= 5; i++ {
				gr.startOn(i, false, disks[i])
			}
			gr.expectRead("1 one")
			gr.awaitVoters(1, 2, 3, 4, 5)
			gr.g.Expect(gr.openSession("gateway-2", 8, 10_000)).To(Equal(1000 - granted))
			for i, m := range gr.members {
				gr.g.Eventually(func() []string { return m.node.Evacuations().Zones }, eventuallyTimeout).Should(ContainElement("a"), "control host %d", i)
			}
		})
	}
}
