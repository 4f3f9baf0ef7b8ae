// Package retrylimit keeps the requests that go to a second upstream within a
// bound that holds over all hosts, without talking: each host uses a part of the
// slack and a part of its own requests.
package retrylimit

import (
	"sync"
	"time"
)

const (
	// ratioPart and slackPart are the parts of the bound that are used, so that
	// windows which slide and hosts that come and go stay within it.
	ratioPart = 0.5
	slackPart = 0.6
	// bucketsPerWindow is the resolution of the window.
	bucketsPerWindow = 10
)

// Settings is a bound: Ratio of the requests of a service plus Slack within any Window.
type Settings struct {
	Ratio  float64
	Slack  int
	Window time.Duration
}

// Limiter counts the requests and retries of each service on one host.
type Limiter struct {
	settings Settings
	// start is the origin of the buckets, so that jumps of the time of day don't matter.
	start    time.Time
	mu       sync.Mutex
	services map[string]*counts
}

// counts holds the events of the last window in buckets.
type counts struct {
	bucket            int64
	requests, retries [bucketsPerWindow + 1]int
}

// New returns a limiter; times passed in later follow now.
func New(s Settings, now time.Time) *Limiter {
	return &Limiter{settings: s, start: now, services: map[string]*counts{}}
}

// Request counts a request of a service.
func (l *Limiter) Request(service string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.advance(service, now)
	c.requests[c.bucket%int64(len(c.requests))]++
}

// Retry asks for a retry, and counts it if it is allowed. hosts is the number of
// hosts that share the bound.
func (l *Limiter) Retry(service string, hosts int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.advance(service, now)
	requests, retries := sum(c.requests[:]), sum(c.retries[:])
	allowed := l.settings.Ratio*ratioPart*float64(requests) +
		float64(l.settings.Slack)*slackPart/float64(max(hosts, 1))
	if float64(retries+1) > allowed {
		return false
	}
	c.retries[c.bucket%int64(len(c.retries))]++
	return true
}

func (l *Limiter) advance(service string, now time.Time) *counts {
	bucket := int64(now.Sub(l.start) / (l.settings.Window / bucketsPerWindow))
	c := l.services[service]
	if c == nil {
		c = &counts{bucket: bucket}
		l.services[service] = c
	}
	size := int64(len(c.requests))
	if bucket-c.bucket >= size || bucket < c.bucket {
		*c = counts{bucket: bucket}
		return c
	}
	for c.bucket < bucket {
		c.bucket++
		c.requests[c.bucket%size], c.retries[c.bucket%size] = 0, 0
	}
	return c
}

func sum(values []int) int {
	total := 0
	for _, v := range values {
		total += v
	}
	return total
}
