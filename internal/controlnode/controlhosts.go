package controlnode

import (
	"cmp"
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
	// heardAt is when its latest exchange arrived.
	heardAt time.Time
}

// liveControlHosts returns this control host and those heard from within controlHostTimeout,
// ordered by address. The caller holds n.mu.
func (n *Node) liveControlHosts(now time.Time) []ControlHost {
	list := []ControlHost{{Address: n.options.Address, Zone: n.options.Zone}}
	for address, known := range n.controlHosts {
		if now.Sub(known.heardAt) > controlHostTimeout {
			delete(n.controlHosts, address)
			continue
		}
		list = append(list, ControlHost{Address: address, Zone: known.zone})
	}
	slices.SortFunc(list, func(a, b ControlHost) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

// addControlHosts adds the control hosts to the reply if the calling host has another list. The
// caller holds n.mu.
func (n *Node) addControlHosts(req *SyncRequest, reply *SyncReply, now time.Time) {
	list := n.liveControlHosts(now)
	digest := xxhash.New()
	for _, h := range list {
		_, _ = digest.WriteString(h.Address + "\x00" + h.Zone + "\x00") // never fails
	}
	reply.ControlHostsDigest = digest.Sum64()
	if req.ControlHosts != reply.ControlHostsDigest {
		reply.ControlHosts, reply.Members = list, n.Members()
	}
}
