// Package linkadmission refuses new connections of callers while the link of this host is congested.
// It answers the load of a caller whose connections the load balancer all sends to one host: a
// request that was received has used the link already, so that only an early refusal frees it.
package linkadmission

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSamples is the number of latest connections whose set-up times are considered, and
	// maxSampleAge their age.
	maxSamples   = 16
	maxSampleAge = time.Second
	// minSamples is the number of samples below which the delay is unknown. A host with less
	// load than that does not fill its link.
	minSamples = 4
	// quantileDivisor selects the median: a slow peer delays the connections to itself, a congested
	// link delays all.
	quantileDivisor = 2
	// baselineInterval is the time for which the shortest set-up time is remembered at least. The queue
	// of a link that is overloaded for that long is not drained, and would become the baseline.
	baselineInterval = 5 * time.Minute
)

// Meter estimates the queueing delay of a host's link from the time that it takes to connect to
// other hosts. It is safe for concurrent use, and has no clock: times are passed in.
type Meter struct {
	mu      sync.Mutex
	samples []sample
	// shortest is the shortest set-up time since baselineFrom, and shortestBefore that of the
	// interval before.
	shortest, shortestBefore time.Duration
	baselineFrom             time.Time
}

type sample struct {
	took time.Duration
	at   time.Time
}

// Connected records that a connection was set up within took.
func (m *Meter) Connected(took time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.samples) == maxSamples {
		m.samples = slices.Delete(m.samples, 0, 1)
	}
	m.samples = append(m.samples, sample{took, now})
	if now.Sub(m.baselineFrom) >= baselineInterval {
		m.shortestBefore, m.shortest, m.baselineFrom = m.shortest, took, now
	}
	m.shortest = min(m.shortest, took)
}

// Delay returns the median of the recent set-up times, beyond the shortest one of the last
// intervals; 0 if there were too few connections.
func (m *Meter) Delay(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	recent := make([]time.Duration, 0, maxSamples)
	for _, s := range m.samples {
		if now.Sub(s.at) <= maxSampleAge {
			recent = append(recent, s.took)
		}
	}
	if len(recent) < minSamples {
		return 0
	}
	slices.Sort(recent)
	baseline := m.shortest
	if m.shortestBefore > 0 {
		baseline = min(baseline, m.shortestBefore)
	}
	return recent[len(recent)/quantileDivisor] - baseline
}
