package placement

import (
	"cmp"
	"slices"
	"time"
)

// Placement costs are expressed in prompt tokens to prefill, because prefill
// dominates the time to first token. Engines prefill about 50 tokens per millisecond.
const (
	// inFlightCost is the delay caused by one in-flight request, which slows down
	// every step of an engine.
	inFlightCost = 60
	// prefixTransferCost covers the delay and the load of transferring a prompt prefix
	// between engines. Prefilling it again costs its number of tokens.
	prefixTransferCost = 2500
	// nonHomeCost discourages copies of a prefix on engines other than its home,
	// because KV-cache memory is limited.
	nonHomeCost = 8000
	// crossZoneCost is the number of in-flight requests added to the load of an
	// upstream in another zone when it is compared with one in the local zone.
	crossZoneCost = 1
	// prefixRetention is how long a prefix is assumed to stay cached after its last use.
	prefixRetention = 45 * time.Second
	// maxPrefillTime is how long a prefix is assumed to be in prefill. The largest
	// prompts take two seconds.
	maxPrefillTime = 3 * time.Second
	// immediatePublishTokens is the number of tokens to prefill for one request from
	// which the change of the prefill backlog is published to other hosts immediately.
	immediatePublishTokens = 2000
	// drawnEngines is the mean number of engines without the prefix of which a host of a large fleet chooses the cheapest.
	drawnEngines = 16
	// maxPrefixes bounds the prefixes tracked per upstream.
	maxPrefixes = 4096
)

// Request holds the properties of a request that determine its placement.
type Request struct {
	Service string
	// PromptTokens is the size of the prompt; 0 for a plain service.
	PromptTokens int64
	// Prefix is the hash of the longest prompt prefix shared with other requests, and
	// PrefixTokens its size. HasPrefix is false if there is no such prefix.
	Prefix       uint64
	PrefixTokens int64
	HasPrefix    bool
	// MaxOutputTokens is the maximum number of generated tokens.
	MaxOutputTokens int64
	// PrefixTransfer reports whether engines can fetch the KV cache of a prefix from
	// each other.
	PrefixTransfer bool
	// KVCapacity is the KV-cache capacity of an engine in tokens; 0 if unknown.
	KVCapacity int64
	// Slots is the number of requests that an engine runs at once, as configured; 0 if unknown.
	Slots int
	// LatencyObjective is the time within which the answer should begin; 0 for none.
	LatencyObjective time.Duration
	// Rank orders requests when capacity is short; 0 is served first.
	Rank int
	// Waited is the time since the request's arrival, TimeLeft the time to its deadline, and Organisation
	// the name of the caller's organisation, or empty. They count only where Pool.OrderByValue was called.
	Waited, TimeLeft time.Duration
	Organisation     string
	// Resumes reports that the request goes on with a stream that an upstream of the software
	// version Version began. Only upstreams of that version can; none can if it is empty.
	Resumes bool
	Version string
	// MovesRun reports that the request goes on with a copy of the KV cache of its run: it prefills no prompt, and
	// an engine refuses a copy for which it has no room.
	MovesRun bool
	// AsksFull reports that a run that is moved may be assigned to an engine that has no room by the latest reports. The engine knows better.
	AsksFull bool
	// Exclude holds the ids of upstreams already tried.
	Exclude []string
	// MaxInFlight returns the number of in-flight requests at which an upstream is full.
	MaxInFlight func(u *Upstream) int
}

// Assignment is the placement of one request at an upstream, as that was described when it was chosen. It counts
// towards the upstream's load until Pool.Release.
type Assignment struct {
	*Upstream
	// PrefixSource is the address of the upstream that most likely has the prefix
	// cached, if the assigned one does not; it may be empty.
	PrefixSource string
	// Backlog is the upstream's prefill backlog in tokens, including this request, and
	// PrefillRate its prefill rate in tokens per millisecond, both at assignment.
	Backlog     int64
	PrefillRate float64
	// Crowded reports that no engine had room, so that the request may wait for a slot there or have
	// another one preempted.
	Crowded bool

	prefix      uint64
	hasPrefix   bool
	unprefilled int64
	// kvTokens is the number of KV-cache tokens reserved for the request, and ownTokens the number of those
	// that it uses alone.
	kvTokens, ownTokens int64
	assignedAt          time.Time
	prefilled           bool
	// coldReservation is the limit that the request was taken from, until it is sent; nil if the
	// upstream was not cold.
	coldReservation *warmUp
	// resumes reports that the request goes on with a stream.
	resumes bool
}

// Reason tells whether an upstream was chosen and, if not, why.
type Reason uint8

// The values of Reason.
const (
	// Chosen: an upstream is available.
	Chosen Reason = iota
	// NoneReady: the service has no ready upstream.
	NoneReady
	// AllTried: every ready upstream was already tried.
	AllTried
	// AllFull: no upstream has capacity for the request.
	AllFull
	// AllLimited: every upstream that has capacity limits its requests or has asked to wait.
	AllLimited
	// NoneOfVersion: no ready upstream has the software version of the stream to resume.
	NoneOfVersion
	// VersionUnconfirmed: each ready upstream of the version may have restarted with another one, as a
	// connection to it broke lately or this host does not know the latest upstreams.
	VersionUnconfirmed
)

// Refusal reports why no upstream was chosen and the load that led to the decision.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
	// MinBacklog is the smallest prefill backlog among the engines, in tokens, and
	// PrefillRate their prefill rate in tokens per millisecond; both are 0 for plain
	// services.
	MinBacklog  int64
	PrefillRate float64
	// WarmUp reports that the requests to a cold upstream are limited.
	WarmUp bool
	// Share is the share of the engines' capacity that the request might have used, and PredictedStart
	// the time after which the prefill of the request would have begun. Both are 0 unless requests are
	// admitted by value.
	Share          float64
	PredictedStart time.Duration
}

// Choose assigns a request to an upstream, or returns the reason for refusing it.
func (p *Pool) Choose(req *Request, now time.Time) (*Assignment, *Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates, refusal := p.candidates(req, now)
	if refusal != nil {
		return nil, refusal
	}
	if req.MovesRun {
		return p.chooseForRun(req, candidates, now)
	}
	a := &Assignment{Upstream: p.leastLoaded(candidates), unprefilled: req.PromptTokens}
	if req.HasPrefix {
		var minBacklog int64
		stats := p.statsOf(req.Service)
		a, minBacklog = p.cheapestEngine(req, candidates, stats, now)
		stats.countRequest(a == nil, now)
		if a == nil {
			refusal = &Refusal{Reason: AllFull, RetryAfter: stats.retryAfter(req, minBacklog), MinBacklog: minBacklog, PrefillRate: stats.rate}
		}
		p.countDecision(req, stats, refusal, now)
		if refusal != nil {
			return nil, refusal
		}
	}
	p.assign(a, req, now)
	return a, nil
}

// chooseForRun assigns a run that is moved to the least loaded engine with room for it, or to the least loaded one of all if it asks
// full engines too.
func (p *Pool) chooseForRun(req *Request, candidates []*Upstream, now time.Time) (*Assignment, *Refusal) {
	roomy := p.withRoom(candidates, req, p.statsOf(req.Service), now)
	if len(roomy) == 0 && req.AsksFull {
		roomy = candidates
	}
	if len(roomy) == 0 {
		return nil, &Refusal{Reason: AllFull, RetryAfter: minRetryAfter}
	}
	a := &Assignment{Upstream: p.leastLoaded(roomy)}
	p.assign(a, req, now)
	return a, nil
}

func (p *Pool) assign(a *Assignment, req *Request, now time.Time) {
	a.resumes = req.Resumes
	a.kvTokens = req.addedTokens(a.Upstream, now) + req.MaxOutputTokens
	a.Backlog, a.PrefillRate, a.assignedAt = a.unprefilled+max(a.Upstream.backlog(), 0), p.statsOf(req.Service).rate, now
	p.choices++
	a.Upstream.lastChoice = p.choices
	a.limit.use()
	a.reserveWhileCold(now)
	a.own.InFlight++
	a.own.Backlog += a.unprefilled
	a.own.KVTokens += a.kvTokens
	p.occupy(a, req)
	if a.hasPrefix && !a.likelyCached(a.prefix, now) {
		a.Upstream.markPrefilling(a.prefix, now)
		p.addRecentPrefix(CachedPrefix{Prefix: a.prefix, Upstream: ShortID(a.ID), Prefilling: true})
		p.addNews(CachedPrefix{Prefix: a.prefix, Upstream: ShortID(a.ID), Prefilling: true}, now)
	}
	if a.unprefilled >= immediatePublishTokens {
		p.notifyLoadChanged()
	}
	if !a.ejectedUntil.IsZero() {
		a.probing = true
	}
}

// MarkPrefilled records that the upstream has prefilled the prompt and begun to answer.
func (p *Pool) MarkPrefilled(a *Assignment, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.prefilled {
		return
	}
	a.answeredAt = now
	p.observeConnection(p.observed(a), false, now)
	p.clearBacklog(a)
	if a.hasPrefix {
		p.statsOf(a.Service).addSample(a.Backlog, now.Sub(a.assignedAt))
		cached := CachedPrefix{Prefix: a.prefix, Upstream: ShortID(a.ID)}
		if a.Upstream.learnPrefix(cached, now) {
			p.addNews(cached, now)
		}
		p.addRecentPrefix(cached)
	}
}

func (p *Pool) clearBacklog(a *Assignment) {
	if !a.prefilled {
		a.prefilled = true
		a.own.Backlog -= a.unprefilled
		if a.unprefilled >= immediatePublishTokens {
			p.notifyLoadChanged()
		}
	}
}

// Release removes the request from the upstream's load. A prefix whose prefill has
// not finished is forgotten.
func (p *Pool) Release(a *Assignment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !a.prefilled && a.hasPrefix && !a.prefixes[a.prefix].cached {
		delete(a.prefixes, a.prefix)
	}
	p.clearBacklog(a)
	a.releaseColdReservation()
	a.own.InFlight--
	a.own.KVTokens -= a.kvTokens
	a.vacate()
}

// cheapestEngine returns the engine of lowest cost, or nil if none may accept the request,
// and the smallest prefill backlog of the candidates. Those that have room come first, so that no stream is
// preempted. If no engine is known to cache the prefix, its home engine is assumed to; rendezvous
// hashing gives the same home on all hosts.
func (p *Pool) cheapestEngine(req *Request, candidates []*Upstream, stats *prefillStats, now time.Time) (best *Assignment, smallestBacklog int64) {
	smallestBacklog = minBacklog(candidates)
	home := slices.MaxFunc(candidates, func(a, b *Upstream) int { return compareHomes(a, b, req.Prefix) })
	c := &engineChoice{req: req, stats: stats, now: now, home: home, holders: likelyHolders(req.Prefix, home, candidates, now)}
	c.limit, c.byValue = p.valueLimit(req, stats, now)
	roomy := p.withRoom(candidates, req, stats, now)
	best = p.cheapestWithRoom(c, candidates, roomy)
	if best == nil && len(roomy) < len(candidates) {
		best = c.cheapestCrowded(candidates)
	}
	if best == nil && len(p.neighbourhoods) > 0 {
		// Backlogs that other hosts of a large fleet reported are estimates, and refuse no request.
		c.ownBacklog = true
		if best = c.cheapest(roomy); best == nil {
			best = c.cheapestCrowded(candidates)
		}
	}
	if best == nil {
		return nil, smallestBacklog
	}
	holder := c.holders.of(best.Version)
	if req.PrefixTransfer && holder != nil && holder != best.Upstream && !best.likelyCached(req.Prefix, now) && !best.likelyPrefilling(req.Prefix, now) {
		best.PrefixSource = holder.Address
	}
	return best, smallestBacklog
}

// cheapestWithRoom returns the preferred engine of those with room, or nil.
func (p *Pool) cheapestWithRoom(c *engineChoice, candidates, roomy []*Upstream) (best *Assignment) {
	if len(roomy) > 0 && !slices.Contains(roomy, c.home) {
		best = c.cheapest(p.substitute(candidates, roomy, c.req.Prefix))
	}
	if best == nil && len(p.neighbourhoods) > 0 {
		best = c.cheapest(p.draw(c, roomy))
	}
	if best == nil {
		best = c.cheapest(roomy)
	}
	return best
}

// draw returns the engines that likely have the prefix, and a random drawnEngines of the others. Hosts that learn late of each
// other would all choose the one whose backlog has just become the smallest, and fill it.
func (p *Pool) draw(c *engineChoice, engines []*Upstream) []*Upstream {
	drawn := make([]*Upstream, 0, 2*drawnEngines)
	for _, u := range engines {
		if u == c.home || u.likelyCached(c.req.Prefix, c.now) || u.likelyPrefilling(c.req.Prefix, c.now) || p.random(len(engines)) < drawnEngines {
			drawn = append(drawn, u)
		}
	}
	return drawn
}

// cheapestCrowded returns the cheapest engine though it has no room, or nil.
func (c *engineChoice) cheapestCrowded(candidates []*Upstream) *Assignment {
	best := c.cheapest(candidates)
	if best != nil {
		best.Crowded = true
	}
	return best
}

// compareHomes orders upstreams by their preference as the home of a prefix; the home is the greatest.
func compareHomes(a, b *Upstream, prefix uint64) int {
	return cmp.Or(cmp.Compare(rendezvousWeight(a.ID, prefix), rendezvousWeight(b.ID, prefix)), cmp.Compare(a.ID, b.ID))
}

// engineChoice holds what the choice of an engine for a request depends on.
type engineChoice struct {
	req     *Request
	stats   *prefillStats
	now     time.Time
	limit   admissionLimit
	byValue bool
	home    *Upstream
	holders prefixHolders
	// ownBacklog admits by the prefill backlog that this host causes alone.
	ownBacklog bool
}

// cheapest returns the candidate of lowest cost that may accept the request, or nil.
func (c *engineChoice) cheapest(candidates []*Upstream) (best *Assignment) {
	req := c.req
	var bestCost int64
	for _, u := range candidates {
		unprefilled, penalty := req.prefillCost(u, u == c.home, c.holders.of(u.Version), c.now)
		if !c.admits(u, unprefilled) || !fitsKVCache(req, u, req.addedTokens(u, c.now)+req.MaxOutputTokens) {
			continue
		}
		cost := u.backlog() + unprefilled + penalty + int64(u.inFlight())*inFlightCost
		if best == nil || cost < bestCost || cost == bestCost && u.ID < best.ID {
			best, bestCost = &Assignment{Upstream: u, prefix: req.Prefix, hasPrefix: true, unprefilled: unprefilled}, cost
		}
	}
	return best
}

// admits reports whether the backlog of u leaves room for the request.
func (c *engineChoice) admits(u *Upstream, unprefilled int64) bool {
	backlog := u.backlog()
	if c.ownBacklog {
		backlog = u.own.Backlog
	}
	return c.stats.hasBacklogRoom(c.req, backlog, unprefilled, c.limit, c.byValue)
}
