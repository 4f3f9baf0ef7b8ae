package controlnode

import "slices"

// maxPeerLists is the number of lists of gateway hosts that are kept to tell what has changed.
// Lists are renewed each peersInterval, and hosts call twice a second.
const maxPeerLists = 16

// PeerChanges is the difference between two lists of gateway hosts.
type PeerChanges struct {
	// Changed are the hosts that are new or have another session, by address.
	Changed []Peer `cbor:"1,keyasint,omitempty"`
	// Removed are the addresses of the hosts that the later list lacks.
	Removed []string `cbor:"2,keyasint,omitempty"`
}

// Apply returns the list that follows from earlier, ordered by address.
func (c *PeerChanges) Apply(earlier []Peer) []Peer {
	changed := make(map[string]bool, len(c.Changed)+len(c.Removed))
	for _, p := range c.Changed {
		changed[p.Address] = true
	}
	for _, address := range c.Removed {
		changed[address] = true
	}
	list := slices.Clone(c.Changed)
	for _, p := range earlier {
		if !changed[p.Address] {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, Peer.Compare)
	return list
}

// peerList is a list of the gateway hosts of the fleet, ordered by address. Its revision counts
// within epoch, which identifies the leader's process.
type peerList struct {
	epoch, revision uint64
	peers           []Peer
}

// peerLists holds the latest lists, the newest last.
type peerLists struct {
	lists []peerList
}

// add adds a list unless it is the newest one.
func (l *peerLists) add(list peerList) {
	if newest := l.newest(); len(l.lists) > 0 && newest.epoch == list.epoch && newest.revision == list.revision {
		return
	}
	l.lists = append(l.lists, list)
	l.lists = l.lists[max(len(l.lists)-maxPeerLists, 0):]
}

// newest returns the newest list; an empty one if there is none.
func (l *peerLists) newest() peerList {
	if len(l.lists) == 0 {
		return peerList{}
	}
	return l.lists[len(l.lists)-1]
}

// since returns what a host lacks that has the list of an epoch and revision: nothing, the
// changes, or the whole list if the host's list is not known.
func (l *peerLists) since(epoch, revision uint64) (whole []Peer, changes *PeerChanges) {
	newest := l.newest()
	if newest.epoch == epoch && newest.revision == revision {
		return nil, nil
	}
	for _, earlier := range l.lists {
		if earlier.epoch == epoch && earlier.revision == revision {
			return nil, peerChanges(earlier.peers, newest.peers)
		}
	}
	return newest.peers, nil
}

// peerChanges returns the difference between two lists, both ordered by address.
func peerChanges(earlier, later []Peer) *PeerChanges {
	c := &PeerChanges{}
	for i, j := 0, 0; i < len(earlier) || j < len(later); {
		switch {
		case j == len(later) || i < len(earlier) && earlier[i].Address < later[j].Address:
			c.Removed = append(c.Removed, earlier[i].Address)
			i++
		case i == len(earlier) || later[j].Address < earlier[i].Address:
			c.Changed = append(c.Changed, later[j])
			j++
		default:
			if earlier[i] != later[j] {
				c.Changed = append(c.Changed, later[j])
			}
			i++
			j++
		}
	}
	return c
}
