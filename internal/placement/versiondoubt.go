package placement

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/presence"
)

const (
	// confirmTime is the time with a reachable control group after which an upstream whose connection
	// broke still runs the version that it reported. A process that started meanwhile would have become
	// known, and one that is still down is marked unresponsive within a second and a half of the time-out.
	confirmTime = presence.HeartbeatTimeout + 1500*time.Millisecond
	// maxSyncGap is the time between two replies of the control group up to which it counts as
	// reachable in between.
	maxSyncGap = MaxTableAge
)

// versionDoubt is the time since the latest broken connection to an upstream, as far as a process that
// restarted would have become known in it. It addresses upstreams that restart under their id with
// another software version: until the first report of such a process the host knows only the version
// before, and a stream that goes on there would join the text of two versions.
type versionDoubt struct {
	// since is the first break, brokenAt the latest one, and syncedAt the latest reply of the control
	// group after it.
	since, brokenAt, syncedAt time.Time
	// reachable is the time since brokenAt with a reachable control group.
	reachable time.Duration
	// down reports that the upstream accepted no connection: the process, if one accepts them again, is
	// most likely another one.
	down bool
}

// broken returns the doubt after a connection broke; d may be nil.
func (d *versionDoubt) broken(now time.Time) *versionDoubt {
	next := &versionDoubt{since: now, brokenAt: now, syncedAt: now}
	if d != nil {
		next.since, next.down = d.since, d.down
	}
	return next
}

// synced records a reply of the control group as of a time. One from before the break tells nothing.
func (d *versionDoubt) synced(asOf time.Time) {
	gap := asOf.Sub(d.syncedAt)
	if gap < 0 {
		return
	}
	if gap <= maxSyncGap {
		d.reachable += gap
	}
	d.syncedAt = asOf
}

// rest returns the time for which the control group must be reachable yet; 0 if the doubt is over.
func (d *versionDoubt) rest() time.Duration { return max(confirmTime-d.reachable, 0) }

// doubtVersion records that a connection to the upstream broke or could not be established.
func (u *Upstream) doubtVersion(now time.Time) {
	if u.doubt == nil {
		klog.InfoS("upstream gets no resumed streams: a connection broke, and it may have restarted", "upstream", u.ID,
			"started_ms", u.StartedMS, "software_version", u.Version)
	}
	u.doubt = u.doubt.broken(now)
}

// ControlSynced records that the control group has told this host of all changes as of a time, at which the
// call began, less the time for which the machine was suspended since: a reply may have waited meanwhile. Doubts end at upstreams of which
// no other process has become known meanwhile. One whose heartbeat is overdue may be down, and
// restart later.
func (p *Pool) ControlSynced(asOf time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.currency.advance(&p.currency.synced, asOf)
	for _, u := range p.upstreams {
		if u.doubt == nil {
			continue
		}
		u.doubt.synced(asOf)
		if u.doubt.rest() == 0 && !u.heartbeatOverdue {
			klog.InfoS("upstream gets resumed streams again", "upstream", u.ID, "started_ms", u.StartedMS,
				"software_version", u.Version, "after_ms", asOf.Sub(u.doubt.since).Milliseconds())
			u.doubt = nil
		}
	}
}

// isUnconfirmed reports whether the upstream may run another version than the one that the stream of the
// request needs.
func (p *Pool) isUnconfirmed(u *Upstream, now time.Time) bool {
	return u.doubt != nil || !p.currency.isCurrent(now)
}

// untilConfirmed returns the time after which the version of an upstream may be known again.
func (u *Upstream) untilConfirmed() time.Duration {
	if u.doubt == nil {
		return minRetryAfter
	}
	return max(u.doubt.rest(), minRetryAfter)
}

// ObserveDown records that the assigned upstream accepts no connections after one to it broke.
func (p *Pool) ObserveDown(a *Assignment, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observed(a).doubtVersion(now)
	a.doubt.down = true
}

// VersionAt returns the software version of the process to which a connection to the assigned upstream was
// established just now; empty if the upstream may have restarted with another one.
func (p *Pool) VersionAt(a *Assignment, now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.latest(a)
	if u == nil || u.Address != a.Address || u.doubt != nil && u.doubt.down || !p.currency.isCurrent(now) {
		return ""
	}
	return u.Version
}

// Replaced reports whether another process has become known under the id of the assigned upstream. An
// answer that still arrives may be that one's.
func (p *Pool) Replaced(a *Assignment) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest(a) == nil
}
