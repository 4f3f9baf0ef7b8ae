package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/presence"
)

// BenchmarkChooseWhileUpstreamsAreCold measures the choice of one of 140 engines of which 70 are cold in a
// fleet of 300 hosts, and its release.
func BenchmarkChooseWhileUpstreamsAreCold(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	for _, cold := range []int{0, 70} {
		b.Run(fmt.Sprint(cold), func(b *testing.B) {
			p := NewPool("a")
			p.clock = func() time.Time { return now }
			var hosts []string
			for i := range 300 {
				hosts = append(hosts, fmt.Sprintf("10.0.%d.%d:1", i/250, i%250))
			}
			p.SetHosts(hosts[0], hosts)
			p.SetWarmUps([]catalog.Service{{Name: "engine", WarmUp: catalog.WarmUp{Rate: 6.7, Duration: time.Hour}}}, now)
			var records []presence.Record
			for i := range 140 {
				r := coldRecord(presence.Coldness{Sequence: 1})
				r.ID = fmt.Sprint("u", i)
				if i < cold {
					r.Cold = presence.NewColdness(presence.MaxColdTime, 1, now)
				}
				records = append(records, r)
			}
			p.Update(records)
			at := now
			for i := range b.N {
				req := &Request{Service: "engine", PromptTokens: 4000, Prefix: uint64(i % 64), PrefixTokens: 3000, HasPrefix: true, LatencyObjective: time.Second}
				a, refused := p.Choose(req, at)
				if refused != nil {
					b.Fatal(refused.Reason)
				}
				p.Takes(a, at)
				p.Release(a)
				at = at.Add(time.Microsecond)
			}
		})
	}
}

// BenchmarkNewListOfHostsWhileUpstreamsAreCold measures a change of the list of 300 hosts while 140 upstreams
// are cold.
func BenchmarkNewListOfHostsWhileUpstreamsAreCold(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	p := NewPool("a")
	p.clock = func() time.Time { return now }
	var hosts []string
	for i := range 300 {
		hosts = append(hosts, fmt.Sprintf("10.0.%d.%d:1", i/250, i%250))
	}
	p.SetWarmUps([]catalog.Service{{Name: "engine", WarmUp: catalog.WarmUp{Rate: 6.7, Duration: time.Hour}}}, now)
	var records []presence.Record
	for i := range 140 {
		r := coldRecord(presence.NewColdness(presence.MaxColdTime, 1, now))
		r.ID = fmt.Sprint("u", i)
		records = append(records, r)
	}
	p.Update(records)
	for i := range b.N {
		p.SetHosts(hosts[0], hosts[:299+i%2])
	}
}
