// Package retrylimit bounds the requests that are retried at another upstream. The bound
// holds for all hosts together without communication: each host may use its share of
// the slack and a ratio of its own requests. Hosts may lend each other what they have left.
package retrylimit

import (
	"sync"
	"time"
)

const (
	// ratioShare and slackShare are the shares of the bound that are used. The margin
	// keeps the bound for windows of any position and while the number of hosts changes.
	ratioShare = 0.5
	slackShare = 0.6
	// spareShare is the share of a host's part of the bound that retries may use which can wait.
	spareShare = 0.5
	// bucketsPerWindow is the number of counting buckets per window.
	bucketsPerWindow = 10
)

// Settings is the bound per service: within any Window at most Ratio times the requests
// plus Slack may be retried.
type Settings struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Limiter counts the requests and retries of each service on one host.
type Limiter struct {
	settings Settings
	// start is the origin of the buckets. Its monotonic clock reading makes them immune
	// to jumps of the wall clock.
	start    time.Time
	mu       sync.Mutex
	services map[string]*counts
	// keeps reports that nothing more is lent to other hosts.
	keeps bool
}

// counts holds the requests and retries of the last window, in a ring of buckets.
type counts struct {
	bucket            int64
	requests, retries [bucketsPerWindow + 1]int
	// lent counts as retries, and borrowed is what other hosts count.
	lent, borrowed []loan
}

// New returns a limiter. Times passed to its methods must not precede now.
func New(s Settings, now time.Time) *Limiter {
	return &Limiter{settings: s, start: now, services: map[string]*counts{}}
}

// CountRequest counts a request to a service.
func (l *Limiter) CountRequest(service string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, bucket := l.advance(service, now)
	c.requests[bucket]++
}

// AllowRetry reports whether a retry is allowed, and counts it if so. hosts is the number
// of hosts that share the bound.
func (l *Limiter) AllowRetry(service string, hosts int, now time.Time) bool {
	return l.allow(service, hosts, 1, now)
}

// AllowSpareRetry is AllowRetry for a retry that can wait: it leaves a part of the bound to others.
func (l *Limiter) AllowSpareRetry(service string, hosts int, now time.Time) bool {
	return l.allow(service, hosts, spareShare, now)
}

func (l *Limiter) allow(service string, hosts int, share float64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, bucket := l.advance(service, now)
	used := float64(sum(c.retries[:])) + float64(c.lentAt(now))/WholeRetry
	if used+1 > share*l.allowed(c, hosts) {
		return false
	}
	c.retries[bucket]++
	return true
}

// allowed returns the share of this host.
func (l *Limiter) allowed(c *counts, hosts int) float64 {
	return l.settings.Ratio*ratioShare*float64(sum(c.requests[:])) + l.settings.Slack*slackShare/float64(max(hosts, 1))
}

// ReturnRetry takes back the count of a retry that was allowed at a time and not sent.
func (l *Limiter) ReturnRetry(service string, allowed time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, bucket := l.advance(service, allowed)
	if c.bucket-l.bucketOf(allowed) < int64(len(c.retries)) && c.retries[bucket] > 0 {
		c.retries[bucket]--
	}
}

// bucketOf returns the number of the bucket of a time.
func (l *Limiter) bucketOf(t time.Time) int64 {
	return int64(t.Sub(l.start) / (l.settings.Window / bucketsPerWindow))
}

// advance returns the counts of a service, with the buckets before the window cleared, and the index of the bucket for now. That may
// precede times passed before, as requests are counted by their arrival.
func (l *Limiter) advance(service string, now time.Time) (c *counts, index int64) {
	bucket := l.bucketOf(now)
	c = l.services[service]
	if c == nil {
		c = &counts{bucket: bucket}
		l.services[service] = c
	}
	size := int64(len(c.requests))
	if bucket-c.bucket >= size {
		*c = counts{bucket: bucket, lent: c.lent, borrowed: c.borrowed}
	}
	for c.bucket < bucket {
		c.bucket++
		c.requests[c.bucket%size], c.retries[c.bucket%size] = 0, 0
	}
	return c, max(bucket, c.bucket-size+1) % size
}

func sum(values []int) int {
	total := 0
	for _, v := range values {
		total += v
	}
	return total
}
