package placement

import (
	"slices"
	"time"
)

// peerRetention is the time for which the load of a host that has fallen silent counts.
const peerRetention = 1500 * time.Millisecond

// peerLoad is what another host said of its load.
type peerLoad struct {
	seq   uint64
	at    time.Time
	loads map[string]Load
}

// Kept tells that an upstream has read a shared part.
type Kept struct {
	Part     uint64 `cbor:"1,keyasint"`
	Upstream string `cbor:"2,keyasint"`
}

// maxRecent is the number of parts read lately that hosts tell each other; each is
// told several times, since messages get lost.
const maxRecent = 24

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

// Changed returns a channel that gets a token when the own load has changed.
func (p *Pool) Changed() <-chan struct{} { return p.changed }

func (p *Pool) noteChange() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Hear takes in the load of another host. Messages may come late or out of order.
func (p *Pool) Hear(session, seq uint64, loads map[string]Load, recent []Kept, now time.Time) {
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
	for _, k := range recent {
		if u := p.upstreams[k.Upstream]; u != nil {
			u.keep(k.Part, now)
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
			if u := p.upstreams[upstream]; u != nil {
				u.heard.Open += load.Open
				u.heard.Unread += load.Unread
			}
		}
	}
}
