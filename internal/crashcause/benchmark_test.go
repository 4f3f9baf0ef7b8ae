package crashcause

import (
	"testing"
	"time"
)

// BenchmarkDecide measures an evaluation after many processes crashed with many requests each.
func BenchmarkDecide(b *testing.B) {
	tracker := &Tracker{}
	for i := range maxCrashes {
		for j := range 100 {
			tracker.crash(i, i*10, uint64(1_000_000+i*1000+j), common, uint64(100+j%20), uint64(1000+i*1000+j))
		}
	}
	b.ReportAllocs()
	for i := range b.N {
		tracker.changed = true
		tracker.Decide(at(2000).Add(time.Duration(i) * decisionInterval))
	}
}
