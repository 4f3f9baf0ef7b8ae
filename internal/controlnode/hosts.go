package controlnode

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/placement"
)

// peersInterval is the minimum time between two lists of gateway hosts. While a fleet starts
// or is restarted, a list for each change would cost hosts x hosts messages.
const peersInterval = 250 * time.Millisecond

// hostTimeout is the time without a call after which a gateway host is removed from the
// table.
const hostTimeout = 3 * time.Second

// hostTable is the leader's table of gateway hosts. It maintains the totals of their
// loads, so that the cost of a reply does not grow with the number of hosts.
type hostTable struct {
	hosts map[string]*gatewayHost
	// totals is the sum of the loads that all hosts put on each upstream, by upstream id.
	totals map[string]placement.Load
	// revision increases with each change to the set of hosts or to a host's Peer.
	revision uint64
	// published is the list of gateway hosts that replies contain, as of publishedRevision.
	published         []Peer
	publishedRevision uint64
	publishedAt       time.Time
}

// gatewayHost is the leader's state of one gateway host.
type gatewayHost struct {
	lastCall time.Time
	loads    map[string]placement.Load
	// loadsInTotals is the part of the encoded totals that this host caused.
	loadsInTotals map[string]placement.Load
	peer          Peer
}

func newHostTable() *hostTable {
	return &hostTable{hosts: map[string]*gatewayHost{}, totals: map[string]placement.Load{}}
}

// recordCall records a call from a host, and adds the host if it is new.
func (t *hostTable) recordCall(host string, peer Peer, now time.Time) *gatewayHost {
	h := t.hosts[host]
	if h == nil {
		h = &gatewayHost{}
		t.hosts[host] = h
	}
	if h.peer != peer {
		t.revision++
	}
	h.lastCall, h.peer = now, peer
	return h
}

// setLoads replaces the loads of a host and updates the totals.
func (t *hostTable) setLoads(h *gatewayHost, loads map[string]placement.Load) {
	for id, load := range h.loads {
		t.addToTotal(id, load, -1)
	}
	for id, load := range loads {
		t.addToTotal(id, load, 1)
	}
	h.loads = loads
}

func (t *hostTable) addToTotal(id string, load placement.Load, sign int) {
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

// expire removes the hosts whose last call is older than hostTimeout. If these are more
// than half of all, it removes none: then it is this host that was cut off.
func (t *hostTable) expire(now time.Time) {
	var overdue []string
	for name, h := range t.hosts {
		if now.Sub(h.lastCall) > hostTimeout {
			overdue = append(overdue, name)
		}
	}
	if 2*len(overdue) > len(t.hosts) {
		return
	}
	for _, name := range overdue {
		t.setLoads(t.hosts[name], nil)
		delete(t.hosts, name)
		t.revision++
	}
}

// loadsOfOthers returns the load that all other hosts put on each upstream.
func (t *hostTable) loadsOfOthers(h *gatewayHost) map[string]placement.Load {
	loads := make(map[string]placement.Load, len(t.totals))
	for id, sum := range t.totals {
		others := sum.Minus(h.loads[id])
		if others != (placement.Load{}) {
			loads[id] = others
		}
	}
	return loads
}

// publish renews the published list if it is outdated and peersInterval old.
func (t *hostTable) publish(now time.Time) {
	if t.publishedRevision == t.revision || now.Sub(t.publishedAt) < peersInterval {
		return
	}
	t.published, t.publishedRevision, t.publishedAt = t.peers(), t.revision, now
}

func (t *hostTable) peers() []Peer {
	list := make([]Peer, 0, len(t.hosts))
	for _, h := range t.hosts {
		list = append(list, h.peer)
	}
	return list
}
