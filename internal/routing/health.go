package routing

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/registry"
)

const (
	// ejectionThreshold is the number of consecutive failures that eject an upstream.
	ejectionThreshold = 3
	// baseEjectionTime is the duration of the first ejection; it doubles with each
	// consecutive one, up to maxEjectionTime.
	baseEjectionTime = 2 * time.Second
	maxEjectionTime  = time.Minute
	// probeInterval is the minimum time between two probes of an ejected upstream.
	probeInterval = 5 * time.Second
	// latencyEWMAWeight is the weight of a new sample in the moving average.
	latencyEWMAWeight = 0.1
	// minLatencySamples is the number of samples required to rate an upstream as slow.
	minLatencySamples = 10
	// healthRetention is the time without a result after which an entry may be evicted.
	healthRetention = 10 * time.Minute
	// maxHealthEntries is the number of entries at which stale ones are evicted.
	maxHealthEntries = 20_000
)

// Result is the result of a request at an upstream.
type Result struct {
	Service string
	// Failed reports whether the upstream failed. A refusal by a full queue is not a failure.
	Failed bool
	// TimeToFirstByte is the time to the first byte of the answer, or 0 without an answer.
	TimeToFirstByte time.Duration
}

// ewma is an exponentially weighted moving average of durations, in seconds.
type ewma struct {
	value   float64
	samples int
}

func (m *ewma) add(d time.Duration) {
	m.samples++
	if m.samples == 1 {
		m.value = d.Seconds()
		return
	}
	m.value += latencyEWMAWeight * (d.Seconds() - m.value)
}

// health holds the results that this host has observed at one upstream.
type health struct {
	// consecutiveFailures counts the failures since the last success.
	consecutiveFailures int
	// consecutiveEjections counts the ejections since the last success.
	consecutiveEjections int
	// ejectedUntil is the end of the ejection, or zero if there is none. Afterwards
	// one probe is admitted per probeInterval until one succeeds.
	ejectedUntil time.Time
	lastProbe    time.Time
	latency      ewma
	lastResult   time.Time
}

// Report records the result of a request at e.
func (r *Router) Report(e *registry.Entry, result Result, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.health[e.ID]
	if h == nil {
		r.evictStaleHealth(now)
		h = &health{}
		r.health[e.ID] = h
	}
	h.lastResult = now
	if result.Failed {
		h.recordFailure(now)
		return
	}
	h.consecutiveFailures, h.consecutiveEjections, h.ejectedUntil = 0, 0, time.Time{}
	if result.TimeToFirstByte > 0 {
		h.latency.add(result.TimeToFirstByte)
		r.serviceLatency(result.Service).add(result.TimeToFirstByte)
	}
}

func (h *health) recordFailure(now time.Time) {
	h.consecutiveFailures++
	if h.consecutiveFailures < ejectionThreshold {
		return
	}
	h.ejectedUntil = now.Add(min(baseEjectionTime<<min(h.consecutiveEjections, 10), maxEjectionTime))
	h.consecutiveEjections++
	h.lastProbe = time.Time{}
}

func (r *Router) serviceLatency(service string) *ewma {
	m := r.latencyByService[service]
	if m == nil {
		m = &ewma{}
		r.latencyByService[service] = m
	}
	return m
}

// admitsRequests reports whether e is not ejected, or is due for a probe.
func (r *Router) admitsRequests(e *registry.Entry, now time.Time) bool {
	h := r.health[e.ID]
	if h == nil || h.ejectedUntil.IsZero() {
		return true
	}
	return now.After(h.ejectedUntil) && now.Sub(h.lastProbe) >= probeInterval
}

// recordProbe records that an ejected upstream is sent a request as a probe.
func (r *Router) recordProbe(e *registry.Entry, now time.Time) {
	if h := r.health[e.ID]; h != nil && !h.ejectedUntil.IsZero() {
		h.lastProbe = now
	}
}

// slownessCost returns the added cost of an upstream whose time to first byte
// exceeds the mean of the service.
func (r *Router) slownessCost(e *registry.Entry, service string) float64 {
	h, serviceMean := r.health[e.ID], r.latencyByService[service]
	if h == nil || serviceMean == nil || h.latency.samples < minLatencySamples || serviceMean.value <= 0 {
		return 0
	}
	return min(max(slowUpstreamCost*(h.latency.value/serviceMean.value-1), 0), maxSlowUpstreamCost)
}

func (r *Router) evictStaleHealth(now time.Time) {
	if len(r.health) < maxHealthEntries {
		return
	}
	for id, h := range r.health {
		if now.Sub(h.lastResult) > healthRetention {
			delete(r.health, id)
		}
	}
}
