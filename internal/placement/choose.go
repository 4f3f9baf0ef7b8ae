package placement

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// spill is the number of requests by which the load of the first upstream for
	// a shared part may exceed that of the next before the next is taken.
	spill = 4
	// places is the number of upstreams among which a shared part is spread.
	places = 3
	// zonePenalty is the load at which an upstream of the own zone is as good as
	// an idle one of another zone.
	zonePenalty = 1
)

// Request is what a choice depends on.
type Request struct {
	Service string
	// Part is the hash of the shared part of the prompt; HasPart is false without one.
	Part    uint64
	HasPart bool
	// Exclude holds the ids of upstreams that were tried.
	Exclude []string
	// Limit is the number of open requests at which an upstream is full.
	Limit func(u *Upstream) int
}

// Reason tells why no upstream was chosen.
type Reason uint8

// The reasons for not choosing.
const (
	// Chosen: there is an upstream.
	Chosen Reason = iota
	// None: no upstream of the service is ready.
	None
	// Tried: every one was tried already.
	Tried
	// Full: every one is full.
	Full
)

// Choose returns the upstream for a request and takes a place there, which the
// caller gives back by Release.
func (p *Pool) Choose(req *Request, now time.Time) (*Upstream, Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates, reason := p.candidates(req, now)
	if reason != Chosen {
		return nil, reason
	}
	best := p.leastLoaded(candidates)
	if req.HasPart {
		best = sticky(candidates, req.Part)
	}
	best.own++
	if !best.avoidUntil.IsZero() {
		best.probing = true
	}
	return best, Chosen
}

// candidates returns the upstreams that may be chosen: the sound ones, or else
// those that are silent or were ejected.
func (p *Pool) candidates(req *Request, now time.Time) ([]*Upstream, Reason) {
	all := p.services[req.Service]
	if len(all) == 0 {
		return nil, None
	}
	var sound, doubtful []*Upstream
	full := false
	for _, u := range all {
		switch {
		case slices.Contains(req.Exclude, u.ID):
		case req.Limit != nil && u.load() >= req.Limit(u):
			full = true
		case p.sound(u, now):
			sound = append(sound, u)
		default:
			doubtful = append(doubtful, u)
		}
	}
	switch {
	case len(sound) > 0:
		return sound, Chosen
	case full:
		return nil, Full
	case len(doubtful) > 0:
		return doubtful, Chosen
	}
	return nil, Tried
}

// sound tells whether nothing speaks against an upstream. Silence counts only
// while the control group would have told of a report.
func (p *Pool) sound(u *Upstream, now time.Time) bool {
	if now.Before(u.avoidUntil) || u.probing {
		return false
	}
	return now.Sub(u.seen) < silentAfter || now.Sub(p.synced) > silentAfter/2
}

func (p *Pool) leastLoaded(candidates []*Upstream) *Upstream {
	return slices.MinFunc(candidates, func(a, b *Upstream) int {
		return cmp.Or(cmp.Compare(p.cost(a), p.cost(b)), cmp.Compare(a.own, b.own), cmp.Compare(a.ID, b.ID))
	})
}

func (p *Pool) cost(u *Upstream) int {
	if u.Zone == p.zone {
		return u.load()
	}
	return u.load() + zonePenalty
}

// sticky returns the upstream for a shared part: by rendezvous hashing, which all
// hosts compute alike, and bounded by load.
func sticky(candidates []*Upstream, part uint64) *Upstream {
	slices.SortFunc(candidates, func(a, b *Upstream) int {
		return cmp.Or(cmp.Compare(weight(b.ID, part), weight(a.ID, part)), cmp.Compare(a.ID, b.ID))
	})
	best := candidates[0]
	for _, u := range candidates[1:min(places, len(candidates))] {
		if best.load() > u.load()+spill {
			best = u
		}
	}
	return best
}

func weight(id string, part uint64) uint64 {
	var h xxhash.Digest
	h.Reset()
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], part)
	_, _ = h.Write(key[:])
	_, _ = h.WriteString(id)
	return h.Sum64()
}
