package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/presence"
)

// Guards against news that depend on their order, on repetition or on who tells them, as two halves
// of a control group tell different things.
func TestNewsOfUpstreamsMergeInAnyOrder(t *testing.T) {
	for seed := range uint64(300) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 7))
		var records []presence.Record
		type latest struct {
			startedMS int64
			state     presence.State
		}
		want := map[string]latest{}
		for range 30 {
			r := presence.Record{Upstream: presence.Upstream{
				ID: fmt.Sprint("u", random.IntN(4)), Service: "s", StartedMS: 1 + random.Int64N(3), State: presence.State(1 + random.IntN(3)),
			}}
			r.Address = r.ID
			records = append(records, r)
			if l := want[r.ID]; r.StartedMS > l.startedMS || r.StartedMS == l.startedMS && r.State > l.state {
				want[r.ID] = latest{r.StartedMS, r.State}
			}
		}
		p := NewPool("a")
		for range 2 {
			random.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
			for i := range records {
				if random.IntN(2) == 0 {
					p.MergeNews(records[i : i+1])
				} else {
					p.Update(records[i : i+1])
				}
			}
		}
		for id, l := range want {
			r := p.table.Record(id)
			g.Expect(latest{r.StartedMS, r.State}).To(Equal(l), "%s, seed %d", id, seed)
		}
	}
}

// Guards against calling an upstream unresponsive because one control host does not hear from it.
func TestNewsDoNotTellWhetherAnUpstreamIsResponsive(t *testing.T) {
	g := NewWithT(t)
	p := newVersionedPool("v1")
	silent := versionRecords("v1")
	silent[0].Unresponsive = true
	g.Expect(p.MergeNews(silent)).To(BeEmpty())
	g.Expect(mustChoose(g, p, &Request{Service: "engine"}).heartbeatOverdue).To(BeFalse())
	unknown := versionRecords("v1", "v1")[1:]
	unknown[0].Unresponsive = true
	g.Expect(p.MergeNews(unknown)).To(BeEmpty())
	g.Expect(p.HasReady("engine", time.Now())).To(BeTrue())
}

// Guards against losing the capacity of upstreams that report to control hosts which the leader does
// not reach.
func TestUpstreamThatAnswersIsUsedThoughItsHeartbeatIsOverdue(t *testing.T) {
	g := NewWithT(t)
	p := newVersionedPool("v1", "v1")
	var answering *Assignment
	for answering == nil {
		if a := mustChoose(g, p, &Request{Service: "engine"}); a.ID == "u0" {
			answering = a
		}
	}
	p.Observe(answering, Served, startTime)
	p.Release(answering)
	overdue := versionRecords("v1", "v1")
	overdue[0].Unresponsive, overdue[1].Unresponsive = true, true
	p.Update(overdue)
	choices := func(at time.Time) map[string]int {
		chosen := map[string]int{}
		for range 8 {
			a, refused := p.Choose(&Request{Service: "engine"}, at)
			g.Expect(refused).To(BeNil())
			chosen[a.ID]++
			p.Release(a)
		}
		return chosen
	}
	g.Expect(choices(startTime.Add(presence.HeartbeatTimeout/2))).To(Equal(map[string]int{"u0": 8}), "it has answered lately")
	g.Expect(choices(startTime.Add(presence.HeartbeatTimeout))).To(HaveLen(2), "neither has")
}
