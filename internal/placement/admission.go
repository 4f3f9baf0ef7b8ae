package placement

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/urgency"
)

// lateShare is the share of a request's backlog limit by which it may begin later than its latency
// objective while nothing of its rank or a preceding one is refused. 0.5 made up to 8 % of all answers
// late at 1.0 times the capacity, and kept more urgent prompts from being on time.
const lateShare = 0.05

// valueAdmission admits prompts to the engines of one service by the value of the requests. It addresses
// the load condition in which the engines have too little prefill capacity for all prompts.
type valueAdmission struct{ history *urgency.History }

// OrderByValue makes the pool admit prompts to engines by the value of the requests instead of by rank
// alone. It must be called before the pool is used.
func (p *Pool) OrderByValue() { p.valued = map[string]*valueAdmission{} }

// LoadsReported returns a channel that signals that what is known of the upstreams or of other hosts' loads
// has changed, so that there may be room for a request that was refused. One receiver gets each signal.
func (p *Pool) LoadsReported() <-chan struct{} { return p.loadsReported }

func (p *Pool) notifyLoadsReported() {
	select {
	case p.loadsReported <- struct{}{}:
	default:
	}
}

// valuedAdmission returns the admission by value of a service, or nil if requests are admitted by rank.
func (p *Pool) valuedAdmission(req *Request) *valueAdmission {
	if p.valued == nil || req.LatencyObjective <= 0 || req.PromptTokens == 0 {
		return nil
	}
	v := p.valued[req.Service]
	if v == nil {
		v = &valueAdmission{history: urgency.NewHistory()}
		p.valued[req.Service] = v
	}
	return v
}

// Work returns the request as it is valued.
func (r *Request) Work() urgency.Work {
	return urgency.Work{
		Rank: r.Rank, Objective: r.LatencyObjective, Waited: r.Waited, Left: r.TimeLeft, Prefill: r.PromptTokens, Decode: r.MaxOutputTokens,
		Resumes: r.Resumes, Organisation: r.Organisation,
	}
}

// share returns the share of the capacity up to which a request is admitted now. It is that of the
// request's value only while its rank or a preceding one is being refused, and 1 for a starved one.
func (v *valueAdmission) share(w urgency.Work, now time.Time) float64 {
	switch {
	case w.Resumes:
		return resumedBacklogFactor
	case v.history.Starved(w, now):
		return 1
	case !v.history.Short(w, now):
		return 1 + lateShare
	}
	return w.Share()
}

// admissionLimit is the prefill backlog up to which engines are taken for one request.
type admissionLimit struct {
	// share is the share of the capacity that the request may use, and backlog the prefill backlog, with
	// the request's own tokens, that it amounts to.
	share   float64
	backlog int64
}

// limit returns the largest backlog with which an engine begins the answer within the time that the
// request has left. One that has used up its latency objective is late anyway: it has the limit of a new
// one while there is room for all, and else only an engine without backlog.
func (v *valueAdmission) limit(req *Request, stats *prefillStats, now time.Time) admissionLimit {
	w := req.Work()
	share, slack := v.share(w, now), w.Slack()
	if req.Resumes || slack <= 0 && !v.history.Short(w, now) {
		slack = min(req.LatencyObjective, req.TimeLeft)
	}
	return admissionLimit{share: share, backlog: int64(stats.rate * float64(slack/time.Millisecond) * share)}
}

// admits reports whether a backlog leaves room for a request that adds unprefilled tokens to it.
func (l admissionLimit) admits(backlog, unprefilled int64) bool {
	return backlog <= 0 || backlog <= max(l.backlog-unprefilled, int64(float64(l.backlog)*largePromptShare))
}

// valueLimit returns the limit of a request on the backlog of an engine, and whether requests are admitted by
// value at all.
func (p *Pool) valueLimit(req *Request, stats *prefillStats, now time.Time) (limit admissionLimit, byValue bool) {
	v := p.valuedAdmission(req)
	if v == nil {
		return admissionLimit{}, false
	}
	return v.limit(req, stats, now), true
}

// hasBacklogRoom reports whether a backlog leaves room for a request, by value or by rank.
func (s *prefillStats) hasBacklogRoom(req *Request, backlog, unprefilled int64, limit admissionLimit, byValue bool) bool {
	if byValue {
		return limit.admits(backlog, unprefilled)
	}
	return s.admits(req, backlog, unprefilled)
}

// countDecision records whether an engine was chosen for a request. If none was, it completes the refusal.
func (p *Pool) countDecision(req *Request, stats *prefillStats, refusal *Refusal, now time.Time) {
	v := p.valuedAdmission(req)
	if v == nil {
		return
	}
	w := req.Work()
	if refusal != nil {
		limit := v.limit(req, stats, now)
		refusal.Share = limit.share
		refusal.PredictedStart = stats.prefillTime(refusal.MinBacklog)
		if stats.refusalRatio() <= overloadRefusalRatio {
			refusal.RetryAfter = stats.prefillTime(refusal.MinBacklog - limit.backlog + req.PromptTokens)
		}
		refusal.RetryAfter = w.RetryAfter(refusal.RetryAfter)
	}
	v.history.Count(w, refusal != nil, now)
}

// prefillTime returns the time in which an engine prefills a number of tokens.
func (s *prefillStats) prefillTime(tokens int64) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / s.rate * float64(time.Millisecond))
}

func (s *prefillStats) refusalRatio() float64 {
	if s.requests <= 0 {
		return 0
	}
	return s.refused / s.requests
}
