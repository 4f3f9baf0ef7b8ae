package replication

import (
	"cmp"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/codec"
)

// Errors of membership changes that are rejected without any effect.
var (
	ErrChangePending = eris.New("another membership change is not yet committed")
	ErrNotCaughtUp   = eris.New("learner has not caught up")
	ErrIDUsed        = eris.New("replica id was used before: a new replica needs a larger id")
	ErrUnknownPeer   = eris.New("no such replica")
	ErrRemoveLeader  = eris.New("the leader can't be removed: transfer leadership first")
	ErrTooFewVoters  = eris.New("the change would leave no voter, or no quorum that is reachable")
)

// membershipEntry is a membership and the index of the entry from which it is in
// effect.
type membershipEntry struct {
	index      uint64
	membership Membership
}

// NewMembership returns the membership that consists of the given peers.
func NewMembership(peers []Peer) Membership {
	m := Membership{Peers: slices.Clone(peers)}
	slices.SortFunc(m.Peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	for _, p := range peers {
		m.LargestID = max(m.LargestID, p.ID)
	}
	return m
}

func (m Membership) indexOf(id uint64) int {
	return slices.IndexFunc(m.Peers, func(p Peer) bool { return p.ID == id })
}

// membership returns the latest membership in the log, committed or not.
func (n *Node) membership() Membership {
	return n.memberships[len(n.memberships)-1].membership
}

// Membership returns the latest membership in the log, committed or not.
func (n *Node) Membership() Membership { return n.membership() }

func (n *Node) membershipAt(index uint64) Membership {
	for i := len(n.memberships) - 1; i > 0; i-- {
		if n.memberships[i].index <= index {
			return n.memberships[i].membership
		}
	}
	return n.memberships[0].membership
}

// AddLearner proposes a membership with a new replica as a learner.
func (n *Node) AddLearner(p Peer) (index uint64, err error) {
	if err := n.checkMembershipChange(); err != nil {
		return 0, err
	}
	m := n.membership()
	if p.ID <= m.LargestID {
		return 0, ErrIDUsed
	}
	p.Learner = true
	return n.appendMembership(NewMembership(append(slices.Clone(m.Peers), p)))
}

// Promote proposes a membership in which a learner becomes a voter. The learner
// must have synced every committed entry.
func (n *Node) Promote(id uint64) (index uint64, err error) {
	if err := n.checkMembershipChange(); err != nil {
		return 0, err
	}
	m := n.membership()
	at := m.indexOf(id)
	switch {
	case at < 0:
		return 0, ErrUnknownPeer
	case !m.Peers[at].Learner:
		return n.memberships[len(n.memberships)-1].index, nil
	case !n.isActive(id) || n.progress[id].match < n.log.committed:
		return 0, ErrNotCaughtUp
	}
	peers := slices.Clone(m.Peers)
	peers[at].Learner = false
	return n.appendMembership(Membership{Peers: peers, LargestID: m.LargestID})
}

// Remove proposes a membership without the given replica, which must not be the
// leader. The remaining voters must have an active quorum.
func (n *Node) Remove(id uint64) (index uint64, err error) {
	if err := n.checkMembershipChange(); err != nil {
		return 0, err
	}
	m := n.membership()
	at := m.indexOf(id)
	switch {
	case at < 0:
		return n.memberships[len(n.memberships)-1].index, nil
	case id == n.id:
		return 0, ErrRemoveLeader
	case !m.Peers[at].Learner && !n.quorumWithout(id):
		return 0, ErrTooFewVoters
	}
	peers := slices.Delete(slices.Clone(m.Peers), at, at+1)
	return n.appendMembership(Membership{Peers: peers, LargestID: m.LargestID})
}

func (n *Node) quorumWithout(id uint64) bool {
	voters := slices.DeleteFunc(n.voters(), func(v uint64) bool { return v == id })
	count := 0
	for _, v := range voters {
		if n.isActive(v) {
			count++
		}
	}
	return count >= len(voters)/2+1
}

// checkMembershipChange allows one membership change at a time, and none before
// the leader has committed an entry of its term. Otherwise the changes of two
// leaders could result in quorums that do not overlap.
func (n *Node) checkMembershipChange() error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case n.transferee != None:
		return ErrTransferring
	case !n.committedEntryInCurrentTerm() || n.memberships[len(n.memberships)-1].index > n.log.committed:
		return ErrChangePending
	}
	return nil
}

func (n *Node) appendMembership(m Membership) (uint64, error) {
	m.LargestID = max(m.LargestID, n.membership().LargestID)
	data, err := codec.Marshal(m)
	if err != nil {
		return 0, err
	}
	index := n.appendEntry(EntryMembership, data)
	n.memberships = append(n.memberships, membershipEntry{index, m})
	n.reconcileProgress()
	return index, nil
}

// decodeMemberships returns the memberships in entries.
func decodeMemberships(entries []Entry) ([]membershipEntry, error) {
	var memberships []membershipEntry
	for _, e := range entries {
		if e.Kind != EntryMembership {
			continue
		}
		var m Membership
		if err := codec.Unmarshal(e.Data, &m); err != nil {
			return nil, eris.Wrapf(err, "membership entry %d", e.Index)
		}
		memberships = append(memberships, membershipEntry{e.Index, m})
	}
	return memberships, nil
}

// truncateMemberships drops the memberships of truncated entries, from index on.
func (n *Node) truncateMemberships(index uint64) {
	for len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index >= index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

// compactMemberships drops the memberships that are superseded at index.
func (n *Node) compactMemberships(index uint64) {
	for len(n.memberships) > 1 && n.memberships[1].index <= index {
		n.memberships = n.memberships[1:]
	}
}

// reconcileProgress adds and removes progress records to match the membership.
func (n *Node) reconcileProgress() {
	m := n.membership()
	for id := range n.progress {
		if m.indexOf(id) < 0 {
			delete(n.progress, id)
		}
	}
	for _, p := range m.Peers {
		if n.progress[p.ID] == nil {
			n.progress[p.ID] = &progress{next: n.log.lastIndex() + 1, lastContact: n.ticks}
		}
	}
}
