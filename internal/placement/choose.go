package placement

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The costs of a choice, in prompt tokens to read: engines read some 50 tokens a
// millisecond, and reading is what the first event of an answer waits for.
const (
	// openCost is the delay by one running request, which slows each step of an engine.
	openCost = 60
	// transferCost is the delay and the price of moving a shared part between
	// engines; reading one again costs its tokens.
	transferCost = 2500
	// strayCost keeps a part on few engines, whose memory is limited.
	strayCost = 8000
	// plainZoneCost is the number of requests by which an upstream of another zone
	// must be less loaded than one of the own zone.
	plainZoneCost = 1
	// partRetention is how long a part counts as kept after its last use.
	partRetention = 45 * time.Second
	// readingLimit is how long a part counts as being read: the largest prompts take two
	// seconds.
	readingLimit = 3 * time.Second
	// toldTokens is the size from which other hosts are told at once of a prompt to read.
	toldTokens = 2000
	// maxParts bounds the parts that are remembered for an upstream.
	maxParts = 4096
)

// Request is what a choice depends on.
type Request struct {
	Service string
	// Tokens is the size of the prompt; 0 for plain services.
	Tokens int64
	// Part is the hash of the last part of the prompt that other requests share,
	// and PartTokens the size up to its end. HasPart is false without one.
	Part       uint64
	PartTokens int64
	HasPart    bool
	// Output is the most that is generated, in tokens.
	Output int64
	// Transfers tells that engines can fetch a part from each other.
	Transfers bool
	// Memory is the size of an engine's memory in tokens; 0 if it is not known.
	Memory int64
	// Objective is the time within which the answer should begin; 0 if there is none.
	Objective time.Duration
	// Rank orders requests when capacity is short; 0 goes first.
	Rank int
	// Exclude holds the ids of upstreams that were tried.
	Exclude []string
	// Limit is the number of open requests at which an upstream is full.
	Limit func(u *Upstream) int
}

// Place is a request's place at an upstream. Release gives it back.
type Place struct {
	*Upstream
	// Source is the address of an upstream that is likely to keep the shared part,
	// if this one does not; it may be empty.
	Source string
	// Ahead is the backlog in tokens with the request itself, and Pace the reading
	// speed in tokens a millisecond, as of the choice.
	Ahead int64
	Pace  float64

	part    uint64
	hasPart bool
	unread  int64
	// resident is what the request keeps in memory.
	resident int64
	since    time.Time
	began    bool
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

// Refusal tells why no upstream was chosen, with what decided it.
type Refusal struct {
	Reason Reason
	// After is the time after which there may be a place.
	After time.Duration
	// Least is the least backlog in tokens among the engines, and Pace their reading
	// speed in tokens a millisecond; both are 0 for plain services.
	Least int64
	Pace  float64
}

// Choose takes a place for a request, or tells why there is none.
func (p *Pool) Choose(req *Request, now time.Time) (*Place, *Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates, reason := p.candidates(req, now)
	if reason != Chosen {
		return nil, &Refusal{Reason: reason, After: minRetry}
	}
	l := &Place{Upstream: p.leastLoaded(candidates), unread: req.Tokens}
	if req.HasPart {
		var least int64
		c := p.paceOf(req.Service)
		l, least = p.bySharedPart(req, candidates, c, now)
		c.count(l == nil, now)
		if l == nil {
			return nil, &Refusal{Reason: Full, After: c.retryAfter(req, least), Least: least, Pace: c.tokens}
		}
	}
	p.take(l, req, now)
	return l, nil
}

func (p *Pool) take(l *Place, req *Request, now time.Time) {
	l.resident = l.unread + req.Output
	l.Ahead, l.Pace, l.since = l.unread+max(l.Upstream.unread(), 0), p.paceOf(req.Service).tokens, now
	p.choices++
	l.Upstream.chosen = p.choices
	l.own.Open++
	l.own.Unread += l.unread
	l.own.Resident += l.resident
	if l.hasPart && !l.keeps(l.part, now) {
		l.Upstream.read(l.part, now)
		p.noteKept(Kept{Part: l.part, Upstream: shortName(l.ID), Reading: true})
	}
	if l.unread >= toldTokens {
		p.noteChange()
	}
	if !l.avoidUntil.IsZero() {
		l.probing = true
	}
}

// Begin notes that the upstream has read the prompt and answers.
func (p *Pool) Begin(l *Place, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.began {
		return
	}
	p.begin(l)
	if l.hasPart {
		p.paceOf(l.Service).sample(l.Ahead, now.Sub(l.since))
		l.Upstream.keep(l.part, now)
		p.noteKept(Kept{Part: l.part, Upstream: shortName(l.ID)})
	}
}

func (p *Pool) begin(l *Place) {
	if !l.began {
		l.began = true
		l.own.Unread -= l.unread
		if l.unread >= toldTokens {
			p.noteChange()
		}
	}
}

// Release gives the place back.
func (p *Pool) Release(l *Place) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !l.began && l.hasPart && !l.parts[l.part].read {
		delete(l.parts, l.part)
	}
	p.begin(l)
	l.own.Open--
	l.own.Resident -= l.resident
}

// keep notes that the upstream has read a part.
func (u *Upstream) keep(part uint64, now time.Time) {
	u.note(part, partState{at: now, read: true})
}

// read notes that the upstream is about to read a part.
func (u *Upstream) read(part uint64, now time.Time) {
	u.note(part, partState{at: now})
}

func (u *Upstream) note(part uint64, state partState) {
	if u.parts == nil || len(u.parts) >= maxParts {
		u.parts = map[uint64]partState{}
	}
	u.parts[part] = state
}

// keeps tells whether the upstream is likely to have a part in memory.
func (u *Upstream) keeps(part uint64, now time.Time) bool {
	s := u.parts[part]
	return s.read && now.Sub(s.at) < partRetention
}

// reads tells whether the upstream is likely to be reading a part.
func (u *Upstream) reads(part uint64, now time.Time) bool {
	s, known := u.parts[part]
	return known && !s.read && now.Sub(s.at) < readingLimit
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
		case req.Limit != nil && u.open() >= req.Limit(u):
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

// sound tells whether nothing speaks against an upstream.
func (p *Pool) sound(u *Upstream, now time.Time) bool {
	return !now.Before(u.avoidUntil) && !u.probing && !u.silent
}

func (p *Pool) leastLoaded(candidates []*Upstream) *Upstream {
	return slices.MinFunc(candidates, func(a, b *Upstream) int {
		return cmp.Or(cmp.Compare(p.plainCost(a), p.plainCost(b)), cmp.Compare(a.own.Open, b.own.Open), cmp.Compare(a.chosen, b.chosen), cmp.Compare(a.ID, b.ID))
	})
}

func (p *Pool) plainCost(u *Upstream) int {
	if u.Zone == p.zone {
		return u.open()
	}
	return u.open() + plainZoneCost
}

// bySharedPart weighs what an engine has to read, for the request itself and for
// those before it, against moving the shared part. Where nothing is known the
// part's home by rendezvous hashing, which all hosts compute alike, is taken to
// keep it. Without an engine that may take the request it returns nil and the least
// backlog.
func (p *Pool) bySharedPart(req *Request, candidates []*Upstream, c *pace, now time.Time) (best *Place, least int64) {
	home := slices.MaxFunc(candidates, func(a, b *Upstream) int {
		return cmp.Or(cmp.Compare(weight(a.ID, req.Part), weight(b.ID, req.Part)), cmp.Compare(a.ID, b.ID))
	})
	holder := holderOf(req.Part, home, candidates, now)
	least = math.MaxInt64
	var bestCost int64
	for _, u := range candidates {
		unread, extra := req.toRead(u, u == home, holder, now)
		least = min(least, u.unread())
		if !c.admits(req, u, unread) || !fits(req, u, unread+req.Output) {
			continue
		}
		cost := u.unread() + unread + extra + int64(u.open())*openCost
		if best == nil || cost < bestCost || cost == bestCost && u.ID < best.ID {
			best, bestCost = &Place{Upstream: u, part: req.Part, hasPart: true, unread: unread}, cost
		}
	}
	if best != nil && req.Transfers && holder != best.Upstream && !best.keeps(req.Part, now) && !best.reads(req.Part, now) {
		best.Source = holder.Address
	}
	return best, least
}

// holderOf returns the upstream that most likely keeps a part.
func holderOf(part uint64, home *Upstream, candidates []*Upstream, now time.Time) *Upstream {
	if home.keeps(part, now) {
		return home
	}
	for _, u := range candidates {
		if u.keeps(part, now) {
			return u
		}
	}
	return home
}

// toRead returns what u has to read of the prompt, and what else counts against it.
func (req *Request) toRead(u *Upstream, home bool, holder *Upstream, now time.Time) (unread, extra int64) {
	own := max(req.Tokens-req.PartTokens, 0)
	switch {
	case u.keeps(req.Part, now), u.reads(req.Part, now):
		return own, 0
	case home:
		return req.Tokens, 0
	case req.Transfers && holder.keeps(req.Part, now):
		return own, transferCost + strayCost
	default:
		return req.Tokens, strayCost
	}
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
