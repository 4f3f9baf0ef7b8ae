package placement

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/notice"
	"github.com/godwitbend/godwitbend/internal/presence"
)

const (
	// DefaultWarmUpBurst is the number of requests that a cold upstream takes in a second beyond
	// warmUpTolerance times its rate.
	DefaultWarmUpBurst = 3
	// warmUpTolerance is the factor by which the requests in any one second may exceed the rate.
	warmUpTolerance = 1.5
	// warmUpSets is the number of disjoint sets of hosts that may share a limit at a time: hosts that
	// lost contact with the control group, or learn late of others, use another list of hosts.
	warmUpSets = 2
	// warmUpWindow is the time in which the requests of a host are counted: the second of the rule,
	// and a tenth for differences in the time that requests take to arrive.
	warmUpWindow = 1100 * time.Millisecond
	// minWarmUpUse is the part of the rate that the hosts must be able to use together for more than
	// one host to share it.
	minWarmUpUse = 0.95
	// minWarmUpRate is the rate, in requests per second, at which hosts send to a cold upstream that
	// states a lower one.
	minWarmUpRate = 0.1
	// handoverTime is the time for which other hosts may use an earlier list of hosts. A host that
	// takes over a share waits for that time.
	handoverTime = 3 * time.Second
	// warmUpRamp is the time after a warm-up in which a host has at most one request more in flight
	// than at its end. The hosts begin to send within warmUpRampStart, in the order of their
	// rendezvous weights.
	warmUpRamp      = 500 * time.Millisecond
	warmUpRampStart = 250 * time.Millisecond
)

// WarmUpEvent is a change of the limits on requests to cold upstreams.
type WarmUpEvent struct {
	// Inferred is the reason for which a process is taken to be cold since the event; empty if it
	// reported that, or if a limit ended.
	Inferred ColdReason
	// WarmingUp is the number of upstreams with a limit.
	WarmingUp int
}

// WarmUpOptions are the options of a pool for cold upstreams.
type WarmUpOptions struct {
	// Burst is the number of requests that a cold upstream takes in a second beyond warmUpTolerance
	// times its rate.
	Burst float64
	// Observe is called at each WarmUpEvent. It must not call the pool.
	Observe func(WarmUpEvent)
}

// SetWarmUpOptions sets the options for cold upstreams. It is called before the pool is used.
func (p *Pool) SetWarmUpOptions(o WarmUpOptions) { p.warmUpOptions = o }

// warmUp is the limit on the requests of this host to a cold upstream, and the ramp after its end. It
// addresses an upstream that fails if all hosts together send more than a few requests a second,
// which must hold also while hosts don't hear of each other.
type warmUp struct {
	pool   *Pool
	reason ColdReason
	since  time.Time
	until  time.Time
	pacer
	// shares reports whether this host may send to the upstream, from sharesFrom on.
	shares     bool
	sharesFrom time.Time
	// ended is set when the limit has ended and only the ramp is left. inFlightAtEnd is the number of
	// requests of this host at that time, and rampFrom the time after the end from which it sends
	// more.
	ended         bool
	inFlightAtEnd int
	rampFrom      time.Duration
}

// SetWarmUps sets the services whose upstreams warm up.
func (p *Pool) SetWarmUps(services []catalog.Service, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warmUps = map[string]catalog.WarmUp{}
	for i := range services {
		if w := services[i].WarmUp; w != (catalog.WarmUp{}) {
			p.warmUps[services[i].Name] = w
		}
	}
	for _, u := range p.upstreams {
		if w, warmsUp := p.warmUps[u.Service]; warmsUp && u.warmUp != nil {
			u.warmUp.rate = w.Rate
		}
		p.reviewWarmUp(u, now)
	}
	p.shareWarmUps()
}

// reviewWarmUp begins, extends or ends the limit of an upstream by what is known of it. The caller
// holds p.mu.
func (p *Pool) reviewWarmUp(u *Upstream, now time.Time) {
	if len(p.warmUps) == 0 && u.warmUp == nil {
		return
	}
	service, warmsUp := p.warmUps[u.Service]
	until, reason := time.Time{}, ColdReason("")
	if warmsUp && u.State != presence.Terminated {
		until, reason = u.evidence.coldUntil(service.Duration, p.evacuation.ends[u.Zone])
	}
	w := u.warmUp
	switch {
	case !until.After(now):
		if w != nil && w.until.After(now) {
			w.until = now
			w.next(u, now)
		}
	case w == nil || w.ended:
		p.beginWarmUp(u, service, until, reason, now)
	default:
		w.until = until
		w.setReason(reason)
	}
}

func (p *Pool) beginWarmUp(u *Upstream, service catalog.WarmUp, until time.Time, reason ColdReason, now time.Time) {
	w := &warmUp{pool: p, since: now, until: until}
	if u.warmUp != nil {
		w.pacer = u.warmUp.pacer
		w.pending = 0 // reservations of the earlier limit are returned to that, and checked when sent
	}
	w.setShare(service.Rate, p.warmUpOptions.Burst, len(p.fleet.hosts))
	rank := p.fleet.rankFor(u.ID)
	w.shares = rank < w.users
	w.sharesFrom = p.handoverEnd(u.ID, rank, w.users)
	w.rampFrom = rampFrom(rank, w.users, len(p.fleet.hosts))
	u.warmUp = w
	p.warmingUp++
	w.setReason(reason)
	klog.InfoS("requests to an upstream limited: it is cold", "upstream", u.ID, "started_ms", u.StartedMS, "service", u.Service, "zone", u.Zone,
		"reason", string(reason), "per_second", service.Rate, "for_ms", until.Sub(now).Milliseconds(), "hosts", len(p.fleet.hosts), "sharing_hosts", w.users,
		"shares", w.shares, "shares_in_ms", max(w.sharesFrom.Sub(now), 0).Milliseconds(), "max_in_window", w.most, "in_flight", u.own.InFlight)
}

func rampFrom(rank, users, hosts int) time.Duration {
	if rank < users {
		return 0
	}
	return warmUpRampStart * time.Duration(rank) / time.Duration(max(hosts, 1))
}

// setReason records why the process is taken to be cold, and counts it if that is new.
func (w *warmUp) setReason(reason ColdReason) {
	if w.reason == reason {
		return
	}
	w.reason = reason
	event := WarmUpEvent{}
	if reason.isInferred() {
		event.Inferred = reason
	}
	w.pool.observeWarmUp(event)
}

func (p *Pool) observeWarmUp(e WarmUpEvent) {
	if p.warmUpOptions.Observe == nil {
		return
	}
	e.WarmingUp = p.warmingUp
	p.warmUpOptions.Observe(e)
}

// next returns the time until this host may send another request to the upstream; 0 if it may now.
// It ends the limit and the ramp when their time has come.
func (w *warmUp) next(u *Upstream, now time.Time) time.Duration {
	if left := w.until.Sub(now); left > 0 {
		if w.shares {
			return max(w.sharesFrom.Sub(now), w.wait(now))
		}
		return min(left, maxRetryAfter)
	}
	if !w.ended {
		w.end(u)
	}
	since := now.Sub(w.until)
	switch {
	case since >= warmUpRamp:
		u.warmUp = nil
		return 0
	case since < w.rampFrom:
		return w.rampFrom - since
	case u.own.InFlight > w.inFlightAtEnd:
		return warmUpRamp - since
	}
	return 0
}

func (w *warmUp) end(u *Upstream) {
	w.ended, w.inFlightAtEnd = true, u.own.InFlight
	w.pool.warmingUp--
	w.pool.observeWarmUp(WarmUpEvent{})
	klog.InfoS("requests to an upstream no longer limited: its warm-up has ended", "upstream", u.ID, "started_ms", u.StartedMS,
		"reason", string(w.reason), "per_second", w.rate, "shared", w.shares, "for_ms", w.until.Sub(w.since).Milliseconds(), "in_flight", u.own.InFlight)
}

// takesWhileCold reports whether the request of an assignment may be sent now as far as the warm-up of the
// upstream is concerned, and counts it as sent. The upstream may have become cold, or other hosts
// share its limit, since it was assigned.
func (a *Assignment) takesWhileCold(now time.Time) bool {
	w := a.Upstream.warmUp
	if w == nil || !w.until.After(now) {
		return true
	}
	switch {
	case !w.shares || now.Before(w.sharesFrom):
		return false
	case a.coldReservation == w:
		a.coldReservation = nil
		w.pending--
	case w.next(a.Upstream, now) > 0:
		return false
	default:
		w.reserve(now)
		w.pending--
	}
	w.sent = append(w.sent, now)
	return true
}

// WarmsUp reports whether requests to the assigned upstream are limited as it is cold.
func (p *Pool) WarmsUp(a *Assignment, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return a.Upstream.warmUp != nil && a.Upstream.warmUp.until.After(now)
}

// reserveWhileCold takes a request from the limit of a cold upstream.
func (a *Assignment) reserveWhileCold(now time.Time) {
	if w := a.Upstream.warmUp; w != nil && w.until.After(now) {
		w.reserve(now)
		a.coldReservation = w
	}
}

// releaseColdReservation returns a reservation of a request that was not sent.
func (a *Assignment) releaseColdReservation() {
	if a.coldReservation != nil {
		a.coldReservation.pending--
		a.coldReservation = nil
	}
}

// observeColdness records what an answer states about the warm-up of the upstream.
func (p *Pool) observeColdness(u *Upstream, n notice.Notice, now time.Time) {
	u.evidence.answeredColdAt, u.evidence.answeredCold = now, presence.NewColdness(n.ColdLeft, 1, now)
	p.reviewWarmUp(u, now)
}

// observeConnection records that this host lost the upstream, or has reached it again.
func (p *Pool) observeConnection(u *Upstream, lost bool, now time.Time) {
	e := &u.evidence
	switch {
	case lost && len(p.warmUps) > 0:
		e.lostAt, e.regainedAt = now, time.Time{}
	case !lost && !e.lostAt.IsZero() && e.regainedAt.IsZero():
		e.regainedAt = now
	default:
		return
	}
	p.reviewWarmUp(u, now)
}

// maintainWarmUp ends a limit whose time has come, or that is inferred although later reports say that
// the upstream is not cold. It is called when this host has the state of the control group.
func (p *Pool) maintainWarmUp(u *Upstream, now time.Time) {
	if u.warmUp == nil {
		return
	}
	if u.warmUp.reason.isInferred() && !u.heartbeatOverdue {
		u.evidence.confirmHeartbeats(now)
		p.reviewWarmUp(u, now)
	}
	if u.warmUp != nil {
		u.warmUp.next(u, now)
	}
}

// abandonWarmUp ends the limit of an upstream that another process has replaced.
func (p *Pool) abandonWarmUp(u *Upstream, now time.Time) {
	if w := u.warmUp; w != nil && !w.ended {
		w.until = now
		w.end(u)
	}
}
