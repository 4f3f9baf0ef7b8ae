package placement

import (
	"math"
	"time"

	"k8s.io/klog/v2"
)

const (
	// rampTime is the time after the end of a wait in which a host sends little to the upstream,
	// so that the requests that waited do not all go there at once. It begins with one request in
	// flight, and the number doubles each rampStep.
	rampTime = time.Second
	rampStep = 100 * time.Millisecond
)

// extendWait records that the upstream wants nothing from this host for d, and reports whether it
// took requests before. A shorter time than is left of an earlier one changes nothing.
func (u *Upstream) extendWait(d time.Duration, requestID string, now time.Time) bool {
	started := !now.Before(u.waitUntil)
	if started {
		u.waitFrom = now
		klog.InfoS("upstream wants no requests from this host", "upstream", u.ID, "started_ms", u.StartedMS,
			"request_id", requestID, "for_ms", d.Milliseconds(), "in_flight", u.own.InFlight)
	}
	if until := now.Add(d); until.After(u.waitUntil) {
		u.waitUntil = until
	}
	return started
}

// wait returns the time until the upstream takes another request of this host, as far as it has
// asked this host to wait; 0 if it takes one now.
func (u *Upstream) wait(now time.Time) time.Duration {
	if u.waitUntil.IsZero() {
		return 0
	}
	since := now.Sub(u.waitUntil)
	switch {
	case since < 0:
		return -since
	case since >= rampTime:
		klog.InfoS("upstream takes requests again", "upstream", u.ID, "started_ms", u.StartedMS,
			"waited_ms", u.waitUntil.Sub(u.waitFrom).Milliseconds())
		u.waitFrom, u.waitUntil = time.Time{}, time.Time{}
		return 0
	case float64(u.own.InFlight) >= math.Exp2(float64(since/rampStep)):
		return rampStep - since%rampStep
	}
	return 0
}

// Wait returns the time until an upstream of a service takes another request of this host, by what
// they said in answers; 0 if one takes it now or there is none.
func (p *Pool) Wait(service string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	shortest := time.Duration(math.MaxInt64)
	for _, u := range p.services[service] {
		if !u.isLeaving(now) {
			shortest = min(shortest, u.nextRequest(now))
		}
	}
	if shortest == math.MaxInt64 {
		return 0
	}
	return shortest
}
