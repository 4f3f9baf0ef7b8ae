package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/godwitbend/godwitbend/internal/presence"
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
	// Exclude holds the ids of upstreams already tried.
	Exclude []string
	// MaxInFlight returns the number of in-flight requests at which an upstream is full.
	MaxInFlight func(u *Upstream) int
}

// Assignment is the placement of one request at an upstream. It counts towards the
// upstream's load until Pool.Release.
type Assignment struct {
	*Upstream
	// PrefixSource is the address of the upstream that most likely has the prefix
	// cached, if the assigned one does not; it may be empty.
	PrefixSource string
	// Backlog is the upstream's prefill backlog in tokens, including this request, and
	// PrefillRate its prefill rate in tokens per millisecond, both at assignment.
	Backlog     int64
	PrefillRate float64

	prefix      uint64
	hasPrefix   bool
	unprefilled int64
	// kvTokens is the number of KV-cache tokens reserved for the request.
	kvTokens   int64
	assignedAt time.Time
	prefilled  bool
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

func (p *Pool) assign(a *Assignment, req *Request, now time.Time) {
	a.resumes = req.Resumes
	a.kvTokens = a.unprefilled + req.MaxOutputTokens
	a.Backlog, a.PrefillRate, a.assignedAt = a.unprefilled+max(a.Upstream.backlog(), 0), p.statsOf(req.Service).rate, now
	p.choices++
	a.Upstream.lastChoice = p.choices
	a.limit.use()
	a.reserveWhileCold(now)
	a.own.InFlight++
	a.own.Backlog += a.unprefilled
	a.own.KVTokens += a.kvTokens
	if a.hasPrefix && !a.likelyCached(a.prefix, now) {
		a.Upstream.markPrefilling(a.prefix, now)
		p.addRecentPrefix(CachedPrefix{Prefix: a.prefix, Upstream: ShortID(a.ID), Prefilling: true})
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
	a.Upstream.answeredAt = now
	p.observeConnection(a.Upstream, false, now)
	p.clearBacklog(a)
	if a.hasPrefix {
		p.statsOf(a.Service).addSample(a.Backlog, now.Sub(a.assignedAt))
		a.Upstream.markCached(a.prefix, now)
		p.addRecentPrefix(CachedPrefix{Prefix: a.prefix, Upstream: ShortID(a.ID)})
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
}

// candidates returns the upstreams that may be chosen: the healthy ones or, if there are
// none and no upstream is full or limited for another reason than that it is cold, those that are
// ejected or whose heartbeat is overdue.
func (p *Pool) candidates(req *Request, now time.Time) ([]*Upstream, *Refusal) {
	all := p.services[req.Service]
	if len(all) == 0 {
		return nil, &Refusal{Reason: NoneReady, RetryAfter: minRetryAfter}
	}
	var healthy, unhealthy []*Upstream
	full, staying, ofVersion, limited, warmUp := false, 0, 0, false, false
	shortestWait, unconfirmed := time.Duration(0), time.Duration(0)
	brittle := p.isBrittle(req.Service, now)
	for _, u := range all {
		if u.isLeaving(now) {
			continue
		}
		staying++
		if !req.fitsVersion(u) {
			continue
		}
		ofVersion++
		switch {
		case slices.Contains(req.Exclude, u.ID):
		case req.Resumes && p.isUnconfirmed(u, now):
			if rest := u.untilConfirmed(); unconfirmed == 0 || rest < unconfirmed {
				unconfirmed = rest
			}
		case req.MaxInFlight != nil && u.inFlight() >= req.MaxInFlight(u):
			full = true
		case brittle && u.own.InFlight >= p.brittleShare(u):
			full = true
		case u.nextRequest(now) > 0:
			if wait := u.nextRequest(now); shortestWait == 0 || wait < shortestWait {
				shortestWait = wait
			}
			if u.warmUp != nil {
				warmUp = true
			} else {
				limited = true
			}
		case p.healthy(u, now):
			healthy = append(healthy, u)
		default:
			unhealthy = append(unhealthy, u)
		}
	}
	switch {
	case len(healthy) > 0:
		return healthy, nil
	case staying == 0:
		return nil, &Refusal{Reason: NoneReady, RetryAfter: minRetryAfter}
	case ofVersion == 0:
		return nil, &Refusal{Reason: NoneOfVersion, RetryAfter: minRetryAfter}
	case full:
		return nil, &Refusal{Reason: AllFull, RetryAfter: minRetryAfter}
	case limited || warmUp && len(unhealthy) == 0:
		return nil, &Refusal{Reason: AllLimited, RetryAfter: max(shortestWait, minRetryAfter), WarmUp: warmUp}
	case len(unhealthy) > 0:
		return unhealthy, nil
	case unconfirmed > 0:
		return nil, &Refusal{Reason: VersionUnconfirmed, RetryAfter: unconfirmed}
	}
	return nil, &Refusal{Reason: AllTried, RetryAfter: minRetryAfter}
}

// fitsVersion reports whether the upstream can go on with the stream that the request resumes, if
// it does: what another software version continues does not fit the events before.
func (r *Request) fitsVersion(u *Upstream) bool {
	return !r.Resumes || r.Version != "" && r.Version == u.Version
}

// nextRequest returns the time until the upstream takes another request of this host, by what it
// said in answers and as far as it is cold; 0 if it takes one now.
func (u *Upstream) nextRequest(now time.Time) time.Duration {
	wait := u.wait(now)
	if !u.limit.allows(now) {
		wait = max(wait, u.limit.wait())
	}
	if u.warmUp != nil {
		wait = max(wait, u.warmUp.next(u, now))
	}
	return wait
}

// healthy reports whether an upstream is neither ejected nor being probed, and has given a sign of
// life lately: a heartbeat, or an answer to this host, which may reach it while the control group
// does not hear from it.
func (p *Pool) healthy(u *Upstream, now time.Time) bool {
	alive := !u.heartbeatOverdue || now.Sub(u.answeredAt) < presence.HeartbeatTimeout
	return !now.Before(u.ejectedUntil) && !u.probing && alive
}

func (p *Pool) leastLoaded(candidates []*Upstream) *Upstream {
	return slices.MinFunc(candidates, func(a, b *Upstream) int {
		return cmp.Or(cmp.Compare(p.zoneAdjustedInFlight(a), p.zoneAdjustedInFlight(b)), cmp.Compare(a.own.InFlight, b.own.InFlight), cmp.Compare(a.lastChoice, b.lastChoice), cmp.Compare(a.ID, b.ID))
	})
}

func (p *Pool) zoneAdjustedInFlight(u *Upstream) int {
	if u.Zone == p.zone {
		return u.inFlight()
	}
	return u.inFlight() + crossZoneCost
}

// cheapestEngine returns the engine of lowest cost, or nil if none may accept the request,
// and the smallest backlog of the candidates. If no engine is known to cache the prefix,
// its home engine is assumed to; rendezvous hashing gives the same home on all hosts.
func (p *Pool) cheapestEngine(req *Request, candidates []*Upstream, stats *prefillStats, now time.Time) (best *Assignment, minBacklog int64) {
	home := slices.MaxFunc(candidates, func(a, b *Upstream) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(a.ID, req.Prefix), rendezvousWeight(b.ID, req.Prefix)), cmp.Compare(a.ID, b.ID))
	})
	holders := likelyHolders(req.Prefix, home, candidates, now)
	minBacklog = math.MaxInt64
	limit, byValue := p.valueLimit(req, stats, now)
	var bestCost int64
	for _, u := range candidates {
		unprefilled, penalty := req.prefillCost(u, u == home, holders.of(u.Version), now)
		minBacklog = min(minBacklog, u.backlog())
		if !stats.hasBacklogRoom(req, u, unprefilled, limit, byValue) || !fitsKVCache(req, u, unprefilled+req.MaxOutputTokens) {
			continue
		}
		cost := u.backlog() + unprefilled + penalty + int64(u.inFlight())*inFlightCost
		if best == nil || cost < bestCost || cost == bestCost && u.ID < best.ID {
			best, bestCost = &Assignment{Upstream: u, prefix: req.Prefix, hasPrefix: true, unprefilled: unprefilled}, cost
		}
	}
	if best == nil {
		return nil, minBacklog
	}
	holder := holders.of(best.Version)
	if req.PrefixTransfer && holder != nil && holder != best.Upstream && !best.likelyCached(req.Prefix, now) && !best.likelyPrefilling(req.Prefix, now) {
		best.PrefixSource = holder.Address
	}
	return best, minBacklog
}
