package fake

import (
	"runtime"
	"time"
)

// heapPollInterval is the interval at which PeakHeap reads the size of the heap.
const heapPollInterval = time.Millisecond

// PeakHeap calls fn and returns the largest growth of the heap meanwhile, in bytes.
func PeakHeap(fn func()) uint64 {
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	peak := uint64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		fn()
	}()
	for {
		runtime.ReadMemStats(&now)
		peak = max(peak, now.HeapAlloc-min(before.HeapAlloc, now.HeapAlloc))
		select {
		case <-done:
			return peak
		case <-time.After(heapPollInterval):
		}
	}
}
