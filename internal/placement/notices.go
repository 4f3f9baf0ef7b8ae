package placement

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/notice"
)

// ownNoticeTime is the time for which what an answer to this host said goes before the control
// group, which learns of it with the next calls.
const ownNoticeTime = 3 * time.Second

// saidState is what one process of an upstream said of itself in answers.
type saidState struct {
	// leavingAt is when an answer first said to this host that the upstream leaves; zero if none
	// did. Until leavingHintUntil it is taken to leave as answers to other hosts said so.
	leavingAt, leavingHintUntil time.Time
	// waitUntil is the end of the time for which the upstream wants nothing from this host; zero
	// if it takes requests as usual. waitFrom is the start.
	waitFrom, waitUntil time.Time
	// limit is nil if the upstream names no limit on requests. limitEndedAt is the time of the
	// answer that ended the latest one.
	limit        *requestLimit
	limitEndedAt time.Time
}

// nothingSaid is shared by all upstreams that said nothing, and is never changed.
var nothingSaid saidState

// setSaid gives the upstream a saidState of its own, which may be changed.
func (u *Upstream) setSaid() {
	if u.saidState == &nothingSaid {
		u.saidState = &saidState{}
	}
}

// isLeaving reports whether the upstream takes no new requests, by what it said in answers.
func (s *saidState) isLeaving(now time.Time) bool {
	return !s.leavingAt.IsZero() || now.Before(s.leavingHintUntil)
}

// fleet is the set of gateway hosts that share the limits.
type fleet struct {
	own   string
	hosts []string
}

// SetHosts sets the addresses of the hosts that share the limits of upstreams, own included.
func (p *Pool) SetHosts(own string, hosts []string) {
	sorted := slices.Clone(hosts)
	slices.Sort(sorted)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	next := fleet{own, slices.Compact(sorted)}
	p.recordHandover(next, now)
	p.fleet = next
	clear(p.brittleShares)
	p.shareWarmUps()
	for _, u := range p.upstreams {
		if u.limit != nil {
			u.limit.setShare(p.fleet, now)
		}
	}
}

// NoticeChange is what changes for this host by a notice.
type NoticeChange struct {
	// Limited and Leaving report that a limit on requests or the leaving of the upstream began to
	// apply, and Invalid that the notice could not be read.
	Limited, Leaving, Invalid bool
	// Waiting reports that the upstream began to want nothing from this host for a time.
	Waiting bool
	// Brittle reports that the upstreams of the service began to be brittle.
	Brittle bool
}

// ObserveNotice records what the upstream said in the answer to a request of this host.
func (p *Pool) ObserveNotice(a *Assignment, n notice.Notice, requestID string, now time.Time) (change NoticeChange) {
	if n.Invalid != "" {
		klog.InfoS("notice of an upstream not understood", "upstream", a.ID, "request_id", requestID, "value", n.Invalid)
		change.Invalid = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.observed(a)
	if n.Brittle {
		change.Brittle = !p.isBrittle(u.Service, now)
		p.observeBrittleness(u, n, requestID, now)
		n.Brittle, n.MaxRejections = false, 0 // concerns the service
	}
	if n.ColdStated {
		p.observeColdness(u, n, now)
		n.ColdStated, n.ColdLeft = false, 0 // no limit that other hosts are told of
	}
	if n == (notice.Notice{}) && u.saidState == &nothingSaid {
		return change
	}
	u.setSaid()
	if n.Wait > 0 {
		change.Waiting = u.extendWait(n.Wait, requestID, now)
	}
	r := notice.Report{Upstream: u.ID, StartedMS: u.StartedMS, Leaving: n.Leaving || !u.leavingAt.IsZero()}
	if n.Leaving && u.leavingAt.IsZero() {
		u.leavingAt, change.Leaving = now, true
		klog.InfoS("upstream leaves: it gets nothing new", "upstream", u.ID, "started_ms", u.StartedMS, "request_id", requestID,
			"in_flight", u.own.InFlight)
	}
	switch {
	case n.Invalid != "" && u.limit != nil:
		r.Limited, r.RequestRate, r.Generation = true, u.limit.RequestRate, u.limit.Generation
	case n.Limited:
		r.Limited, r.RequestRate = true, n.RequestRate
		if u.limit != nil {
			r.Generation = u.limit.Generation
		}
		change.Limited = u.limit == nil
		p.setLimit(u, r, now, now)
		u.limit.ownAt = now
	case u.limit != nil:
		p.endLimit(u, "an answer named none")
		u.limitEndedAt = now
	case !change.Leaving:
		return change
	}
	p.noticeReports[u.ID] = &observedNotice{r, now, u.leavingAt}
	return change
}

// observedNotice is a notice that the control group does not know yet.
type observedNotice struct {
	notice.Report
	at, leavingAt time.Time
}

// NoticeReports returns the notices of which the control group has not been told.
func (p *Pool) NoticeReports(now time.Time) []notice.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []notice.Report
	for _, o := range p.noticeReports {
		r := o.Report
		r.Age = now.Sub(o.at)
		if r.Leaving {
			r.LeavingAge = now.Sub(o.leavingAt)
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b notice.Report) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

// AcknowledgeNotices removes the reports that the control group has received, which NoticeReports
// returned for the given time.
func (p *Pool) AcknowledgeNotices(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, o := range p.noticeReports {
		if !o.at.After(now) {
			delete(p.noticeReports, id)
		}
	}
}

// ReportNotices makes NoticeReports return all notices in force, for a leader that may know none.
func (p *Pool) ReportNotices() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, u := range p.upstreams {
		if p.noticeReports[id] != nil || u.limit == nil && u.leavingAt.IsZero() {
			continue
		}
		o := &observedNotice{notice.Report{Upstream: id, StartedMS: u.StartedMS}, u.leavingAt, u.leavingAt}
		if u.limit != nil {
			o.Report, o.at = u.limit.Report, u.limit.observedAt
		}
		o.Leaving = !u.leavingAt.IsZero()
		p.noticeReports[id] = o
	}
}

// ApplyNotices applies the notices that the control group knows. Limits that it lacks end, unless
// an answer to this host named them lately or keep is set.
func (p *Pool) ApplyNotices(list []notice.Report, keep bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limited := map[string]bool{}
	for _, r := range list {
		u := p.upstreams[r.Upstream]
		if u == nil || u.StartedMS != r.StartedMS {
			continue
		}
		p.applyLeavingHint(u, r, now)
		limited[r.Upstream] = p.applyLimit(u, r, now)
	}
	for id, u := range p.upstreams {
		if u.limit != nil && !limited[id] && !keep && now.Sub(u.limit.ownAt) > ownNoticeTime {
			p.endLimit(u, "the control group knows none")
		}
	}
}

func (p *Pool) applyLeavingHint(u *Upstream, r notice.Report, now time.Time) {
	if !r.Leaving {
		return
	}
	u.setSaid()
	until := now.Add(notice.HintLifetime - r.LeavingAge)
	if !u.isLeaving(now) && now.Before(until) {
		klog.InfoS("upstream leaves, as it told another host: it gets nothing new", "upstream", u.ID, "started_ms", u.StartedMS,
			"age_ms", r.LeavingAge.Milliseconds(), "for_ms", until.Sub(now).Milliseconds())
	}
	u.leavingHintUntil = until
}

// applyLimit applies the limit in a notice, or its end, and reports whether the upstream may have
// a limit.
func (p *Pool) applyLimit(u *Upstream, r notice.Report, now time.Time) bool {
	at := now.Add(-r.Age)
	if !at.After(u.limitEndedAt) {
		return false
	}
	switch {
	case !r.Limited && u.limit != nil && at.After(u.limit.observedAt):
		p.endLimit(u, "an answer to another host named none")
	case r.Limited && (u.limit == nil || at.After(u.limit.ownAt) || r.RequestRate == u.limit.RequestRate):
		p.setLimit(u, r, at, now)
	}
	return true
}
