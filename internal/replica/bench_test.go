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

// counter is a state machine that only counts.
type counter struct{ applied int }

func (c *counter) Apply(uint64, []byte) any  { c.applied++; return c.applied }
func (c *counter) Snapshot() ([]byte, error) { return []byte{}, nil }
func (c *counter) Restore([]byte) error      { return nil }

// directLinks delivers straight into the inbox of the receiver.
type directLinks struct {
	mu       sync.RWMutex
	replicas map[uint64]*Replica
}

func (l *directLinks) Send(to uint64, msgs []replication.Message) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if r := l.replicas[to]; r != nil {
		r.Deliver(msgs)
	}
}

// benchGroup starts three replicas on real files and returns the leader.
func benchGroup(b *testing.B) (leader *Replica, all []*Replica) {
	links := &directLinks{replicas: map[uint64]*Replica{}}
	for id := uint64(1); id <= 3; id++ {
		r, err := Start(Options{
			ID: id, Peers: []replication.Peer{{ID: 1}, {ID: 2}, {ID: 3}}, Bootstrap: true,
			Directory: b.TempDir(), Machine: &counter{}, Transport: links,
			TickInterval: 20 * time.Millisecond, ElectionTicks: 25, HeartbeatTicks: 3,
		})
		if err != nil {
			b.Fatal(err)
		}
		links.mu.Lock()
		links.replicas[id] = r
		links.mu.Unlock()
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

type recorder struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	errors    int
}

func (rec *recorder) propose(leader *Replica, command []byte) {
	begin := time.Now()
	_, err := leader.Propose(context.Background(), command)
	took := time.Since(begin)
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if err != nil {
		rec.errors++
		return
	}
	_ = rec.histogram.RecordValue(took.Microseconds())
}

const benchCommandBytes = 256

// BenchmarkPropose proposes at fixed rates, whatever the answers take.
func BenchmarkPropose(b *testing.B) {
	for _, rate := range []int{50, 200, 1000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			benchmark(b, func(leader *Replica, rec *recorder) {
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
		benchmark(b, func(leader *Replica, rec *recorder) {
			b.SetParallelism(256)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					rec.propose(leader, make([]byte, benchCommandBytes))
				}
			})
		})
	})
}

func benchmark(b *testing.B, load func(leader *Replica, rec *recorder)) {
	leader, all := benchGroup(b)
	rec := &recorder{histogram: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	before := syncs(all)
	b.ResetTimer()
	load(leader, rec)
	b.StopTimer()
	after := syncs(all)
	b.ReportMetric(float64(rec.histogram.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(rec.histogram.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64(b.N)/float64(after[0]-before[0]), "commands/leader-sync")
	b.ReportMetric(float64(b.N)*3/float64(sum(after)-sum(before)), "commands/sync")
	b.ReportMetric(float64(rec.errors), "errors")
}

// syncs returns the number of syncs of each replica, the leader's first.
func syncs(all []*Replica) []uint64 {
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
