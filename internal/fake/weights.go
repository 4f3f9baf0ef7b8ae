package fake

import (
	"net/http"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/timing"
)

// WeightStore is a stand-in for the weight store: it serves at a limited rate,
// shared by all that fetch at the same time.
//
//	GET /weights/{model}   returns when the model's bytes would have arrived
type WeightStore struct {
	mu sync.Mutex
	// bytesPerSecond is the rate limit.
	bytesPerSecond int64
	modelBytes     int64
	busyUntil      time.Time
	fetches        int
}

// NewWeightStore returns a store whose models all have modelBytes bytes.
func NewWeightStore(modelBytes, bytesPerSecond int64) *WeightStore {
	return &WeightStore{modelBytes: modelBytes, bytesPerSecond: bytesPerSecond}
}

// Fetches returns the number of fetches so far.
func (s *WeightStore) Fetches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetches
}

// ServeHTTP implements http.Handler.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !timing.Sleep(r.Context(), s.reserve()) {
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// reserve returns the time until a fetch that begins now ends.
func (s *WeightStore) reserve() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetches++
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(time.Duration(s.modelBytes) * time.Second / time.Duration(s.bytesPerSecond))
	return s.busyUntil.Sub(now)
}
