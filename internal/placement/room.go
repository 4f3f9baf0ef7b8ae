package placement

import (
	"math"
	"slices"
	"time"
)

// The estimates in this file tell which engines have room for a request, so that it need not wait for a slot and
// no stream is preempted for it. They order the engines and refuse no request: what a host knows of the
// requests of others is up to a second old and does not name the prefixes that these use.

const (
	// usedTokensWeight is the weight of a new request in the means of the KV-cache tokens used and reserved.
	usedTokensWeight = 0.02
	// maxReportInterval is the time between two reports from which their difference tells nothing of the present.
	maxReportInterval = 2 * time.Second
	// maxSubstituteDelay is the number of tokens by which the prefill backlog of a substitute may exceed the smallest
	// one. Engines prefill them in about 50 ms.
	maxSubstituteDelay = 3000
)

// occupancy is the KV cache of an engine that the requests of this host use.
type occupancy struct {
	// tokens counts each prefix once.
	tokens   int64
	prefixes map[uint64]*usedPrefix
}

// usedPrefix is a prefix that requests in flight use.
type usedPrefix struct {
	tokens int64
	users  int
}

// occupy adds the KV cache that an assigned request uses.
func (p *Pool) occupy(a *Assignment, req *Request) {
	o := &a.Upstream.occupied
	if !a.hasPrefix {
		a.ownTokens = a.kvTokens
		o.tokens += a.ownTokens
		return
	}
	p.statsOf(req.Service).addUse(req.PromptTokens+req.MaxOutputTokens, a.kvTokens)
	a.ownTokens = req.ownTokens()
	o.tokens += a.ownTokens
	prefix := o.prefixes[a.prefix]
	if prefix == nil {
		if o.prefixes == nil {
			o.prefixes = map[uint64]*usedPrefix{}
		}
		prefix = &usedPrefix{tokens: req.PrefixTokens}
		o.prefixes[a.prefix] = prefix
		o.tokens += prefix.tokens
	}
	prefix.users++
}

// vacate removes the KV cache that a request used.
func (a *Assignment) vacate() {
	o := &a.Upstream.occupied
	o.tokens -= a.ownTokens
	if !a.hasPrefix {
		return
	}
	prefix := o.prefixes[a.prefix]
	if prefix.users--; prefix.users == 0 {
		o.tokens -= prefix.tokens
		delete(o.prefixes, a.prefix)
	}
}

// ownTokens returns the KV-cache tokens that the request uses alone.
func (r *Request) ownTokens() int64 { return max(r.PromptTokens-r.PrefixTokens, 0) + r.MaxOutputTokens }

// addUse counts a request that uses used KV-cache tokens, of which reserved are reserved for it.
func (s *prefillStats) addUse(used, reserved int64) {
	s.usedTokens += usedTokensWeight * (float64(used) - s.usedTokens)
	s.reservedTokens += usedTokensWeight * (float64(reserved) - s.reservedTokens)
}

// usedBy estimates the KV-cache tokens that requests use for which reserved tokens are reserved, if they find as
// much cached as those of this host.
func (s *prefillStats) usedBy(reserved int64) int64 {
	if s.reservedTokens <= 0 {
		return reserved
	}
	return int64(float64(reserved) * max(s.usedTokens/s.reservedTokens, 1))
}

// reportTimes holds when the latest two reports came.
type reportTimes struct{ latest, previous time.Time }

func (t *reportTimes) add(now time.Time) { t.latest, t.previous = now, t.latest }

// growth returns how many times the growth of a load between the latest two reports is to be added to it now, if it
// goes on. What other hosts report to the control group is half an interval old on average when it comes.
func (t *reportTimes) growth(now time.Time) float64 {
	interval := t.latest.Sub(t.previous)
	if t.previous.IsZero() || interval <= 0 || interval > maxReportInterval || now.Sub(t.latest) > maxReportInterval {
		return 0
	}
	age := min(max(now.Sub(t.latest), 0), interval) + interval/2
	return float64(age) / float64(interval)
}

// setControlReported sets the load reported by the control group.
func (u *Upstream) setControlReported(load Load) {
	growth := load.Minus(u.controlReported)
	u.controlGrowth = Load{InFlight: max(growth.InFlight, 0), KVTokens: max(growth.KVTokens, 0)}
	u.controlReported = load
}

// loadOfOthers estimates the load of the other hosts now.
func (u *Upstream) loadOfOthers(growth float64) Load {
	return Load{
		InFlight: max(u.controlReported.InFlight+int(growth*float64(u.controlGrowth.InFlight)), u.peerReported.InFlight),
		KVTokens: max(u.controlReported.KVTokens+int64(growth*float64(u.controlGrowth.KVTokens)), u.peerReported.KVTokens),
	}
}

// withRoom returns the candidates that have room for the request.
func (p *Pool) withRoom(candidates []*Upstream, req *Request, stats *prefillStats, now time.Time) []*Upstream {
	growth := p.controlLoads.growth(now)
	if req.MovesRun {
		growth = 0
	}
	roomy := make([]*Upstream, 0, len(candidates))
	for _, u := range candidates {
		if u.hasRoom(req, stats, growth) {
			roomy = append(roomy, u)
		}
	}
	return roomy
}

// roomShare returns the share of an engine that may be in use with the request. The less urgent it is, the more must be
// left: a more urgent one that finds no room has it preempted. A run that is moved would fare no better where it is.
func (r *Request) roomShare() float64 {
	if r.MovesRun {
		return 1
	}
	return max(1-rankShareStep*float64(r.Rank), minRankShare)
}

// hasRoom reports whether the engine has a slot and KV cache for the request.
func (u *Upstream) hasRoom(req *Request, stats *prefillStats, growth float64) bool {
	others := u.loadOfOthers(growth)
	inFlight := u.own.InFlight + others.InFlight
	if inFlight <= 0 {
		return true
	}
	share := req.roomShare()
	if slots := max(req.Slots, u.Slots); slots > 0 && inFlight >= int(share*float64(slots)) {
		return false
	}
	if req.KVCapacity <= 0 {
		return true
	}
	needed := req.ownTokens()
	if req.MovesRun || u.occupied.prefixes[req.Prefix] == nil {
		needed += req.PrefixTokens
	}
	return u.occupied.tokens+stats.usedBy(others.KVTokens)+needed <= int64(share*maxKVShare*float64(req.KVCapacity))
}

// substitute returns an engine with room for a prefix whose home has none, or no engine if those for the prefix have long
// prefill backlogs. All hosts try the engines in the same order, so that few cache the prefix. If the first n have no room,
// one of the next n+1 with room is drawn: the prefix needs more than n, and hosts that all chose the same would fill it
// before they learn of each other.
func (p *Pool) substitute(candidates, roomy []*Upstream, prefix uint64) []*Upstream {
	order := slices.Clone(candidates)
	slices.SortFunc(order, func(a, b *Upstream) int { return compareHomes(b, a, prefix) })
	full := slices.IndexFunc(order, func(u *Upstream) bool { return slices.Contains(roomy, u) })
	order = slices.DeleteFunc(order[full:], func(u *Upstream) bool { return !slices.Contains(roomy, u) })
	maxBacklog := minBacklog(roomy) + maxSubstituteDelay
	order = slices.DeleteFunc(order[:min(full+1, len(order))], func(u *Upstream) bool { return u.backlog() > maxBacklog })
	if len(order) == 0 {
		return nil
	}
	i := p.random(len(order))
	return order[i : i+1]
}

// minBacklog returns the smallest prefill backlog of the engines.
func minBacklog(engines []*Upstream) int64 {
	smallest := int64(math.MaxInt64)
	for _, u := range engines {
		smallest = min(smallest, u.backlog())
	}
	return smallest
}
