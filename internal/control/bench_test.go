package control_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/control"
	"github.com/godwitbend/godwitbend/internal/controlapi"
)

// benchTokens is paid into each budget; it suffices for all requests of a benchmark.
const benchTokens = 1 << 50

// benchMachine returns a machine with the given number of budgets, each with a caller and a top-up.
func benchMachine(b *testing.B, budgets int) *control.Machine {
	m := control.NewMachine()
	execute(b, m, &controlapi.Command{TimeMS: 1, OpenSession: &controlapi.OpenSession{Session: hostA, SchemaMin: 1, SchemaMax: 2}})
	writes := []controlapi.ConfigWrite{
		{Record: record(config.KindOrganisation, "heraut", `{}`)},
		{Record: record(config.KindClass, "gold", `{"worth":10,"deadline_ms":2000,"queue_limit":100}`)},
	}
	for i := range budgets {
		name := benchBudget(i)
		writes = append(writes,
			controlapi.ConfigWrite{Record: record(config.KindBudget, name, `{"organisation":"heraut"}`)},
			controlapi.ConfigWrite{Record: record(config.KindCaller, name, callerSpec("heraut", "gold", name, name))})
		if len(writes) >= 500 || i == budgets-1 {
			execute(b, m, &controlapi.Command{Configure: &controlapi.ConfigureRequest{OperationID: name, Writes: writes}})
			writes = nil
		}
	}
	for i := range budgets {
		execute(b, m, &controlapi.Command{TopUp: &controlapi.TopUpRequest{OperationID: benchBudget(i), Budget: benchBudget(i), Tokens: benchTokens}})
	}
	return m
}

func benchBudget(i int) string { return fmt.Sprintf("budget-%05d", i) }

func execute(b *testing.B, m *control.Machine, cmd *controlapi.Command) {
	if r := m.Execute(cmd); r.Err != nil {
		b.Fatal(r.Err)
	}
}

// requestCommands returns the Begin and Settle commands of a request.
func requestCommands(i int, timeMS int64) (begin, settle *controlapi.Command) {
	id := controlapi.RequestIDFor("crier", fmt.Sprint(i))
	hash := controlapi.BodyHash("proclaim", "/", fmt.Append(nil, i))
	begin = &controlapi.Command{TimeMS: timeMS, Begin: &controlapi.BeginRequest{
		RequestID: id, Organisation: "heraut", Caller: benchBudget(0), Budget: benchBudget(0), Service: "proclaim", BodyHash: hash,
		Repeatable: true, Tokens: 4000, Session: hostA, Upstream: fmt.Sprint("engine-", i%10), UpstreamIncarnation: 1,
	}}
	settle = &controlapi.Command{TimeMS: timeMS, Settle: &controlapi.SettleRequest{RequestID: id, Attempt: 1, Tokens: 900, Session: hostA}}
	return begin, settle
}

// BenchmarkBeginSettle executes the two commands of a request, decoded from the log,
// in a steady state of 1,000 requests per second.
func BenchmarkBeginSettle(b *testing.B) {
	m := benchMachine(b, 1)
	log := make([][]byte, 0, 2*b.N)
	for i := range b.N {
		begin, settle := requestCommands(i, int64(i))
		for _, cmd := range []*controlapi.Command{begin, settle} {
			data, err := codec.Marshal(cmd)
			if err != nil {
				b.Fatal(err)
			}
			log = append(log, data)
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i, data := range log {
		if r := m.Apply(uint64(i), data).(*controlapi.Result); r.Err != nil {
			b.Fatal(r.Err)
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// reportState reports the heap and snapshot sizes of m per unit, less those of an
// empty machine, and the time to write and read the snapshot.
func reportState(b *testing.B, m *control.Machine, before uint64, emptySnapshot int, units float64, unit string) {
	heap := heapBytes() - before
	started := time.Now()
	data, err := m.Snapshot()
	written := time.Since(started)
	if err != nil {
		b.Fatal(err)
	}
	started = time.Now()
	if err := control.NewMachine().Restore(data); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(heap)/units, "heap-B/"+unit)
	b.ReportMetric(float64(len(data)-emptySnapshot)/units, "snapshot-B/"+unit)
	b.ReportMetric(float64(written.Milliseconds()), "write-ms")
	b.ReportMetric(float64(time.Since(started).Milliseconds()), "read-ms")
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(m)
}

func snapshotBytes(b *testing.B, m *control.Machine) int {
	data, err := m.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}

// BenchmarkRecords measures the size of settled request records within their retention.
func BenchmarkRecords(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				m := benchMachine(b, 1)
				before, empty := heapBytes(), snapshotBytes(b, m)
				for i := range n {
					begin, settle := requestCommands(i, int64(i))
					execute(b, m, begin)
					execute(b, m, settle)
				}
				reportState(b, m, before, empty, float64(n)/10_000, "10k-records")
			}
		})
	}
}

// BenchmarkBudgets measures the size of budgets, each with its configuration record,
// a caller, one top-up and their history entries.
func BenchmarkBudgets(b *testing.B) {
	for _, n := range []int{100, 1_000, 11_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before, empty := heapBytes(), snapshotBytes(b, control.NewMachine())
				m := benchMachine(b, n)
				reportState(b, m, before, empty, float64(n), "budget")
			}
		})
	}
}
