package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// peerRetention is the time for which the load of a host that has fallen silent counts.
const peerRetention = 1500 * time.Millisecond

// peerLoad is what another host said of its load.
type peerLoad struct {
	seq   uint64
	at    time.Time
	loads map[uint32]Load
}

// Kept tells that an upstream has read a shared part, or is reading it.
type Kept struct {
	Part uint64 `cbor:"1,keyasint"`
	// Upstream is the short name of the upstream.
	Upstream uint32 `cbor:"2,keyasint"`
	// Reading tells that it has not read the part to its end yet.
	Reading bool `cbor:"3,keyasint,omitempty"`
}

// shortName is the name of an upstream in messages between hosts.
func shortName(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// maxRecent is the number of parts read lately that hosts tell each other; each is
// told several times, since messages get lost.
const maxRecent = 8

// Recent returns the parts whose reading this host has seen lately.
func (p *Pool) Recent() []Kept {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.recent)
}

func (p *Pool) noteKept(k Kept) {
	if len(p.recent) >= maxRecent {
		p.recent = slices.Delete(p.recent, 0, 1)
	}
	p.recent = append(p.recent, k)
}

// ShortLoads returns the load by this host, by the short names of upstreams.
func (p *Pool) ShortLoads() map[uint32]Load {
	loads := map[uint32]Load{}
	for id, load := range p.Loads() {
		loads[shortName(id)] = load
	}
	return loads
}

// Changed returns a channel that gets a token when the own load has changed.
func (p *Pool) Changed() <-chan struct{} { return p.changed }

func (p *Pool) noteChange() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Hear takes in the load of another host. Messages may come late or out of order.
func (p *Pool) Hear(session, seq uint64, loads map[uint32]Load, recent []Kept, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[session]
	if peer == nil {
		peer = &peerLoad{}
		p.peers[session] = peer
	}
	if seq <= peer.seq {
		return
	}
	names := make(map[uint32]*Upstream, len(p.upstreams))
	for id, u := range p.upstreams {
		names[shortName(id)] = u
	}
	for _, k := range recent {
		u := names[k.Upstream]
		switch {
		case u == nil:
		case !k.Reading:
			u.keep(k.Part, now)
		case !u.keeps(k.Part, now) && !u.reads(k.Part, now):
			u.read(k.Part, now)
		}
	}
	*peer = peerLoad{seq: seq, at: now, loads: loads}
	for _, u := range p.upstreams {
		u.heard = Load{}
	}
	for id, other := range p.peers {
		if now.Sub(other.at) > peerRetention {
			delete(p.peers, id)
			continue
		}
		for upstream, load := range other.loads {
			if u := names[upstream]; u != nil {
				u.heard.Open += load.Open
				u.heard.Unread += load.Unread
				u.heard.Resident += load.Resident
			}
		}
	}
}
