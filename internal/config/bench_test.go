package config_test

import (
	"fmt"
	"testing"

	"github.com/godwitbend/godwitbend/internal/config"
)

// benchView returns a view of n callers with a budget each and 28 services with a
// policy each.
func benchView(n int) *config.View {
	records := baseRecords()
	for i := range n {
		name := fmt.Sprintf("caller-%05d", i)
		records = append(records,
			record(config.KindBudget, name, 2, `{"organisation":"heraut"}`),
			record(config.KindCaller, name, 2, callerSpec("heraut", name, fmt.Sprintf("%064x", i))))
	}
	for i := range 28 {
		name := fmt.Sprint("model-", i)
		records = append(records,
			record(config.KindService, name, 2, `{"kind":"model"}`),
			record(config.KindPolicy, name, 2, fmt.Sprintf(`{"organisation":"heraut","services":[%q],"upstreams":["engine-*"],"zones":["z1","z2"]}`, name)))
	}
	return config.NewView(records, 1)
}

// BenchmarkViewWith measures the application of one changed caller record.
func BenchmarkViewWith(b *testing.B) {
	for _, n := range []int{100, 1_000, 11_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := benchView(n)
			change := []config.Record{record(config.KindCaller, "caller-00000", 2, callerSpec("heraut", "caller-00000", keyHash))}
			b.ReportAllocs()
			for b.Loop() {
				v.With(change, 2)
			}
		})
	}
}

// BenchmarkFilter measures the filter of one request over 10,000 upstreams.
func BenchmarkFilter(b *testing.B) {
	v := benchView(11_000)
	upstreams := make([]string, 10_000)
	for i := range upstreams {
		upstreams[i] = fmt.Sprint("engine-", i)
	}
	b.ReportAllocs()
	for b.Loop() {
		f := v.Filter("heraut", "model-7")
		for _, upstream := range upstreams {
			f.Allows(upstream, "z2")
		}
	}
}
