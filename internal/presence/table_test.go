package presence_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/presence"
)

var now = time.Unix(1_000_000, 0)

func report(id, address string, started, sequence int64, state presence.State) presence.Upstream {
	return presence.Upstream{ID: id, Address: address, Service: "s", Started: started, Sequence: sequence, State: state}
}

func TestLaterReportsWin(t *testing.T) {
	g := NewWithT(t)
	table := presence.NewTable()
	g.Expect(table.Report(report("u", "a:1", 10, 5, presence.Ready), now)).To(BeTrue())
	revision := table.Revision()
	g.Expect(table.Report(report("u", "a:1", 10, 4, presence.Draining), now)).To(BeFalse(), "an older sequence")
	g.Expect(table.Report(report("u", "a:1", 9, 99, presence.Ready), now)).To(BeFalse(), "an older process")
	g.Expect(table.Report(report("u", "a:1", 10, 6, presence.Ready), now.Add(time.Second))).To(BeTrue())
	g.Expect(table.Revision()).To(Equal(revision), "nothing but the time has changed")
	g.Expect(table.Record("u").Seen).To(Equal(now.Add(time.Second)))
}

func TestDrainingAndLeavingAreFinalForAProcess(t *testing.T) {
	g := NewWithT(t)
	table := presence.NewTable()
	table.Report(report("u", "a:1", 10, 5, presence.Draining), now)
	table.Report(report("u", "a:1", 10, 6, presence.Ready), now)
	g.Expect(table.Record("u").State).To(Equal(presence.Draining))
	g.Expect(table.Report(presence.Upstream{ID: "u", State: presence.Gone, Started: 10}, now)).To(BeTrue())
	table.Report(report("u", "a:1", 10, 7, presence.Ready), now)
	g.Expect(table.Record("u").State).To(Equal(presence.Gone))
	table.Report(report("u", "a:1", 11, 1, presence.Ready), now)
	g.Expect(table.Record("u").State).To(Equal(presence.Ready), "a new process under the same id")
	g.Expect(table.Report(presence.Upstream{ID: "u", State: presence.Gone, Started: 10}, now)).To(BeFalse(),
		"a late departure of the process before")
}

// A report that was held up may arrive after its sender has crashed and another
// process has its address.
func TestLaterProcessTakesAnAddressOver(t *testing.T) {
	g := NewWithT(t)
	table := presence.NewTable()
	table.Report(report("old", "a:1", 10, 5, presence.Ready), now)
	table.Report(report("new", "a:1", 20, 1, presence.Ready), now)
	g.Expect(table.Record("old").State).To(Equal(presence.Gone))
	table.Report(report("old", "a:1", 10, 6, presence.Ready), now)
	g.Expect(table.Record("old").State).To(Equal(presence.Gone))
	g.Expect(table.Record("new").State).To(Equal(presence.Ready))
}

func TestSilentUpstreamsAreMarkedUntilTheyReport(t *testing.T) {
	g := NewWithT(t)
	table := presence.NewTable()
	table.Report(report("u", "a:1", 10, 5, presence.Ready), now)
	revision := table.Revision()
	g.Expect(table.Expire(now.Add(presence.SilentAfter))).To(BeEmpty())
	g.Expect(table.Expire(now.Add(presence.SilentAfter + 1))).To(Equal([]string{"u"}))
	g.Expect(table.Expire(now.Add(presence.SilentAfter+2))).To(BeEmpty(), "once")
	g.Expect(table.Record("u").Silent).To(BeTrue())
	g.Expect(table.Since(revision)).To(HaveLen(1))
	revision = table.Revision()
	g.Expect(table.Report(report("u", "a:1", 10, 6, presence.Ready), now.Add(time.Minute))).To(BeTrue())
	g.Expect(table.Record("u").Silent).To(BeFalse())
	g.Expect(table.Since(revision)).To(HaveLen(1), "the news that it is back")
	g.Expect(table.Since(table.Revision())).To(BeEmpty())
	table.Expire(now.Add(time.Hour))
	g.Expect(table.Record("u")).To(BeNil())
}
