package fake

import (
	"net/http"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/timing"
)

// WeightStore is a stand-in for the weight store. Its rate limit is shared by all
// concurrent fetches.
//
//	GET /weights/{model}   answers when the transfer of the model would have ended
type WeightStore struct {
	mu sync.Mutex
	// bytesPerSecond limits the total rate of all fetches.
	bytesPerSecond int64
	modelBytes     int64
	busyUntil      time.Time
	fetches        int
}

// NewWeightStore returns a store in which each model has modelBytes bytes.
func NewWeightStore(modelBytes, bytesPerSecond int64) *WeightStore {
	return &WeightStore{modelBytes: modelBytes, bytesPerSecond: bytesPerSecond}
}

// Fetches returns the number of fetches that have begun.
func (s *WeightStore) Fetches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetches
}

// ServeHTTP implements http.Handler.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !timing.Sleep(r.Context(), s.scheduleFetch()) {
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// scheduleFetch queues a fetch behind the earlier ones and returns the time until it ends.
func (s *WeightStore) scheduleFetch() time.Duration {
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
