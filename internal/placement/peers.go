package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// peerLoadRetention is how long the load reported by an unresponsive host still counts.
const peerLoadRetention = 1500 * time.Millisecond

// peerLoad is the latest load reported by another host, or by one for its neighbourhood.
type peerLoad struct {
	session    uint64
	seq        uint64
	receivedAt time.Time
	loads      map[uint32]Load
}

// CachedPrefix reports that an upstream has prefilled a prompt prefix, or is doing so.
type CachedPrefix struct {
	Prefix uint64 `cbor:"1,keyasint"`
	// Upstream is the short id of the upstream.
	Upstream uint32 `cbor:"2,keyasint"`
	// Prefilling is true until the prefill of the prefix has finished.
	Prefilling bool `cbor:"3,keyasint,omitempty"`
}

// ShortID returns the id of an upstream in messages between hosts.
func ShortID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// maxRecentPrefixes is the number of recent prefixes in each message between hosts.
// Each prefix is thus sent several times, since messages may be lost.
const maxRecentPrefixes = 8

// RecentPrefixes returns the most recent prefixes whose prefill began or finished
// through this host.
func (p *Pool) RecentPrefixes() []CachedPrefix {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.recentPrefixes)
}

func (p *Pool) addRecentPrefix(prefix CachedPrefix) {
	if len(p.recentPrefixes) >= maxRecentPrefixes {
		p.recentPrefixes = slices.Delete(p.recentPrefixes, 0, 1)
	}
	p.recentPrefixes = append(p.recentPrefixes, prefix)
}

// LoadsByShortID returns the load caused by this host, by short upstream id.
func (p *Pool) LoadsByShortID() map[uint32]Load { return ByShortID(p.Loads()) }

// LoadChanged returns a channel that signals a substantial change of this host's load.
func (p *Pool) LoadChanged() <-chan struct{} { return p.loadChanged }

func (p *Pool) notifyLoadChanged() {
	select {
	case p.loadChanged <- struct{}{}:
	default:
	}
}

// ApplyPeerLoad applies the load and recent prefixes reported by another host. Messages
// may arrive late or out of order; seq identifies the stale ones.
func (p *Pool) ApplyPeerLoad(session, seq uint64, loads map[uint32]Load, recent []CachedPrefix, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.peers[session]
	if old != nil && seq <= old.seq {
		return
	}
	byShortID := p.upstreamsByShortID()
	for _, prefix := range recent {
		if byShortID[prefix.Upstream].learnPrefix(prefix, now) {
			p.addNews(prefix, now)
		}
	}
	next := &peerLoad{session: session, seq: seq, receivedAt: now, loads: loads}
	p.peers[session] = next
	p.replaceReport(old, next, now)
}
