package controlnode

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

func TestHostsReachTheNewestListByChanges(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(7, 8))
	var lists peerLists
	type host struct {
		epoch, revision uint64
		peers           []Peer
	}
	hosts := make([]host, 10)
	sessions := map[string]uint64{}
	wholes := 0
	for revision := uint64(1); revision < 2000; revision++ {
		address := fmt.Sprintf("10.0.0.%d:1", random.IntN(30))
		if sessions[address]++; random.IntN(3) == 0 {
			delete(sessions, address)
		}
		epoch := 1 + revision/500
		list := peerList{epoch: epoch, revision: revision}
		for a, s := range sessions {
			list.peers = append(list.peers, Peer{Session: s, Address: a})
		}
		list.peers = (&PeerChanges{}).Apply(list.peers)
		lists.add(list)
		h := &hosts[random.IntN(len(hosts))]
		whole, changes := lists.since(h.epoch, h.revision)
		switch {
		case changes != nil:
			h.peers = changes.Apply(h.peers)
		case whole != nil:
			h.peers = whole
			wholes++
		}
		h.epoch, h.revision = epoch, revision
		g.Expect(h.peers).To(HaveExactElements(list.peers), "revision %d", revision)
		whole, changes = lists.since(h.epoch, h.revision)
		g.Expect(whole).To(BeNil())
		g.Expect(changes).To(BeNil())
	}
	g.Expect(wholes).To(BeNumerically("<", 1000), "most hosts get changes")
}

// A gateway of a fleet of 300 gets its list anew while others restart.
func TestChangesOfOneHostAreSmall(t *testing.T) {
	g := NewWithT(t)
	var peers []Peer
	for i := range 300 {
		peers = append(peers, Peer{Session: uint64(i), Address: fmt.Sprintf("10.0.%d.%d:7080", i/200, i%200)})
	}
	peers = (&PeerChanges{}).Apply(peers)
	restarted := append([]Peer{}, peers...)
	restarted[7].Session = 999
	g.Expect(peerChanges(peers, restarted)).To(Equal(&PeerChanges{Changed: []Peer{restarted[7]}}))
	g.Expect(peerChanges(peers, peers[1:])).To(Equal(&PeerChanges{Removed: []string{peers[0].Address}}))
}
