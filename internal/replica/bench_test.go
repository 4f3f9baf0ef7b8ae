package replica

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/godwitbend/godwitbend/internal/replication"
)

// countingMachine is a state machine that only counts the commands it applies.
type countingMachine struct{ applied int }

func (c *countingMachine) Apply(uint64, []byte) any  { c.applied++; return c.applied }
func (c *countingMachine) Snapshot() ([]byte, error) { return []byte{}, nil }
func (c *countingMachine) Restore([]byte) error      { return nil }

// directTransport delivers messages directly to the inbox of the receiver.
type directTransport struct {
	mu       sync.RWMutex
	replicas map[uint64]*Replica
}

func (t *directTransport) Send(to uint64, msgs []replication.Message) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if r := t.replicas[to]; r != nil {
		r.Deliver(msgs)
	}
}

// benchGroup starts three replicas on the operating system's file system and returns
// the leader.
func benchGroup(b *testing.B) (leader *Replica, all []*Replica) {
	transport := &directTransport{replicas: map[uint64]*Replica{}}
	for id := uint64(1); id <= 3; id++ {
		r, err := Start(Options{
			ID: id, Peers: []replication.Peer{{ID: 1}, {ID: 2}, {ID: 3}}, Bootstrap: true,
			Directory: b.TempDir(), Machine: &countingMachine{}, Transport: transport,
			TickInterval: 20 * time.Millisecond, ElectionTicks: 25, HeartbeatTicks: 3,
		})
		if err != nil {
			b.Fatal(err)
		}
		transport.mu.Lock()
		transport.replicas[id] = r
		transport.mu.Unlock()
		all = append(all, r)
		b.Cleanup(func() { _ = r.Stop() })
	}
	for {
		for _, r := range all {
			if _, err := r.Barrier(context.Background()); err == nil {
				return r, all
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

type latencyRecorder struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	errors    int
}

func (rec *latencyRecorder) propose(leader *Replica, command []byte) {
	begin := time.Now()
	_, err := leader.Propose(context.Background(), command)
	latency := time.Since(begin)
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if err != nil {
		rec.errors++
		return
	}
	_ = rec.histogram.RecordValue(latency.Microseconds())
}

const benchCommandBytes = 256

// BenchmarkPropose measures proposals at fixed rates, independent of their latency,
// and with 256 concurrent proposers per CPU.
func BenchmarkPropose(b *testing.B) {
	for _, rate := range []int{50, 200, 1000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			benchmark(b, func(leader *Replica, rec *latencyRecorder) {
				ticker := time.NewTicker(time.Second / time.Duration(rate))
				defer ticker.Stop()
				var wg sync.WaitGroup
				for range b.N {
					<-ticker.C
					wg.Go(func() { rec.propose(leader, make([]byte, benchCommandBytes)) })
				}
				wg.Wait()
			})
		})
	}
	b.Run("closed=256", func(b *testing.B) {
		benchmark(b, func(leader *Replica, rec *latencyRecorder) {
			b.SetParallelism(256)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					rec.propose(leader, make([]byte, benchCommandBytes))
				}
			})
		})
	})
}

func benchmark(b *testing.B, load func(leader *Replica, rec *latencyRecorder)) {
	leader, all := benchGroup(b)
	rec := &latencyRecorder{histogram: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	before := syncCounts(all)
	b.ResetTimer()
	load(leader, rec)
	b.StopTimer()
	after := syncCounts(all)
	b.ReportMetric(float64(rec.histogram.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(rec.histogram.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64(b.N)/float64(after[0]-before[0]), "commands/leader-sync")
	b.ReportMetric(float64(b.N)*3/float64(sum(after)-sum(before)), "commands/sync")
	b.ReportMetric(float64(rec.errors), "errors")
}

// syncCounts returns the number of syncs of each replica, the leader's first.
func syncCounts(all []*Replica) []uint64 {
	var leader, others []uint64
	for _, r := range all {
		s := r.Status()
		if s.Role == replication.Leader {
			leader = append(leader, s.Syncs)
			continue
		}
		others = append(others, s.Syncs)
	}
	return append(leader, others...)
}

func sum(values []uint64) (total uint64) {
	for _, v := range values {
		total += v
	}
	return total
}
