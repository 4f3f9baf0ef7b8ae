package controlnode

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/replication"
)

// groupIDBytes is the length of the digest that identifies a control group.
const groupIDBytes = 8

// errAnotherGroup means that a call is meant for the host that had this address before, in another control group.
var errAnotherGroup = eris.New("this host belongs to another control group")

// newGroupID returns the id of the group that these hosts found. All founders compute the same one.
func newGroupID(founders []replication.Peer) string {
	digest := sha256.New()
	for _, p := range founders {
		_, _ = digest.Write([]byte(p.Address + "\n")) // never fails
	}
	return hex.EncodeToString(digest.Sum(nil)[:groupIDBytes])
}

// groupID returns the id of the group that this host belongs to or was removed from. It is empty before the host has
// joined one, and in groups that were founded by builds without it.
func (n *Node) groupID() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.group
}

func (n *Node) setGroupID(group string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.group != group {
		n.group, n.contacts.changed = group, true
	}
}

// otherGroup reports whether a host that states a group belongs to another one. The address of a host that is gone may
// have been given to it.
func (n *Node) otherGroup(stated string) bool {
	own := n.groupID()
	return own != "" && stated != "" && stated != own
}

// sameGroup reports whether a host that states a group certainly belongs to this host's.
func (n *Node) sameGroup(stated string) bool { return stated != "" && stated == n.groupID() }
