package controlnode

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// controlHostTimeout is the time without an exchange after which gateway hosts are no longer told
// to call a control host.
const controlHostTimeout = 3 * exchangeInterval

// knownControlHost is a control host that this one has heard from.
type knownControlHost struct {
	zone string
	// epoch identifies its process; 0 if it does not state it.
	epoch uint64
	// heardAt is when its latest exchange arrived.
	heardAt time.Time
}

// liveControlHosts returns this control host and those heard from within controlHostTimeout,
// ordered by address. The caller holds n.mu.
func (n *Node) liveControlHosts(now time.Time) []ControlHost {
	list := []ControlHost{{Address: n.options.Address, Zone: n.options.Zone, Epoch: n.epoch}}
	for address, known := range n.controlHosts {
		if now.Sub(known.heardAt) > controlHostTimeout {
			delete(n.controlHosts, address)
			continue
		}
		list = append(list, ControlHost{Address: address, Zone: known.zone, Epoch: known.epoch})
	}
	slices.SortFunc(list, func(a, b ControlHost) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

// addControlHosts adds the control hosts and the members of the group to the reply if the calling host
// has other ones. The caller holds n.mu.
func (n *Node) addControlHosts(req *SyncRequest, reply *SyncReply, now time.Time) {
	list, members := n.liveControlHosts(now), n.Members()
	reply.ControlHostsDigest = controlHostsDigest(list, members)
	if req.ControlHosts != reply.ControlHostsDigest {
		reply.ControlHosts, reply.Members = list, members
	}
}

// controlHostsDigest identifies a list of control hosts, their processes and the members of the group.
func controlHostsDigest(list []ControlHost, members []string) uint64 {
	digest := xxhash.New()
	for _, h := range list {
		_, _ = digest.WriteString(h.Address + "\x00" + h.Zone + "\x00") // never fails
		_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, h.Epoch))
	}
	for _, address := range slices.Sorted(slices.Values(members)) {
		_, _ = digest.WriteString(address + "\x00")
	}
	return digest.Sum64()
}
