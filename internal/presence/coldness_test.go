package presence_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/presence"
)

// heartbeat applies a heartbeat that states the time for which the process remains cold.
func heartbeat(t *presence.Table, sequence int64, left time.Duration, at time.Time) {
	u := report("u", "a:1", 10, sequence, presence.Ready)
	t.ApplyReport(u, presence.ReportedColdness(left, &u, at), at, at)
}

// Guards against sending each heartbeat of a cold process to all hosts, and against missing that it
// became cold again.
func TestOnlyAMovedEndOfAColdTimeIsAChange(t *testing.T) {
	g := NewWithT(t)
	table := presence.NewTable()
	heartbeat(table, 0, 10*time.Second, now)
	revision := table.Revision()
	heartbeat(table, 1, 8900*time.Millisecond, now.Add(1200*time.Millisecond))
	g.Expect(table.Revision()).To(Equal(revision), "it counts down, and came 100 ms late")
	g.Expect(table.Record("u").Cold.Until).To(Equal(now.Add(10 * time.Second)))
	heartbeat(table, 2, 9*time.Second, now.Add(2400*time.Millisecond))
	g.Expect(table.Revision()).To(Equal(revision+1), "it became cold again")
	heartbeat(table, 3, 0, now.Add(3600*time.Millisecond))
	g.Expect(table.Revision()).To(Equal(revision+2), "it is no longer cold")
	g.Expect(table.Record("u").Cold.Known()).To(BeTrue())
	heartbeat(table, 4, 0, now.Add(4800*time.Millisecond))
	g.Expect(table.Revision()).To(Equal(revision + 2))
}

func TestColdTimeThatHasPassedIsNoChange(t *testing.T) {
	g := NewWithT(t)
	table := presence.NewTable()
	heartbeat(table, 1, time.Second, now)
	revision := table.Revision()
	heartbeat(table, 2, 0, now.Add(1200*time.Millisecond))
	g.Expect(table.Revision()).To(Equal(revision))
}

func TestNewProcessInheritsNoColdTime(t *testing.T) {
	g := NewWithT(t)
	table := presence.NewTable()
	heartbeat(table, 1, time.Minute, now)
	table.Apply(report("u", "a:1", 11, 1, presence.Ready), now)
	g.Expect(table.Record("u").Cold).To(Equal(presence.Coldness{}))
}

// Hosts of an earlier build pass reports on without the cold time.
func TestReportWithoutAColdTimeKeepsTheKnownOne(t *testing.T) {
	g := NewWithT(t)
	table := presence.NewTable()
	heartbeat(table, 1, time.Minute, now)
	table.Apply(report("u", "a:1", 10, 2, presence.Ready), now)
	table.ApplyState(report("u", "a:1", 10, 0, presence.Draining), now)
	g.Expect(table.Record("u").Cold.Until).To(Equal(now.Add(time.Minute)))
}

// Guards against hosts that do not learn of a cold process when they call another control host.
func TestTablesWithDifferentColdTimesDiffer(t *testing.T) {
	g := NewWithT(t)
	a, b := presence.NewTable(), presence.NewTable()
	heartbeat(a, 1, 0, now)
	b.Apply(report("u", "a:1", 10, 1, presence.Ready), now)
	g.Expect(a.Differences(b.Digests())).To(BeEmpty(), "a process that has not been cold")
	heartbeat(a, 2, time.Minute, now)
	g.Expect(a.Differences(b.Digests())).To(HaveLen(1))
	later := now.Add(time.Second)
	cold := a.Record("u").Cold
	b.ApplyStateOf(a.Record("u").Upstream, presence.NewColdness(cold.Left(later), cold.Sequence, later.Add(time.Hour)), later.Add(time.Hour))
	g.Expect(a.Differences(b.Digests())).To(BeEmpty(), "clocks have no effect")
	g.Expect(b.Record("u").Cold.Left(later.Add(time.Hour))).To(Equal(59 * time.Second))
}

func TestColdnessIsSentAsRemainingTime(t *testing.T) {
	g := NewWithT(t)
	for _, left := range []time.Duration{0, time.Second, -time.Second, presence.MaxColdTime} {
		g.Expect(presence.NewColdness(left, 1, now).Left(now)).To(Equal(left))
	}
	g.Expect(presence.NewColdness(time.Second, 1, now).Left(now.Add(time.Second))).To(BeNumerically("<", 0), "differs from one that was not cold")
	g.Expect(presence.NewColdness(presence.MaxColdTime+1, 1, now).Until.IsZero()).To(BeTrue())
}
