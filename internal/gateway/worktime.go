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

// workTime is how long an answer took: the time to its start, and from there on the time per token that the request
// allowed. It is all time to the start if the request states no tokens.
type workTime struct{ start, perToken time.Duration }

func newWorkTime(start, total time.Duration, tokens int64) workTime {
	if tokens <= 0 {
		return workTime{start: total}
	}
	return workTime{start: start, perToken: (total - start) / time.Duration(tokens)}
}

// of returns how long the answer takes to a request that allows tokens.
func (w workTime) of(tokens int64) time.Duration {
	if w.perToken > 0 && tokens > int64(time.Hour/w.perToken) {
		return time.Hour
	}
	return w.start + w.perToken*time.Duration(max(tokens, 0))
}

// workTimes holds the times of recent answers by route. It is safe for concurrent use.
type workTimes struct {
	mu     sync.Mutex
	routes map[string]*routeWorkTimes
}

type routeWorkTimes struct {
	samples []workTime
	next    int
}

// add records an answer of a route.
func (t *workTimes) add(route string, w workTime) {
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
		r.samples = append(r.samples, w)
		return
	}
	r.samples[r.next] = w
	r.next = (r.next + 1) % workTimeSamples
}

// overrunShare returns the share of recent answers of a route that would take longer than left for a request that
// allows tokens; 0 if too few are known.
func (t *workTimes) overrunShare(route string, tokens int64, left time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	if r == nil || len(r.samples) < minWorkTimeSamples {
		return 0
	}
	longer := 0
	for _, w := range r.samples {
		if w.of(tokens) > left {
			longer++
		}
	}
	return float64(longer) / float64(len(r.samples))
}
