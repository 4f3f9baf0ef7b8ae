package notice

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_800_000_000, 0)

func limit(startedMS int64, rate float64, age time.Duration) Report {
	return Report{Upstream: "u", StartedMS: startedMS, Limited: true, RequestRate: rate, Age: age}
}

func rates(t *Table, now time.Time) (list []float64) {
	s := t.Snapshot(now)
	for _, r := range s.Reports(now) {
		if r.Limited {
			list = append(list, r.RequestRate)
		}
	}
	return list
}

func TestLatestAnswerOfTheLatestProcessCounts(t *testing.T) {
	g := NewWithT(t)
	table := &Table{}
	table.Apply(limit(5, 2, 0), start)
	table.Apply(limit(5, 3, time.Second), start)
	g.Expect(rates(table, start)).To(Equal([]float64{2}), "an earlier answer that arrives late")
	table.Apply(Report{Upstream: "u", StartedMS: 4}, start.Add(time.Second))
	g.Expect(rates(table, start)).To(Equal([]float64{2}), "an answer of an earlier process")
	table.Apply(Report{Upstream: "u", StartedMS: 5}, start.Add(time.Second))
	g.Expect(rates(table, start.Add(time.Second))).To(BeEmpty())
	table.Apply(limit(5, 2, time.Second), start.Add(time.Second))
	g.Expect(rates(table, start.Add(time.Second))).To(BeEmpty(), "a limit from before its end")
	table.Apply(limit(6, 7, 0), start.Add(time.Second))
	g.Expect(rates(table, start.Add(time.Second))).To(Equal([]float64{7}))
}

func TestSharesAddUpToTheLimit(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{1, 2, 9, 300} {
		var hosts []string
		for i := range n {
			hosts = append(hosts, fmt.Sprint("host-", i))
		}
		for _, rate := range []float64{0.5, 1, 7, 1000} {
			r := limit(1, rate, 0)
			sum, users := 0.0, 0
			for _, h := range hosts {
				share := r.Share(h, hosts)
				sum += share
				if share > 0 {
					users++
				}
			}
			g.Expect(sum).To(BeNumerically("~", rate, 1e-6), "%d hosts", n)
			g.Expect(users).To(BeNumerically("<=", 3+rate))
		}
	}
}

func TestUnansweredLimitIsSharedByOtherHosts(t *testing.T) {
	g := NewWithT(t)
	table := &Table{}
	table.Apply(limit(1, 10, 0), start)
	before := table.Snapshot(start)
	still := table.Snapshot(start.Add(minRotation / 2))
	g.Expect(still.Digest).To(Equal(before.Digest))
	after := table.Snapshot(start.Add(minRotation))
	g.Expect(after.Digest).NotTo(Equal(before.Digest))
	g.Expect(after.Reports(start)[0].Generation).To(Equal(uint32(1)))
}

func TestUpstreamThatTakesNoRequestsIsAskedAtIntervals(t *testing.T) {
	g := NewWithT(t)
	r := limit(1, 0, 0)
	g.Expect(r.Share("a", []string{"a"})).To(Equal(minRequestRate))
}

func TestLeavingIsKeptForItsProcessOnly(t *testing.T) {
	g := NewWithT(t)
	table := &Table{}
	table.Apply(Report{Upstream: "u", StartedMS: 5, Leaving: true}, start)
	leaving := func(now time.Time) bool {
		s := table.Snapshot(now)
		list := s.Reports(now)
		return len(list) == 1 && list[0].Leaving
	}
	g.Expect(leaving(start)).To(BeTrue())
	table.Apply(Report{Upstream: "u", StartedMS: 5, Limited: true, RequestRate: 1}, start.Add(time.Second))
	g.Expect(leaving(start.Add(time.Second))).To(BeTrue(), "another host was not told")
	g.Expect(leaving(start.Add(HintLifetime))).To(BeFalse())
	table.Apply(Report{Upstream: "u", StartedMS: 6, Limited: true, RequestRate: 1}, start.Add(2*time.Second))
	g.Expect(leaving(start.Add(2 * time.Second))).To(BeFalse())
}
