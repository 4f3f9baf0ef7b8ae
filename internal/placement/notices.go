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
	p.fleet = fleet{own, slices.Compact(sorted)}
	now := time.Now()
	for _, u := range p.upstreams {
		if u.limit != nil {
			u.limit.setShare(p.fleet, now)
		}
	}
}

// ObserveNotice records what the upstream said in an answer to this host.
func (p *Pool) ObserveNotice(a *Assignment, n notice.Notice, now time.Time) {
	if n.Invalid != "" {
		klog.InfoS("request limit of an upstream ignored", "upstream", a.ID, "value", n.Invalid)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	u := a.Upstream
	switch {
	case n.Limited:
		r := notice.Report{Upstream: u.ID, StartedMS: u.StartedMS, Limited: true, RequestRate: n.RequestRate}
		if u.limit != nil {
			r.Generation = u.limit.Generation
		}
		p.setLimit(u, r, now, now)
		u.limit.ownAt = now
		p.noticeReports[u.ID] = &observedNotice{r, now}
	case u.limit != nil:
		r := notice.Report{Upstream: u.ID, StartedMS: u.StartedMS}
		p.endLimit(u, "an answer named none")
		u.limitEndedAt = now
		p.noticeReports[u.ID] = &observedNotice{r, now}
	}
}

// observedNotice is a notice that the control group does not know yet.
type observedNotice struct {
	notice.Report
	at time.Time
}

// NoticeReports returns the notices of which the control group has not been told.
func (p *Pool) NoticeReports(now time.Time) []notice.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []notice.Report
	for _, o := range p.noticeReports {
		r := o.Report
		r.Age = now.Sub(o.at)
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

// ReportNotices makes NoticeReports return all limits in force, for a leader that may know none.
func (p *Pool) ReportNotices() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, u := range p.upstreams {
		if u.limit != nil && p.noticeReports[id] == nil {
			p.noticeReports[id] = &observedNotice{u.limit.Report, u.limit.observedAt}
		}
	}
}

// ApplyNotices applies the limits that the control group knows. Limits that it lacks end, unless an
// answer to this host named them lately or keep is set.
func (p *Pool) ApplyNotices(list []notice.Report, keep bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[string]bool{}
	for _, r := range list {
		u, at := p.upstreams[r.Upstream], now.Add(-r.Age)
		if u == nil || u.StartedMS != r.StartedMS || !at.After(u.limitEndedAt) {
			continue
		}
		listed[r.Upstream] = true
		switch {
		case !r.Limited && u.limit != nil && at.After(u.limit.observedAt):
			p.endLimit(u, "an answer to another host named none")
		case r.Limited && (u.limit == nil || at.After(u.limit.ownAt) || r.RequestRate == u.limit.RequestRate):
			p.setLimit(u, r, at, now)
		}
	}
	for id, u := range p.upstreams {
		if u.limit != nil && !listed[id] && !keep && now.Sub(u.limit.ownAt) > ownNoticeTime {
			p.endLimit(u, "the control group knows none")
		}
	}
}
