package controlnode

import (
	"maps"
	"slices"
	"time"

	"github.com/godwitbend/godwitbend/internal/placement"
)

// peersInterval is the minimum time between two lists of gateway hosts. While a fleet starts
// or is restarted, a list for each change would cost hosts x hosts messages.
const peersInterval = 250 * time.Millisecond

// hostTimeout is the time without a call after which a gateway host is removed from the
// table.
const hostTimeout = 3 * time.Second

// movedTimeout is that time for a host that calls another control host. Hosts that call two in turn, as one is slow, stay at both: each
// change of the list goes to all hosts.
const movedTimeout = time.Second

// hostTable is a control host's table of the gateway hosts that call it and, on the leader, of
// those that call relays. It maintains the totals of their loads, so that the cost of a reply does
// not grow with the number of hosts.
type hostTable struct {
	hosts map[string]*gatewayHost
	// relays holds the gateway hosts of other control hosts, by the address of these.
	relays map[string]*relayedHosts
	// totals is the sum of the loads that all hosts put on each upstream, by short id.
	totals map[uint32]placement.Load
	// revision increases with each change to the set of hosts or to a host's Peer.
	revision uint64
	// published is the list of gateway hosts that replies contain, as of publishedRevision.
	published         []Peer
	publishedRevision uint64
	publishedAt       time.Time
}

// gatewayHost is the state of one gateway host, or the sums of those of a relay.
type gatewayHost struct {
	lastCall time.Time
	// loads is the load that the host puts on each upstream, by short id.
	loads map[uint32]placement.Load
	// loadsInTotals is the part of the packed totals that this host caused.
	loadsInTotals map[uint32]placement.Load
	peer          Peer
	// peerSince is when the host's Peer last changed.
	peerSince time.Time
}

// relayedHosts are the gateway hosts that call one relay.
type relayedHosts struct {
	gatewayHost
	// epoch identifies the relay's process, and revision its list.
	epoch, revision uint64
	// since holds when each Peer was first listed.
	since map[Peer]time.Time
}

func newHostTable() *hostTable {
	return &hostTable{hosts: map[string]*gatewayHost{}, relays: map[string]*relayedHosts{}, totals: map[uint32]placement.Load{}}
}

// recordCall records a call from a host, and adds the host if it is new.
func (t *hostTable) recordCall(host string, peer Peer, now time.Time) *gatewayHost {
	h := t.hosts[host]
	if h == nil {
		h = &gatewayHost{}
		t.hosts[host] = h
	}
	if h.peer != peer {
		h.peerSince = now
		t.revision++
	}
	h.lastCall, h.peer = now, peer
	return h
}

// recordRelay records a call from a relay's process, and adds the relay if it is new.
func (t *hostTable) recordRelay(address string, epoch uint64, now time.Time) *relayedHosts {
	r := t.relays[address]
	if r != nil && r.epoch != epoch {
		t.removeRelay(address, r)
		r = nil
	}
	if r == nil {
		r = &relayedHosts{epoch: epoch}
		t.relays[address] = r
	}
	r.lastCall = now
	return r
}

func (t *hostTable) removeRelay(address string, r *relayedHosts) {
	t.setLoads(&r.gatewayHost, nil)
	delete(t.relays, address)
	t.revision++
}

// removeRelays removes all relays, which report to another leader now.
func (t *hostTable) removeRelays() {
	for address, r := range t.relays {
		t.removeRelay(address, r)
	}
}

// setRelayPeers replaces the list of a relay's gateway hosts, unless it has a later one: calls of
// a relay may overtake each other.
func (t *hostTable) setRelayPeers(r *relayedHosts, peers []Peer, revision uint64, now time.Time) {
	if revision <= r.revision {
		return
	}
	since := make(map[Peer]time.Time, len(peers))
	for _, p := range peers {
		since[p] = now
		if earlier, known := r.since[p]; known {
			since[p] = earlier
		}
	}
	r.since, r.revision = since, revision
	t.revision++
}

// forgetDirect removes a host that has called this control host before and now calls a relay, whose loads include its own.
func (t *hostTable) forgetDirect(host string, peer Peer) {
	if h := t.hosts[host]; h != nil && h.peer == peer {
		t.setLoads(h, nil)
		delete(t.hosts, host)
		t.revision++
	}
}

// movedFrom returns the gateway hosts of a relay that have called another control host since that listed them. The loads of both include theirs.
func (t *hostTable) movedFrom(r *relayedHosts) (moved []Peer) {
	direct := make(map[Peer]time.Time, len(t.hosts))
	for _, h := range t.hosts {
		direct[h.peer] = h.peerSince
	}
	for p, since := range r.since {
		later := direct[p].After(since)
		for _, other := range t.relays {
			later = later || other.since[p].After(since)
		}
		if later {
			moved = append(moved, p)
		}
	}
	return moved
}

// forget removes hosts that call another control host and have not called this one for movedTimeout. One that calls again is added again.
func (t *hostTable) forget(moved []Peer, now time.Time) {
	for host, h := range t.hosts {
		if now.Sub(h.lastCall) > movedTimeout && slices.Contains(moved, h.peer) {
			t.forgetDirect(host, h.peer)
		}
	}
}

// setLoads replaces the loads of a host and updates the totals.
func (t *hostTable) setLoads(h *gatewayHost, loads map[uint32]placement.Load) {
	for id, load := range h.loads {
		t.addToTotal(id, load, -1)
	}
	for id, load := range loads {
		t.addToTotal(id, load, 1)
	}
	h.loads = loads
}

func (t *hostTable) addToTotal(id uint32, load placement.Load, sign int) {
	sum := t.totals[id]
	if sign > 0 {
		sum = sum.Plus(load)
	} else {
		sum = sum.Minus(load)
	}
	if sum == (placement.Load{}) {
		delete(t.totals, id)
		return
	}
	t.totals[id] = sum
}

// expire removes the hosts and relays whose last call is older than hostTimeout. If more than half of all
// gateway hosts are silent, it removes none: then it is this host that was cut off.
func (t *hostTable) expire(now time.Time) {
	if !t.hasOverdue(now) {
		return
	}
	if silent, all := t.countSilent(now); 2*silent > all {
		return
	}
	t.expireDirect(now)
	for address, r := range t.relays {
		if r.overdue(now) {
			t.removeRelay(address, r)
		}
	}
}

func (t *hostTable) hasOverdue(now time.Time) bool {
	for _, h := range t.hosts {
		if h.overdue(now) {
			return true
		}
	}
	for _, r := range t.relays {
		if r.overdue(now) {
			return true
		}
	}
	return false
}

// countSilent returns the number of gateway hosts of which neither a call nor one of a relay that lists them was heard within
// hostTimeout, and the number of all. A host that has changed its control host counts once.
func (t *hostTable) countSilent(now time.Time) (silent, all int) {
	live := map[string]bool{}
	for _, h := range t.hosts {
		live[h.peer.Address] = live[h.peer.Address] || !h.overdue(now)
	}
	for _, r := range t.relays {
		for p := range r.since {
			live[p.Address] = live[p.Address] || !r.overdue(now)
		}
	}
	for _, isLive := range live {
		if !isLive {
			silent++
		}
	}
	return silent, len(live)
}

// expireDirect removes the hosts that call this control host and whose last call is older than
// hostTimeout. A relay does so whatever their number, as they call another one if they are up.
func (t *hostTable) expireDirect(now time.Time) {
	for name, h := range t.hosts {
		if h.overdue(now) {
			t.setLoads(h, nil)
			delete(t.hosts, name)
			t.revision++
		}
	}
}

func (h *gatewayHost) overdue(now time.Time) bool { return now.Sub(h.lastCall) > hostTimeout }

// size returns the number of gateway hosts. One that has just changed to another relay may count
// twice.
func (t *hostTable) size() int {
	size := len(t.hosts)
	for _, r := range t.relays {
		size += len(r.since)
	}
	return size
}

// loadsOfOthers returns the load that all other hosts put on each upstream, by short id.
func (t *hostTable) loadsOfOthers(h *gatewayHost) map[uint32]placement.Load {
	loads := maps.Clone(t.totals)
	placement.SubtractLoads(loads, h.loads)
	return loads
}

// publish renews the published list if it is outdated and peersInterval old.
func (t *hostTable) publish(now time.Time) {
	if t.publishedRevision == t.revision || now.Sub(t.publishedAt) < peersInterval {
		return
	}
	t.published, t.publishedRevision, t.publishedAt = t.peers(), t.revision, now
}

// peers returns the gateway hosts, ordered by address. Of a host that is listed more than once,
// as it restarted or changed to another relay, the latest Peer counts.
func (t *hostTable) peers() []Peer {
	latest := map[string]Peer{}
	changed := map[string]time.Time{}
	add := func(p Peer, since time.Time) {
		if at, known := changed[p.Address]; !known || since.After(at) {
			latest[p.Address], changed[p.Address] = p, since
		}
	}
	for _, h := range t.hosts {
		add(h.peer, h.peerSince)
	}
	for _, r := range t.relays {
		for p, since := range r.since {
			add(p, since)
		}
	}
	list := make([]Peer, 0, len(latest))
	for _, p := range latest {
		list = append(list, p)
	}
	slices.SortFunc(list, Peer.Compare)
	return list
}

// directPeers returns the gateway hosts that call this control host.
func (t *hostTable) directPeers() []Peer {
	list := make([]Peer, 0, len(t.hosts))
	for _, h := range t.hosts {
		list = append(list, h.peer)
	}
	return list
}
