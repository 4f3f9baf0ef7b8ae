package placement

import (
	"math"
	"time"
)

// The limits in this file protect engines from more prompts than they can prefill, due to
// bursts, hot keys or the loss of engines. Engines prefill in order of arrival and delay
// their running streams meanwhile. Without a limit the backlog grows until no answer
// begins within its latency objective or ends within its deadline.

const (
	// initialPrefillRate is the prefill rate, in tokens per millisecond, assumed until
	// samples exist. Engines without other work prefill 55 to 64 tokens per millisecond.
	initialPrefillRate = 40
	minPrefillRate     = 4
	maxPrefillRate     = 1000
	// slowerSampleWeight and fasterSampleWeight are the weights of a new sample below or
	// above the current rate. With these the rate converges to the lower quartile of the
	// samples.
	slowerSampleWeight = 0.12
	fasterSampleWeight = 0.04
	// minSampleTokens is the smallest backlog used as a sample.
	minSampleTokens = 6000
	// rankShareStep is the share of the backlog limit that each rank has less than the
	// preceding one, and minRankShare the smallest share of any rank: when capacity is
	// short, more urgent requests are refused last.
	rankShareStep = 0.15
	minRankShare  = 0.4
	// largePromptShare is the share of the backlog limit up to which an engine accepts
	// any prompt, so that prompts larger than the limit are served too.
	largePromptShare = 0.35
	// resumedBacklogFactor is the factor by which the backlog limit is higher for resumed
	// streams. Their callers have received events, and wait longer for the next one than the
	// latency objective of the first.
	resumedBacklogFactor = 2
	// maxKVShare is the share of the KV-cache capacity that requests may fill. Beyond it
	// an engine preempts running requests and prefills their prompts again.
	maxKVShare = 0.85
	// refusalTimeConstant is the decay time constant of the request and refusal counts.
	refusalTimeConstant = 2 * time.Second
	// overloadRefusalRatio is the ratio of recently refused requests above which the
	// retry delay is overloadRetryAfter instead of the time to work off the backlog.
	overloadRefusalRatio = 0.15
	overloadRetryAfter   = 2 * time.Second
	minRetryAfter        = 100 * time.Millisecond
	maxRetryAfter        = 3 * time.Second
)

// prefillStats holds the measured prefill rate of a service's engines and the share of
// its requests that was refused.
type prefillStats struct {
	// rate is the prefill rate in tokens per millisecond.
	rate float64
	// requests and refused are exponentially decayed counts.
	requests, refused float64
	countedAt         time.Time
	// usedTokens is the mean number of KV-cache tokens that a request uses, and reservedTokens that of those
	// reserved for it, which leave out the prefixes found cached.
	usedTokens, reservedTokens float64
}

func (p *Pool) statsOf(service string) *prefillStats {
	s := p.stats[service]
	if s == nil {
		s = &prefillStats{rate: initialPrefillRate}
		p.stats[service] = s
	}
	return s
}

// addSample updates the prefill rate with a backlog of tokens and the time its prefill
// took.
func (s *prefillStats) addSample(tokens int64, took time.Duration) {
	if tokens < minSampleTokens || took <= 0 {
		return
	}
	measured := float64(tokens) / (float64(took) / float64(time.Millisecond))
	measured = min(max(measured, minPrefillRate), maxPrefillRate)
	weight := fasterSampleWeight
	if measured < s.rate {
		weight = slowerSampleWeight
	}
	s.rate += weight * (measured - s.rate)
}

func (s *prefillStats) countRequest(refused bool, now time.Time) {
	if d := now.Sub(s.countedAt); d > 0 {
		factor := math.Exp(-d.Seconds() / refusalTimeConstant.Seconds())
		s.requests *= factor
		s.refused *= factor
	}
	s.countedAt = now
	s.requests++
	if refused {
		s.refused++
	}
}

// maxBacklog returns the largest prefill backlog, in tokens, with which an engine can
// still begin the answer within the request's latency objective.
func (s *prefillStats) maxBacklog(req *Request) int64 {
	share := max(1-rankShareStep*float64(req.Rank), minRankShare)
	if req.Resumes {
		share = resumedBacklogFactor
	}
	return int64(s.rate * float64(req.LatencyObjective/time.Millisecond) * share)
}

// admits reports whether a backlog leaves room for a request that adds unprefilled tokens to it.
func (s *prefillStats) admits(req *Request, backlog, unprefilled int64) bool {
	if req.LatencyObjective <= 0 || req.PromptTokens == 0 || backlog <= 0 {
		return true
	}
	limit := s.maxBacklog(req)
	return backlog <= max(limit-unprefilled, int64(float64(limit)*largePromptShare))
}

// fitsKVCache reports whether the KV cache of u has room for kvTokens more tokens.
func fitsKVCache(req *Request, u *Upstream, kvTokens int64) bool {
	return req.KVCapacity <= 0 || u.kvTokens() <= 0 || u.kvTokens()+kvTokens <= int64(float64(req.KVCapacity)*maxKVShare)
}

// retryAfter returns the delay after which a refused request should be retried, given
// the smallest backlog of the engines.
func (s *prefillStats) retryAfter(req *Request, minBacklog int64) time.Duration {
	if s.requests > 0 && s.refused/s.requests > overloadRefusalRatio {
		return overloadRetryAfter
	}
	wait := time.Duration(float64(minBacklog-s.maxBacklog(req)+req.PromptTokens) / s.rate * float64(time.Millisecond))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
