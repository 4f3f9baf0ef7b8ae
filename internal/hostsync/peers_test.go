package hostsync

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/placement"
)

// After a change of the leader, hosts that the new leader has not heard of yet stay in the
// list, as the holders of tokens would change twice otherwise.
func TestPeersOutlastAChangeOfTheLeader(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{Pool: placement.NewPool(""), Address: "a:1", Clock: func() int64 { return 1 }})
	a, b := controlnode.Peer{Session: 1, Address: "a:1"}, controlnode.Peer{Session: 2, Address: "b:1"}
	restarted := controlnode.Peer{Session: 3, Address: "b:1"}
	apply := func(epoch uint64, peers ...controlnode.Peer) {
		reply := &controlnode.SyncReply{Epoch: epoch, Peers: peers}
		c.applyPeers(reply)
		c.peersEpoch = epoch
	}
	apply(1, b, a)
	g.Expect(c.peers).To(Equal([]controlnode.Peer{a, b}))
	apply(2, a)
	g.Expect(c.peers).To(Equal([]controlnode.Peer{a, b}), "the new leader knows one host yet")
	apply(2, a, restarted)
	g.Expect(c.peers).To(Equal([]controlnode.Peer{a, restarted}))
	apply(2, a)
	g.Expect(c.peers).To(Equal([]controlnode.Peer{a, b}))
	c.epochSince = time.Now().Add(-peerRetention - time.Second)
	apply(2)
	g.Expect(c.peers).To(Equal([]controlnode.Peer{a}), "a host that never calls is removed in the end")
}
