package streamorigin_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/streamorigin"
)

var now = time.Unix(1_000_000, 0)

func TestRecordsExpireAndAreBounded(t *testing.T) {
	g := NewWithT(t)
	table := streamorigin.NewTable()
	origin := streamorigin.Origin{Service: "s", Version: "v1"}
	g.Expect(table.Put("a", origin, time.Minute, now)).To(BeTrue())
	got, known := table.Get("a", now.Add(59*time.Second))
	g.Expect(known).To(BeTrue())
	g.Expect(got).To(Equal(origin))
	_, known = table.Get("a", now.Add(time.Minute))
	g.Expect(known).To(BeFalse())
	g.Expect(table.Put("b", origin, 24*time.Hour, now)).To(BeTrue())
	_, known = table.Get("b", now.Add(streamorigin.MaxLifetime))
	g.Expect(known).To(BeFalse())
	g.Expect(table.Put(strings.Repeat("k", streamorigin.MaxKeyBytes+1), origin, time.Minute, now)).To(BeFalse())
	kept := 0
	for i := range 100_000 {
		if table.Put(fmt.Sprint(i), origin, time.Minute, now) {
			kept++
		}
	}
	g.Expect(kept).To(And(BeNumerically(">", 10_000), BeNumerically("<", 100_000)))
	g.Expect(table.Put("c", origin, time.Minute, now.Add(2*time.Minute))).To(BeTrue(), "expired records make room")
}

// Guards against records that the host which needs them does not find: whichever host began the
// stream, each other one asks all of its keepers.
func TestEveryHostFindsTheKeepersOfAnyOther(t *testing.T) {
	g := NewWithT(t)
	for _, size := range []int{2, 3, 4, 9, 291} {
		var hosts []string
		for i := range size {
			hosts = append(hosts, fmt.Sprintf("10.0.0.%d:7000", i))
		}
		load := map[string]int{}
		for i := range 200 {
			key := fmt.Sprintf("attempt-%d", i)
			began, resumed := hosts[i%size], hosts[(i+1)%size]
			keepers := streamorigin.KeepersOf(key, began, hosts, streamorigin.Keepers)
			g.Expect(keepers).To(HaveLen(min(streamorigin.Keepers, size-1)))
			asked := append(streamorigin.KeepersOf(key, resumed, hosts, streamorigin.Lookups), resumed)
			for _, k := range keepers {
				g.Expect(k).NotTo(Equal(began))
				g.Expect(asked).To(ContainElement(k))
				load[k]++
			}
		}
		for host, n := range load {
			g.Expect(n).To(BeNumerically("<=", 3*max(200*streamorigin.Keepers/size, 4)), host)
		}
	}
}
