package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitbend/godwitbend/internal/presence"
)

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
