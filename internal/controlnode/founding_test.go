package controlnode

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/fake/disk"
	"github.com/godwitbend/godwitbend/internal/memnet"
	"github.com/godwitbend/godwitbend/internal/replica"
	"github.com/godwitbend/godwitbend/internal/replication"
)

// Guards against two founders with the same replica id, which would vote and acknowledge for each other.
func TestFoundersAgreeOnTheirIDsWhateverTheOrderOfTheirSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := memnet.New()
		addresses := []string{"control-1:7040", "control-2:7040", "control-3:7040"}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, len(addresses))
		var nodes []*Node
		for i, address := range addresses {
			seeds := append(append([]string{}, addresses[i:]...), addresses[:i]...)
			name := fmt.Sprintf("control-%d", i+1)
			n := New(Options{
				Host: name, Address: address, Zone: "a", Directory: "data", FS: disk.New(), Bootstrap: true,
				Network: network.Node(name), Seeds: func() []string { return seeds },
			})
			nodes = append(nodes, n)
			go func() { ended <- n.Run(ctx) }()
		}
		time.Sleep(5 * time.Second)
		ids := map[uint64]bool{}
		var readErrors []error
		for _, n := range nodes {
			s, _ := n.Status()
			ids[s.ID] = true
			_, err := n.NewestDocument(ctx)
			readErrors = append(readErrors, err)
		}
		cancel()
		for range nodes {
			g.Expect(<-ended).To(Succeed())
		}
		g.Expect(ids).To(HaveLen(len(nodes)))
		g.Expect(readErrors).To(HaveEach(BeNil()))
	})
}

// Guards against a host that deletes its disk because of a removal that a change of the leader undoes.
func TestReplicaIsAMemberUntilItsRemovalIsCommitted(t *testing.T) {
	g := NewWithT(t)
	one, two := replication.Peer{ID: 1}, replication.Peer{ID: 2}
	s := replica.Status{Peers: []replication.PeerStatus{{Peer: one}}, Committed: []replication.Peer{one, two}}
	g.Expect(isMember(s, 2)).To(BeTrue(), "the removal is not committed")
	s.Committed = []replication.Peer{one}
	g.Expect(isMember(s, 2)).To(BeFalse())
	s.Peers = append(s.Peers, replication.PeerStatus{Peer: two})
	g.Expect(isMember(s, 2)).To(BeTrue(), "the addition is not committed")
}

// Guards against founders that wait for one whose process ended while it founded the group.
func TestFounderThatRestartsStillFounds(t *testing.T) {
	g := NewWithT(t)
	files := disk.New()
	id := &identity{ReplicaID: 1, Founders: []replication.Peer{{ID: 1, Address: "10.0.0.1:7040"}, {ID: 2, Address: "10.0.0.2:7040"}}}
	g.Expect(id.save(files, "data")).To(Succeed())
	n := New(Options{Address: "10.0.0.1:7040", Directory: "data", FS: files, Bootstrap: true, Seeds: func() []string { return nil }})
	loaded, err := n.loadOrCreateIdentity(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(loaded).To(Equal(id))
	reply, err := n.founding(t.Context(), &FoundingRequest{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply).To(Equal(&FoundingReply{Founders: id.Founders}))
}
