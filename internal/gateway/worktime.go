package gateway

import (
	"sync"
	"time"
)

const (
	// workTimeSamples is the number of recent answers of a route whose times are kept, and minWorkTimeSamples the
	// number below which nothing is concluded from them.
	workTimeSamples    = 64
	minWorkTimeSamples = 16
	// maxWorkTimeRoutes bounds the routes whose times are kept.
	maxWorkTimeRoutes = 256
)

// workTimes holds the times that recent answers of routes without streams took. It is safe for concurrent use.
type workTimes struct {
	mu     sync.Mutex
	routes map[string]*routeWorkTimes
}

type routeWorkTimes struct {
	samples []time.Duration
	next    int
}

// add records that an answer of a route took so long.
func (t *workTimes) add(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	if r == nil {
		if t.routes == nil || len(t.routes) >= maxWorkTimeRoutes {
			t.routes = map[string]*routeWorkTimes{}
		}
		r = &routeWorkTimes{}
		t.routes[route] = r
	}
	if len(r.samples) < workTimeSamples {
		r.samples = append(r.samples, took)
		return
	}
	r.samples[r.next] = took
	r.next = (r.next + 1) % workTimeSamples
}

// overrunShare returns the share of recent answers of a route that took longer than left; 0 if too few are known.
func (t *workTimes) overrunShare(route string, left time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	if r == nil || len(r.samples) < minWorkTimeSamples {
		return 0
	}
	longer := 0
	for _, took := range r.samples {
		if took > left {
			longer++
		}
	}
	return float64(longer) / float64(len(r.samples))
}
