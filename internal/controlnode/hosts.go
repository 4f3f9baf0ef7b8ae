package controlnode

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/placement"
)

// hostRetention is the time without a call after which a gateway host counts as gone.
const hostRetention = 3 * time.Second

// hostTable is what the leader knows of the gateway hosts. It keeps the sums of their
// loads, so that a reply costs no more in a large fleet.
type hostTable struct {
	hosts map[string]*gatewayHost
	// sums holds the load by all hosts, by upstream.
	sums map[string]placement.Load
	// revision numbers the changes of the set of hosts.
	revision uint64
}

// gatewayHost is what the leader knows of a gateway host.
type gatewayHost struct {
	seen  time.Time
	loads map[string]placement.Load
	peer  Peer
}

func newHostTable() *hostTable {
	return &hostTable{hosts: map[string]*gatewayHost{}, sums: map[string]placement.Load{}}
}

// heard notes that a host has called.
func (t *hostTable) heard(host string, peer Peer, now time.Time) *gatewayHost {
	h := t.hosts[host]
	if h == nil {
		h = &gatewayHost{}
		t.hosts[host] = h
	}
	if h.peer != peer {
		t.revision++
	}
	h.seen, h.peer = now, peer
	return h
}

// setLoads replaces the load by a host.
func (t *hostTable) setLoads(h *gatewayHost, loads map[string]placement.Load) {
	for id, load := range h.loads {
		t.add(id, load, -1)
	}
	for id, load := range loads {
		t.add(id, load, 1)
	}
	h.loads = loads
}

func (t *hostTable) add(id string, load placement.Load, sign int) {
	sum := t.sums[id]
	sum.InFlight += sign * load.InFlight
	sum.Backlog += int64(sign) * load.Backlog
	sum.KVTokens += int64(sign) * load.KVTokens
	if sum == (placement.Load{}) {
		delete(t.sums, id)
		return
	}
	t.sums[id] = sum
}

// expire drops the hosts that have not called for long.
func (t *hostTable) expire(now time.Time) {
	for name, h := range t.hosts {
		if now.Sub(h.seen) > hostRetention {
			t.setLoads(h, nil)
			delete(t.hosts, name)
			t.revision++
		}
	}
}

// loadsBesides returns the load by all other hosts, by upstream.
func (t *hostTable) loadsBesides(h *gatewayHost) map[string]placement.Load {
	loads := make(map[string]placement.Load, len(t.sums))
	for id, sum := range t.sums {
		own := h.loads[id]
		others := placement.Load{InFlight: sum.InFlight - own.InFlight, Backlog: sum.Backlog - own.Backlog, KVTokens: sum.KVTokens - own.KVTokens}
		if others != (placement.Load{}) {
			loads[id] = others
		}
	}
	return loads
}

func (t *hostTable) peers() []Peer {
	list := make([]Peer, 0, len(t.hosts))
	for _, h := range t.hosts {
		list = append(list, h.peer)
	}
	return list
}
