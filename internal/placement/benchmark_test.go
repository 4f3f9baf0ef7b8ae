package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitbend/godwitbend/internal/presence"
)

// BenchmarkChoose measures the choice of one of 16 engines and its release.
func BenchmarkChoose(b *testing.B) { benchmarkChoose(b, NewPool("a")) }

// BenchmarkChooseByValue measures the same where requests are admitted by value.
func BenchmarkChooseByValue(b *testing.B) {
	p := NewPool("a")
	p.OrderByValue()
	benchmarkChoose(b, p)
}

func benchmarkChoose(b *testing.B, p *Pool) {
	var records []presence.Record
	for i := range 16 {
		records = append(records, presence.Record{Upstream: presence.Upstream{
			ID: fmt.Sprint("u", i), Service: "engine", Zone: "a", Slots: 64, State: presence.Ready, StartedMS: 1,
		}})
	}
	p.Update(records)
	now := time.Unix(1_800_000_000, 0)
	for i := range b.N {
		req := &Request{Service: "engine", PromptTokens: 4000, Prefix: uint64(i % 64), PrefixTokens: 3000, HasPrefix: true, LatencyObjective: time.Second, TimeLeft: time.Minute}
		a, refused := p.Choose(req, now)
		if refused != nil {
			b.Fatal(refused.Reason)
		}
		p.Release(a)
		now = now.Add(time.Millisecond)
	}
}
