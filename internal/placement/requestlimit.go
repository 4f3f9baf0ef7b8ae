package placement

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/notice"
)

// maxReserveTime is the time for which an unused share of a limit is kept for later, beyond a single
// request.
const maxReserveTime = 250 * time.Millisecond

// requestLimit is the limit of an upstream on the requests of all hosts, as far as it concerns
// this one.
type requestLimit struct {
	notice.Report
	// observedAt is the time of the latest answer to any host with the limit, and ownAt that of
	// the latest one to this host.
	observedAt, ownAt time.Time
	// share is the number of requests per second that this host may send, tokens the number
	// that it may send at refilledAt.
	share, tokens float64
	refilledAt    time.Time
}

func (p *Pool) setLimit(u *Upstream, r notice.Report, observedAt, now time.Time) {
	u.setSaid()
	if u.limit == nil {
		u.limit = &requestLimit{refilledAt: now}
		klog.InfoS("requests to an upstream limited", "upstream", u.ID, "started_ms", u.StartedMS, "per_second", r.RequestRate,
			"hosts", len(p.fleet.hosts), "answer_age_ms", now.Sub(observedAt).Milliseconds())
	}
	l := u.limit
	changed := l.RequestRate != r.RequestRate || l.Generation != r.Generation || l.Upstream == ""
	r.Age = 0
	l.Report = r
	if observedAt.After(l.observedAt) {
		l.observedAt = observedAt
	}
	if changed {
		l.setShare(p.fleet, now)
	}
}

func (p *Pool) endLimit(u *Upstream, reason string) {
	klog.InfoS("requests to an upstream no longer limited", "upstream", u.ID, "started_ms", u.StartedMS,
		"per_second", u.limit.RequestRate, "reason", reason)
	u.limit = nil
}

func (l *requestLimit) setShare(f fleet, now time.Time) {
	l.refill(now)
	l.share = l.EffectiveRate()
	if len(f.hosts) > 0 {
		l.share = l.Share(f.own, f.hosts)
	}
	l.tokens = min(l.tokens, l.capacity())
}

// capacity returns the number of requests that may be sent at once.
func (l *requestLimit) capacity() float64 {
	if l.share == 0 {
		return 0
	}
	return max(1, l.share*maxReserveTime.Seconds())
}

func (l *requestLimit) refill(now time.Time) {
	if d := now.Sub(l.refilledAt); d > 0 {
		l.tokens = min(l.tokens+l.share*d.Seconds(), l.capacity())
		l.refilledAt = now
	}
}

// allows reports whether a request may be sent now.
func (l *requestLimit) allows(now time.Time) bool {
	if l == nil {
		return true
	}
	l.refill(now)
	return l.tokens >= 1
}

// use takes a request from the share.
func (l *requestLimit) use() {
	if l != nil {
		l.tokens--
	}
}

// wait returns the time until a request may be sent, or maxRetryAfter if only other hosts may.
func (l *requestLimit) wait() time.Duration {
	if l.share == 0 {
		return maxRetryAfter
	}
	return time.Duration((1 - l.tokens) / l.share * float64(time.Second))
}
