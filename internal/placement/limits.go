package placement

import (
	"math"
	"time"
)

// The limits in this file answer loads under which engines have more prompts to
// read than they can: bursts, hot keys, and the loss of a part of the engines. An
// engine reads prompts in the order in which they come and delays the streams that
// it runs while it reads. Without a limit its backlog grows until no answer begins
// within its objective, and none ends within its deadline.

const (
	// initialPace is the reading speed, in tokens a millisecond, that is assumed
	// until it is measured; the users' engines read 55 to 64 without other work.
	initialPace = 40
	minPace     = 4
	maxPace     = 1000
	// paceFall and paceRise are the weights of a new sample that is below or above
	// the pace: it settles where a quarter of the samples is below.
	paceFall = 0.12
	paceRise = 0.04
	// paceTokens is the least backlog from which a sample is taken.
	paceTokens = 6000
	// rankStep is the part of the limit by which each rank has less than the one
	// before, and leastPart the least part that a rank has: when capacity is short,
	// the more urgent requests find room last.
	rankStep  = 0.15
	leastPart = 0.4
	// largePart is the part of the limit up to which there may be a backlog before a
	// prompt that is larger than the limit, so that large prompts are served too.
	largePart = 0.35
	// memoryPart is the part of an engine's memory that requests may fill; beyond,
	// it puts back requests that run and reads their prompts again.
	memoryPart = 0.85
	// refusalWindow is the time constant of the rate of refusals.
	refusalWindow = 2 * time.Second
	// overloadRefusals is the part of the requests refused lately from which a
	// caller is told to come back after the overload rather than after the backlog.
	overloadRefusals = 0.15
	overloadRetry    = 2 * time.Second
	minRetry         = 100 * time.Millisecond
	maxRetry         = 3 * time.Second
)

// pace is the measured reading speed of a service's engines, and how much of the
// load they can take.
type pace struct {
	// tokens is the speed in tokens a millisecond.
	tokens float64
	// asked and refused are decayed counts of requests.
	asked, refused float64
	at             time.Time
}

func (p *Pool) paceOf(service string) *pace {
	c := p.pace[service]
	if c == nil {
		c = &pace{tokens: initialPace}
		p.pace[service] = c
	}
	return c
}

// sample takes in that a backlog was read in a time.
func (c *pace) sample(tokens int64, took time.Duration) {
	if tokens < paceTokens || took <= 0 {
		return
	}
	measured := float64(tokens) / (float64(took) / float64(time.Millisecond))
	measured = min(max(measured, minPace), maxPace)
	weight := paceRise
	if measured < c.tokens {
		weight = paceFall
	}
	c.tokens += weight * (measured - c.tokens)
}

func (c *pace) count(refused bool, now time.Time) {
	if d := now.Sub(c.at); d > 0 {
		factor := math.Exp(-d.Seconds() / refusalWindow.Seconds())
		c.asked *= factor
		c.refused *= factor
	}
	c.at = now
	c.asked++
	if refused {
		c.refused++
	}
}

// limit is the backlog, in tokens, that an engine may have for a request that is
// to begin within its objective.
func (c *pace) limit(req *Request) int64 {
	part := max(1-rankStep*float64(req.Rank), leastPart)
	return int64(c.tokens * float64(req.Objective/time.Millisecond) * part)
}

// admits tells whether an engine with this much before the request may take it.
func (c *pace) admits(req *Request, u *Upstream, toRead int64) bool {
	if req.Objective <= 0 || req.Tokens == 0 || u.unread() <= 0 {
		return true
	}
	limit := c.limit(req)
	return u.unread() <= max(limit-toRead, int64(float64(limit)*largePart))
}

// fits tells whether an engine has memory for the request.
func fits(req *Request, u *Upstream, resident int64) bool {
	return req.Memory <= 0 || u.resident() <= 0 || u.resident()+resident <= int64(float64(req.Memory)*memoryPart)
}

// retryAfter returns when a request that found no room should come back, given the
// least backlog that it found.
func (c *pace) retryAfter(req *Request, least int64) time.Duration {
	if c.asked > 0 && c.refused/c.asked > overloadRefusals {
		return overloadRetry
	}
	wait := time.Duration(float64(least-c.limit(req)+req.Tokens) / c.tokens * float64(time.Millisecond))
	return min(max(wait, minRetry), maxRetry)
}
