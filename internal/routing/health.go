package routing

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/registry"
)

const (
	// ejectAfter is the number of failures in a row after which an upstream is ejected.
	ejectAfter = 3
	// ejectFirst and ejectMax bound the time of an ejection, which doubles each time.
	ejectFirst = 2 * time.Second
	ejectMax   = time.Minute
	// probeTime is the time after which the next probe of an ejected upstream may go.
	probeTime = 5 * time.Second
	// latencyWeight is the weight of a new sample in a mean latency.
	latencyWeight = 0.1
	// latencySamples is the number of samples before an upstream counts as slow.
	latencySamples = 10
	// healthRetention is the time after which the health of a silent upstream is forgotten.
	healthRetention = 10 * time.Minute
	// maxHealth is the number of upstreams at which the silent ones are forgotten.
	maxHealth = 20_000
)

// Result is how a request fared at an upstream.
type Result struct {
	Service string
	// Failed tells that the upstream failed; a refusal by a full queue is no failure.
	Failed bool
	// FirstByte is the time to the first byte of the answer; 0 if there was none.
	FirstByte time.Duration
}

// mean is an exponentially weighted mean of durations.
type mean struct {
	value   float64
	samples int
}

func (m *mean) add(d time.Duration) {
	m.samples++
	if m.samples == 1 {
		m.value = d.Seconds()
		return
	}
	m.value += latencyWeight * (d.Seconds() - m.value)
}

// health is what the host has seen of one upstream.
type health struct {
	// failures are those since the last success.
	failures int
	// ejections are those since the last success.
	ejections int
	// until ends an ejection; afterwards probes are let in one by one.
	until   time.Time
	probed  time.Time
	latency mean
	seen    time.Time
}

// Report takes in how a request fared at e.
func (r *Router) Report(e *registry.Entry, result Result, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.health[e.ID]
	if h == nil {
		r.forgetSilent(now)
		h = &health{}
		r.health[e.ID] = h
	}
	h.seen = now
	if result.Failed {
		h.fail(now)
		return
	}
	h.failures, h.ejections, h.until = 0, 0, time.Time{}
	if result.FirstByte > 0 {
		h.latency.add(result.FirstByte)
		r.serviceLatency(result.Service).add(result.FirstByte)
	}
}

func (h *health) fail(now time.Time) {
	h.failures++
	if h.failures < ejectAfter {
		return
	}
	h.until = now.Add(min(ejectFirst<<min(h.ejections, 10), ejectMax))
	h.ejections++
	h.probed = time.Time{}
}

func (r *Router) serviceLatency(service string) *mean {
	m := r.latency[service]
	if m == nil {
		m = &mean{}
		r.latency[service] = m
	}
	return m
}

// healthy tells whether an upstream is not ejected, or due for a probe.
func (r *Router) healthy(e *registry.Entry, now time.Time) bool {
	h := r.health[e.ID]
	if h == nil || h.until.IsZero() {
		return true
	}
	return now.After(h.until) && now.Sub(h.probed) >= probeTime
}

// probe takes note that an ejected upstream gets a request.
func (r *Router) probe(e *registry.Entry, now time.Time) {
	if h := r.health[e.ID]; h != nil && !h.until.IsZero() {
		h.probed = now
	}
}

// slowness returns the cost of an upstream that is slower than the service's mean.
func (r *Router) slowness(e *registry.Entry, service string) float64 {
	h, all := r.health[e.ID], r.latency[service]
	if h == nil || all == nil || h.latency.samples < latencySamples || all.value <= 0 {
		return 0
	}
	return min(max(slowCost*(h.latency.value/all.value-1), 0), slowCostMax)
}

func (r *Router) forgetSilent(now time.Time) {
	if len(r.health) < maxHealth {
		return
	}
	for id, h := range r.health {
		if now.Sub(h.seen) > healthRetention {
			delete(r.health, id)
		}
	}
}
